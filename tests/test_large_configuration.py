"""Tests of a configuration of thousands of routes, and narrow links."""

import base64
import json
from random import Random

import pytest
import trio
from result import Ok, Result
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.entry_samples import BOUNDS, TrioClock, create_journal
from trio.testing import MockClock

from clementinedyke.clock import ManualClock
from clementinedyke.entry.feed_messages import NewsRow, TableNews
from clementinedyke.entry.shared_state import (
    SharedState,
    decode_state,
    request_state,
)
from clementinedyke.entry.watch import (
    FeedAnswer,
    FeedPace,
    StoredRow,
    TableWatch,
)
from clementinedyke.http.client import (
    Address,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.platform.store import StoreClient

_HOST = '127.0.0.1'
_ROUTES = 2800
#: Bytes and pause of a link of 5 Mbit/s, the narrowest one of the users.
_CHUNK = 6250
_CHUNK_SECONDS = 0.01
_ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789'


def create_document(version: int = 2) -> dict:
    """Return a configuration whose routes have random names."""
    generator = Random(version)

    def draw() -> str:
        return ''.join(generator.choices(_ALPHABET, k=7))

    first, *others = CONFIGURATION['routes']
    added = [
        {
            **first,
            'name': f'r-{draw()}',
            'host': f'{draw()}.example',
            'prefix': f'/{draw()}/',
            'target_latency_ms': 863,
            'public': False,
            'sticky': True,
        }
        for _ in range(_ROUTES)
    ]
    routes = [first, *others, *added]
    return {**CONFIGURATION, 'version': version, 'routes': routes}


class NarrowStore:
    """Store whose answers arrive at the rate of a narrow link.

    With ``stalls`` set, nothing more arrives after half of an answer.
    """

    def __init__(self, *, stalls: bool = False) -> None:
        """Create a store that holds a large configuration."""
        content = json.dumps(create_document()).encode()
        row = {
            'key': 'config',
            'ver': 7,
            'value': base64.b64encode(content).decode(),
        }
        self._body = json.dumps({'ver': 7, 'rows': [row]}).encode()
        self._stalls = stalls

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer one call."""
        received = b''
        while b'\r\n\r\n' not in received:
            received += await stream.receive_some(4096)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        await stream.send_all(head % len(self._body))
        size = len(self._body)
        if self._stalls:
            size //= 2
        for start in range(0, size, _CHUNK):
            await stream.send_all(self._body[start : start + _CHUNK])
            await trio.sleep(_CHUNK_SECONDS)
        await trio.sleep_forever()


async def call_store(store: NarrowStore, call: str) -> Result:
    """Make one call of a store client over the narrow link."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=_HOST)
        nursery.start_soon(trio.serve_listeners, store.serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        async with HttpClient(Address(_HOST, port)) as http:
            client = StoreClient(http)
            if call == 'read':
                answer = await client.read_table('op')
            else:
                answer = await client.follow_table('op', 3, 0)
        nursery.cancel_scope.cancel()
    return answer


class TestNarrowLink:
    """Guards against time limits that a large answer can't keep.

    A host with a link of 5 Mbit/s needs 2 s for a configuration of 1 MB. Its
    calls were given up after 0.7 and 1.5 s and made again and again, so that
    the host kept an old version for 20 s.
    """

    @pytest.mark.parametrize('call', ['read', 'follow'])
    def test_large_answer(self, call: str) -> None:
        """An answer may take long as long as parts of it arrive."""
        answer = trio.run(call_store, NarrowStore(), call)
        assert [row.key for row in answer.unwrap().rows] == ['config']

    @pytest.mark.parametrize('call', ['read', 'follow'])
    def test_stalled_answer(self, call: str) -> None:
        """An answer that breaks off silently is given up."""

        async def check() -> None:
            with trio.fail_after(5):
                answer = await call_store(NarrowStore(stalls=True), call)
            assert answer.is_err()

        trio.run(check)


async def request_plain_state(address: Address) -> HttpResponse:
    """Return a copy of the state that is not compressed.

    A daemon answers 503 until the last copy has used its share of the link,
    which is 2.4 ms for a compressed one at 1,000 Mbit/s.
    """
    async with HttpClient(address) as client:
        while True:
            answer = await client.request(HttpRequest('GET', '/state'), 5000)
            if answer.status == 200:
                return answer
            await trio.sleep(0.01)


class TestLentConfiguration:
    """Guards against copies that are too large for the links of daemons."""

    def test_size_of_a_copy(self) -> None:
        """A copy is compressed for daemons that take it so."""
        answers: list[HttpResponse] = []

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', create_document())
            await env.start_daemon()
            await env.wait_until_served()
            address = get_peer_address(env)
            answers.append(await request_state(address))
            answers.append(await request_plain_state(address))

        ScenarioRunner().run(scenario)
        packed, plain = answers
        assert len(packed.body) < len(plain.body) / 5
        states = [decode_state(answer) for answer in answers]
        assert json.loads(states[0].configuration) == create_document()
        assert states[0].configuration_revision > 0
        assert states[1].configuration == states[0].configuration

    def test_unreadable_configuration(self) -> None:
        """A daemon that can't read the newest content doesn't vouch for it."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            known = decode_state(await request_state(get_peer_address(env)))
            assert known.configuration_revision
            env.store.put('op', 'config', {'version': 'unreadable'})
            await env.wait_until_seen()
            state = decode_state(await request_state(get_peer_address(env)))
            assert state.configuration == known.configuration
            assert not state.configuration_revision

        ScenarioRunner().run(scenario)

    def test_copy_of_the_build_before(self) -> None:
        """Copies without the last fields are not passed to the feed."""
        state = SharedState(b'{}', 5, [], 7)
        assert state.compile_news('op', 'config', 1) is None

    def test_copy_ends_the_read(self) -> None:
        """A daemon that gets a copy does not read the store as well."""
        feed = SlowFeed()

        async def check() -> None:
            view = RecordingView()
            watch = TableWatch(
                'op',
                feed,
                view,
                FeedPace(lambda: 20, BOUNDS),
                TrioClock(),
                create_journal(ManualClock()),
                Random(1),
            )
            watch.is_followed = lambda: True
            async with trio.open_nursery() as nursery:
                await watch.start(nursery)
                await trio.sleep(0.1)
                watch.apply_news(TableNews('op', 8, 9, 0), 100)
                await trio.sleep(0.3)
                assert feed.calls == [1]
                row = NewsRow('config', 8, b'new')
                watch.apply_news(TableNews('op', 0, 9, 0, [row]), 400)
                await trio.sleep(0.3)
                assert view.rows == [StoredRow('config', 8, b'new')]
                assert feed.calls == [1]
                nursery.cancel_scope.cancel()

        trio.run(check, clock=MockClock(autojump_threshold=0))


class SlowFeed:
    """Store that takes 5 s for an answer about changes."""

    def __init__(self) -> None:
        """Create a store without calls."""
        #: Revisions after which changes were asked for.
        self.calls: list[int] = []

    async def read_table(self, table: str, prefix: str = '') -> Result:
        """Return an empty table."""
        return Ok(FeedAnswer(1, ()))

    async def follow_table(
        self,
        table: str,
        revision: int,
        wait: int,
        *,
        doubts_idle: bool = False,
    ) -> Result:
        """Return no changes."""
        self.calls.append(revision)
        await trio.sleep(5)
        return Ok(FeedAnswer(revision, ()))


class RecordingView:
    """View that keeps all rows that were applied."""

    def __init__(self) -> None:
        """Create an empty view."""
        self.rows: list[StoredRow] = []

    def replace_rows(self, rows: tuple[StoredRow, ...], now: int) -> None:
        """Ignore the first read."""

    def apply_rows(self, rows: tuple[StoredRow, ...], now: int) -> None:
        """Record changed rows."""
        self.rows += rows

    def confirm(self, as_of: int, revision: int) -> None:
        """Ignore confirmations."""

    def record_failure(self, now: int) -> None:
        """Ignore failures."""


def get_peer_address(env: EntryEnvironment) -> Address:
    """Return the address of the first daemon for other daemons."""
    content = base64.b64decode(env.store.rows['daemons', 'host-1']['value'])
    row = json.loads(content)
    return Address(row['ip'], row['port'])
