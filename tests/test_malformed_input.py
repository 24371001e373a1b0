"""Tests of malformed input from the store, endpoints, daemons and callers."""

import base64
import json
import logging
import re
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.entry_samples import create_endpoint, create_journal
from tests.platform_standin import EndpointStandin, encode, serve
from trio.testing import MockClock

import clementinedyke
from clementinedyke.clock import ManualClock
from clementinedyke.daemons.codec import ControlCodec
from clementinedyke.decoding import (
    convert_document,
    decode_json,
    decode_msgpack,
)
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.direct_path import DirectPath
from clementinedyke.entry.endpoint_connections import check_listening
from clementinedyke.entry.event_stream import EventSplitter
from clementinedyke.entry.feed_messages import FEED_PREFIX, decode_news
from clementinedyke.entry.news import PeerUpdate
from clementinedyke.entry.path_monitor import PathMonitor
from clementinedyke.entry.stream_messages import MESSAGE_PREFIX, decode_message
from clementinedyke.entry.usage_messages import USAGE_PREFIX, decode_usage
from clementinedyke.exceptions import PeerUnavailableError, ProtocolError
from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.http.server import ResponseWriter, ServerRequest
from clementinedyke.logs import KeyValueFormatter
from clementinedyke.orders.connection import exchange_once
from clementinedyke.platform.configuration_document import decode_configuration
from clementinedyke.platform.endpoint_document import decode_endpoint
from clementinedyke.platform.requests import RequestTranslator
from clementinedyke.platform.store_answers import decode_page
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.rows import Row, convert_row
from clementinedyke.tasks import run_restarting

_DEPTH = 100_000
_NESTED_LIST = b'%b%b' % (b'[' * _DEPTH, b']' * _DEPTH)
_NESTED_OBJECT = b'%b1%b' % (b'{"a":' * _DEPTH, b'}' * _DEPTH)
_DIGITS = b'9' * 5000
#: MessagePack array of one element, repeated.
_NESTED_PACK = b'%b\x01' % (b'\x91' * _DEPTH)
_ENTRY = {
    'service': 'ledger',
    'address': '127.0.0.1:9',
    'zone': 'zone-a',
    'slots': 4,
    'state': 'ready',
}


def to_base64(content: bytes) -> str:
    """Return the encoding of a row's content in the store."""
    return base64.b64encode(content).decode()


def compile_entry(name: str, content: bytes) -> bytes:
    """Return an entry with one field whose JSON is given."""
    rest = {key: field for key, field in _ENTRY.items() if key != name}
    head = json.dumps(rest).encode()[:-1]
    return b'%b,"%b":%b}' % (head, name.encode(), content)


_ODD_ENTRIES = {
    'nested list': compile_entry('extra', _NESTED_LIST),
    'nested object': compile_entry('extra', _NESTED_OBJECT),
    'nested service': compile_entry('service', _NESTED_LIST),
    'unclosed lists': compile_entry('extra', b'[' * _DEPTH),
    'digits': compile_entry('slots', _DIGITS),
    'large number': compile_entry('slots', b'9' * 400),
    'exponent': compile_entry('slots', b'1e400'),
    'large start': compile_entry('born', b'9' * 40),
    'negative start': compile_entry('born', b'-1'),
    'no slots': compile_entry('slots', b'0'),
    'large port': compile_entry('address', b'"127.0.0.1:65536"'),
    'port 0': compile_entry('address', b'"127.0.0.1:0"'),
    'long port': compile_entry('address', b'"127.0.0.1:%b"' % _DIGITS),
    'other digits': compile_entry('address', '"127.0.0.1:٣"'.encode()),
    'null byte': compile_entry('address', json.dumps('127.0.0.1\0:9').encode()),
    'no address': compile_entry('address', b'":9"'),
    'long host': compile_entry('address', b'"%b:9"' % (b'a' * 300)),
    'any host': compile_entry('address', b'"0.0.0.0:9"'),
    'zone id': compile_entry('address', '"::1%võrk0:8080"'.encode()),
    'empty label': compile_entry('address', b'"::1%a..b:8080"'),
    'long label': compile_entry('address', b'"::1%%%b:8080"' % (b'a' * 64)),
    'other host': compile_entry('address', b'"fe80::1%eth0:8080"'),
    'state': compile_entry('state', b'"asleep"'),
    'stage': compile_entry('stage', b'"both"'),
    'empty service': compile_entry('service', b'""'),
    'wrong type': compile_entry('zone', b'7'),
    'missing field': b'{"service":"ledger"}',
    'no object': b'[1]',
    'empty': b'',
    'no text': b'\xff\xfe\x00',
    'surrogate': compile_entry('zone', json.dumps('\ud800').encode()),
}


class TestEndpointEntries:
    """Guards against an odd entry that ends the daemons which read it."""

    @pytest.mark.parametrize('name', _ODD_ENTRIES)
    def test_entry_is_refused(self, name: str) -> None:
        """Decoding returns a reason for each kind of odd entry."""
        assert decode_endpoint('i-1', _ODD_ENTRIES[name]).is_err()

    @pytest.mark.parametrize(
        'endpoint_id', ['', 'i 1', 'i-1\r\nX-Key: k', 'i-\0', 'é', 'i\x7f']
    )
    def test_id_that_is_no_header(self, endpoint_id: str) -> None:
        """An id that a request could not name makes no endpoint."""
        content = json.dumps(_ENTRY).encode()
        assert decode_endpoint('i-1', content).is_ok()
        assert decode_endpoint(endpoint_id, content).is_err()

    @pytest.mark.parametrize('moment', ['before', 'after'])
    def test_daemons_go_on(self, moment: str) -> None:
        """All odd entries at once leave the others and their changes alone."""

        async def scenario(env: EntryEnvironment) -> None:
            if moment == 'before':
                put_odd_entries(env)
            await env.open()
            if moment == 'after':
                put_odd_entries(env)
            await env.wait_until_seen()
            assert (await env.send_request('/read/1')).status == 200
            assert (await env.send_request('/ask/1', 'r-2')).status == 200
            await env.add_endpoint(EndpointStandin('ledger-3'))
            for name in ('ledger-1', 'ledger-2'):
                env.store.remove('servers', name)
            await env.wait_until_seen()
            assert (await env.send_request('/read/1', 'r-3')).status == 200
            assert env.endpoints['ledger-3'].runs

        ScenarioRunner().run(scenario)

    def test_entry_of_unknown_service(self) -> None:
        """It takes no address away from the endpoint that has it."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            for number, endpoint in enumerate(tuple(env.endpoints.values())):
                odd = {
                    **_ENTRY,
                    'service': 'nobody',
                    'address': f'127.0.0.1:{endpoint.port}',
                    'born': 1_900_000_000_000,
                }
                env.store.put('servers', f'odd-{number}', odd)
            await env.wait_until_seen()
            assert (await env.send_request('/read/1')).status == 200
            assert (await env.send_request('/ask/1', 'r-2')).status == 200

        ScenarioRunner().run(scenario)


#: Hosts for which the resolver raises something else than OSError.
_ODD_HOSTS = ('::1%võrk0', '::1%a..b', f'::1%{"a" * 64}', '127.0.0.1\0', '')


class TestOddAddresses:
    """Guards against an address whose connection attempt ends the daemon.

    Name resolution raised UnicodeError, which nothing expected. An address may
    reach the network by ways that the decoder of entries does not check.
    """

    @pytest.mark.parametrize('host', _ODD_HOSTS)
    def test_client(self, host: str) -> None:
        """A client reports an unreachable peer."""

        async def main() -> None:
            async with HttpClient(Address(host, 8080)) as client:
                await client.request(HttpRequest('GET', '/'), 1000)

        with pytest.raises(PeerUnavailableError):
            trio.run(main)

    @pytest.mark.parametrize('host', _ODD_HOSTS)
    def test_order(self, host: str) -> None:
        """An order reports an unreachable peer."""
        address = Address(host, 8080)
        with pytest.raises(PeerUnavailableError):
            trio.run(exchange_once, address, HttpRequest('GET', '/'), 1000)

    @pytest.mark.parametrize('host', _ODD_HOSTS)
    def test_examination(self, host: str) -> None:
        """An examination finds no process."""
        endpoint = replace(create_endpoint('i-1'), address=Address(host, 8080))
        assert not trio.run(check_listening, endpoint)

    def test_large_port(self) -> None:
        """A port that does not exist is an unreachable peer."""
        address = Address('127.0.0.1', 1 << 70)
        with pytest.raises(PeerUnavailableError):
            trio.run(exchange_once, address, HttpRequest('GET', '/'), 1000)

    def test_path_check_goes_on(self) -> None:
        """A check of links that meets an unexpected error ends alone."""

        async def main() -> None:
            path = DirectPath(
                'zone-a', Random(1), create_journal(ManualClock())
            )
            failures = [KeyError('endpoints')]

            def list_endpoints() -> list[EntryEndpoint]:
                if failures:
                    raise failures.pop()
                return []

            monitor = PathMonitor(path, list_endpoints, ManualClock())
            async with trio.open_nursery() as nursery:
                await monitor.start(nursery)
                with trio.fail_after(5):
                    assert await monitor.check_is_lost() is False
                assert not failures
                assert await monitor.check_is_lost() is False
                nursery.cancel_scope.cancel()

        trio.run(main)


class TestFailingTasks:
    """Guards against an error in one task that ends the whole daemon."""

    def test_task_is_restarted(self) -> None:
        """A loop that fails runs again and keeps its state."""
        rounds: list[int] = []

        async def loop() -> None:
            rounds.append(len(rounds))
            if len(rounds) < 3:
                raise UnicodeError('label too long')

        trio.run(
            run_restarting, loop, 'loop', clock=MockClock(autojump_threshold=0)
        )
        assert rounds == [0, 1, 2]

    def test_failure_is_logged(self) -> None:
        """The log line names the task and has the traceback."""
        error = UnicodeError('label too long')
        record = logging.LogRecord(
            'absl',
            logging.ERROR,
            '',
            0,
            'event=task_failed',
            None,
            (UnicodeError, error, None),
        )
        line = KeyValueFormatter().format(record)
        assert 'event=task_failed traceback=' in line
        assert 'UnicodeError: label too long' in line
        assert '\n' not in line

    def test_store_loops_go_on(self) -> None:
        """A daemon serves on while each loop meets an unexpected error."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            store = env.parts[0].store

            async def fail(*given: object) -> None:
                raise OverflowError('a value that no one expected')

            with pytest.MonkeyPatch.context() as patch:
                for name in ('list_rows', 'commit', 'get_row'):
                    patch.setattr(store, name, fail)
                await trio.sleep(1.5)
            assert (await env.send_request('/read/1')).status == 200
            await trio.sleep(1)
            assert (await env.send_request('/ask/1', 'r-2')).status == 200

        ScenarioRunner().run(scenario)


class TestOddNames:
    """Guards against a name in a configuration that no header can hold.

    The connections of the customer's callers were closed without an answer.
    """

    @pytest.mark.parametrize(
        'name', ['a\nb', 'a\0', 'a\r', 'a\n', ' a', 'a ', '\t', '\x7f']
    )
    def test_name_is_refused(self, name: str) -> None:
        """A version with the name is invalid; one with another is not."""
        for tenant, is_valid in ((name, False), ('võrk nord', True)):
            document = {
                **CONFIGURATION,
                'tenants': [{'name': tenant, 'api_keys': ['key-2']}],
            }
            decoded = decode_configuration(json.dumps(document).encode())
            assert decoded.is_ok() is is_valid

    def test_request_is_not_sent(self) -> None:
        """A request that can't be put on the wire was not sent."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                port = await serve(nursery, EndpointStandin('i-1').respond)
                headers = [(b'X-Tenant', b'a\nb')]
                request = HttpRequest('GET', '/', headers)
                client = HttpClient(Address('127.0.0.1', port))
                with pytest.raises(PeerUnavailableError):
                    await client.request(request, 1000)
                nursery.cancel_scope.cancel()

        trio.run(main)


def put_odd_entries(env: EntryEnvironment) -> None:
    """Write all odd entries, and ids that cannot be sent."""
    for number, content in enumerate(_ODD_ENTRIES.values()):
        env.store.put_raw('servers', f'odd-{number}', to_base64(content))
    env.store.put_raw('servers', 'not base64', '%%%')
    env.store.put('servers', 'i-1\r\nX-Key: k', _ENTRY)


class TestStoreAnswers:
    """Guards against a row that costs the rows beside it."""

    @pytest.mark.parametrize(
        'odd',
        [
            b'{"ver":3}',
            b'{"key":"i","ver":%b}' % _DIGITS,
            b'{"key":"i","ver":-1}',
            b'{"key":"i","ver":%d}' % (1 << 60),
            b'{"key":"i","ver":3,"value":7}',
            b'{"key":"i","ver":3,"x":[[[[[1]]]]],"removed":"yes"}',
            b'7',
        ],
    )
    def test_other_rows_of_a_page(self, odd: bytes) -> None:
        """A malformed row is left out, the others are read."""
        good = b'{"key":"i-1","ver":2,"value":"%b"}' % encode({}).encode()
        page = decode_page(b'{"ver":5,"rows":[%b,%b]}' % (odd, good), 0)
        assert [row.key for row in page.rows] == ['i-1']
        assert page.revision == 5

    @pytest.mark.parametrize(
        'content', [b'', b'{"ver":1e400,"rows":[]}', _NESTED_LIST, b'{}']
    )
    def test_page(self, content: bytes) -> None:
        """An answer that is no page is a failed call."""
        with pytest.raises(ProtocolError):
            decode_page(content, 0)

    def test_rows_of_daemons(self) -> None:
        """A daemon starts and serves beside odd rows of its own tables."""
        tables = {
            'daemons': [
                {'ip': '127.0.0.1', 'port': 65536, 'zone': 'zone-a'},
                {'ip': '127.0.0.1', 'port': -1},
                {'ip': 'no address', 'port': 9},
                {'ip': '127.0.0.1\0', 'port': 9},
                {'ip': 7, 'port': '9'},
                [],
            ],
            'suspects': [{}, [], 'text', {'fingerprint': 7}],
            'usage_parts': [{}, {'counts': {'loft': 'many'}}, 7],
        }

        async def scenario(env: EntryEnvironment) -> None:
            for table, odd in tables.items():
                for number, document in enumerate(odd):
                    env.store.put(table, f'odd-{number}', document)
                env.store.put_raw(table, 'nested', to_base64(_NESTED_LIST))
                env.store.put_raw(table, 'not base64', '%%%')
            env.store.put('leases', 'duties', {'holder': 7})
            env.store.put('fences', 'duties', 'text')
            await env.open()
            # Updates and usage go out several times in this time.
            await trio.sleep(2)
            assert (await env.send_request('/read/1')).status == 200

        ScenarioRunner().run(scenario)

    def test_unreadable_row_is_none(self) -> None:
        """Values of another form, also nested ones, are no rows."""
        nested: list = []
        for _ in range(_DEPTH):
            nested = [nested]
        for document in (None, 'text', [nested], {'x': nested}):
            row = Row('key', 1, document)
            assert convert_row('table', row, int) is None


class TestConfiguration:
    """Guards against a version that ends the daemons which read it."""

    @pytest.mark.parametrize(
        'content',
        [
            _NESTED_LIST,
            b'{"version":2,"x":%b}' % _NESTED_OBJECT,
            b'{"version":%b}' % _DIGITS,
            b'{"version":1e400}',
            b'',
        ],
    )
    def test_document(self, content: bytes) -> None:
        """Decoding returns a reason."""
        assert decode_configuration(content).is_err()

    @pytest.mark.parametrize(
        ('section', 'name', 'odd'),
        [
            ('routes', 'timeout_ms', 1e300),
            ('routes', 'timeout_ms', -1),
            ('routes', 'traffic_split', [{'service': 'chat', 'weight': 0}]),
            ('services', 'max_connections', 1 << 70),
            ('services', 'max_connections', -3),
        ],
    )
    def test_numbers(self, section: str, name: str, odd: object) -> None:
        """Numbers without meaning make a version invalid."""
        document = json.loads(json.dumps(CONFIGURATION))
        assert decode_configuration(json.dumps(document).encode()).is_ok()
        document[section][0][name] = odd
        assert decode_configuration(json.dumps(document).encode()).is_err()

    def test_version_in_force_stays(self) -> None:
        """A daemon serves the version that it has, and takes the next one."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            env.store.put_raw('op', 'config', to_base64(_NESTED_OBJECT))
            await env.wait_until_seen()
            assert (await env.send_request('/read/1')).status == 200
            first, *others = CONFIGURATION['routes']
            routes = [{**first, 'prefix': '/moved/'}, *others]
            newest = {**CONFIGURATION, 'version': 2, 'routes': routes}
            env.store.put('op', 'config', newest)
            await env.wait_until_seen()
            assert (await env.send_request('/moved/1', 'r-2')).status == 200

        ScenarioRunner().run(scenario)


class TestEndpointAnswers:
    """Guards against answers of endpoints that end requests with an error."""

    @pytest.mark.parametrize(
        'body',
        [
            _NESTED_LIST,
            b'{"handle":"h","tokens":%b}' % _DIGITS,
            b'{"handle":"a b","tokens":1}',
            json.dumps({'handle': 'a\r\nX-Key: k', 'tokens': 1}).encode(),
            b'{"handle":"","tokens":1}',
            b'{"handle":"\xc3\xa9","tokens":1}',
        ],
    )
    def test_prefill(self, body: bytes) -> None:
        """A handle that no request could name is none."""
        assert RequestTranslator().read_prefill(body) is None

    def test_event_id(self) -> None:
        """An event id of thousands of digits is not read."""
        splitter = EventSplitter()
        for event_id in (b'7', _DIGITS):
            splitter.split_events(b'id: %b\ndata: x\n\n' % event_id)
        assert splitter.last_id == 7

    def test_keep_alive(self) -> None:
        """A timeout of thousands of digits is ignored."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            for endpoint in env.endpoints.values():
                endpoint.extra_headers = [
                    (b'Keep-Alive', b'timeout=%b' % _DIGITS)
                ]
            for number, path in enumerate(('/read/1', '/ask/1', '/book/1')):
                answer = await env.send_request(path, f'r-{number}')
                assert answer.status == 200

        ScenarioRunner().run(scenario)


class TestDatagrams:
    """Guards against datagrams that end the daemon that receives them."""

    @pytest.mark.parametrize(
        'content',
        [
            _NESTED_PACK,
            b'',
            b'\xc1',
            b'\xdd\xff\xff\xff\xff',
            b'\xa4\xff\xfe\xfd\xfc',
        ],
    )
    def test_decoders(self, content: bytes) -> None:
        """All decoders raise the one exception that receivers expect."""
        for decode, prefix in (
            (decode_news, b'%b\x00' % FEED_PREFIX),
            (decode_message, MESSAGE_PREFIX),
            (decode_usage, USAGE_PREFIX),
            (decode_update, b''),
            (decode_control, b''),
        ):
            with pytest.raises(ProtocolError):
                decode(prefix + content)

    def test_receivers(self) -> None:
        """A daemon goes on after malformed datagrams of all kinds."""
        prefixes = (
            b'',
            FEED_PREFIX,
            b'%b\x00' % FEED_PREFIX,
            b'%b\x01' % FEED_PREFIX,
            MESSAGE_PREFIX,
            USAGE_PREFIX,
        )
        bodies = (
            b'\x91' * 5000,
            b'',
            b'\xc1',
            b'\xdd\xff\xff\xff\xff',
            b'\x90',
            b'\x80',
        )

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            address = json.loads(decode_row(env, 'daemons', 'host-1'))
            sender = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            for prefix in prefixes:
                for body in bodies:
                    await sender.sendto(
                        prefix + body, (address['ip'], address['port'])
                    )
            sender.close()
            await trio.sleep(0.2)
            assert (await env.send_request('/read/1')).status == 200

        ScenarioRunner().run(scenario)


def decode_update(datagram: bytes) -> object:
    """Decode a state update as its receiver does."""
    return decode_msgpack(datagram, PeerUpdate)


def decode_control(datagram: bytes) -> object:
    """Decode a message of the daemon port."""
    return ControlCodec().decode(datagram, None)


def decode_row(env: EntryEnvironment, table: str, key: str) -> bytes:
    """Return the content of a row of the store stand-in."""
    return base64.b64decode(env.store.rows[table, key]['value'])


class TestDecoding:
    """Guards against exceptions that the callers of a decoder don't expect."""

    @given(st.binary(max_size=200))
    def test_any_bytes(self, content: bytes) -> None:
        """Random bytes are decoded or raise the one exception."""
        for expected in (object, PeerUpdate, dict[str, list[int]]):
            with suppress(ProtocolError):
                decode_json(content, expected)
            with suppress(ProtocolError):
                decode_msgpack(content, expected)

    @given(
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers()
            | st.floats()
            | st.text(max_size=8),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(st.text(max_size=8), inner, max_size=4)
            ),
            max_leaves=10,
        )
    )
    def test_any_document(self, document: object) -> None:
        """Documents of any form are converted or raise the one exception."""
        for expected in (int, PeerUpdate, dict[str, list[int]]):
            with suppress(ProtocolError):
                convert_document(document, expected)

    def test_one_module_decodes(self) -> None:
        """No other module decodes what peers send by itself.

        The stand-ins decode what the tests send.
        """
        source = Path(clementinedyke.__file__).parent
        direct = re.compile(
            r'msgspec\.(json|msgpack)\.decode\(|json\.loads\((?!body|text)'
        )
        callers = {
            str(path.relative_to(source))
            for path in source.rglob('*.py')
            if direct.search(path.read_text(encoding='utf-8'))
            and 'standins' not in path.parts
        }
        # Two modules of the command line read files and answers of a daemon,
        # and the operator port catches the errors of its parser.
        assert callers == {
            'decoding.py',
            'operators/client.py',
            'operators/record_files.py',
            'operators/routes.py',
        }


class TestReferencePlatform:
    """Guards against answers that end a daemon of ``clementinedyke serve``."""

    @pytest.mark.parametrize('body', [_NESTED_LIST, b'', b'[1e400]', b'{}'])
    def test_tables(self, body: bytes) -> None:
        """Each call to the table service fails as if it had no answer."""

        async def respond(
            request: ServerRequest, response: ResponseWriter
        ) -> None:
            await response.send_response(200, [], body)

        async def check() -> None:
            async with trio.open_nursery() as nursery:
                address = Address('127.0.0.1', await serve(nursery, respond))
                async with HttpClient(address) as client:
                    tables = TableClient(client)
                    for answer in (
                        await tables.commit([], []),
                        await tables.get_row('table', 'key'),
                        await tables.list_rows('table'),
                        await tables.get_changes('table', 1),
                    ):
                        assert answer.is_err()
                nursery.cancel_scope.cancel()

        trio.run(check)

    def test_list_of_endpoints(self) -> None:
        """Malformed entries are left out of the list."""
        good = {
            'endpoint_id': 'e-1',
            'service': 'm',
            'availability_zone': 'z',
            'address': '127.0.0.1:9',
        }
        odd = [
            {**good, 'endpoint_id': 'e-2', 'address': '127.0.0.1:65536'},
            {**good, 'endpoint_id': 'e-3', 'state': 'asleep'},
            {**good, 'endpoint_id': 7},
            [],
        ]
        registry = EndpointRegistry()
        nested = compile_entry('x', _NESTED_OBJECT)
        listed = json.dumps([good, *odd]).encode().removesuffix(b']')
        registry.replace(b'%b,{"endpoint_id":"e-4"}]' % listed)
        assert [item.endpoint_id for item in registry.list_endpoints()] == [
            'e-1'
        ]
        with pytest.raises(ProtocolError):
            registry.replace(nested)
