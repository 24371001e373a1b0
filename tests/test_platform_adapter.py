"""Tests of the adapter to the users' platform."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
import trio
from absl import logging
from hypothesis import given
from hypothesis import strategies as st
from tests.entry_samples import create_endpoint
from tests.platform_standin import StoreStandin, serve
from tests.settings_document import SETTINGS, compile_toml

from clementinedyke.call_failures import TableFailure
from clementinedyke.entry.endpoint_protocol import KvCacheReference, SendOptions
from clementinedyke.entry.watch import HistoryLost
from clementinedyke.exceptions import SettingError
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.http.message import ServerRequest
from clementinedyke.platform.requests import RequestTranslator
from clementinedyke.platform.settings_file import (
    decode_host_settings,
    load_host_settings,
)
from clementinedyke.platform.store import StoreClient
from clementinedyke.rows import ABSENT, Commit, Condition, Conflict, Write


class TestSettingsFile:
    """Guards against a daemon that starts with misread settings."""

    def test_seconds_become_milliseconds(self) -> None:
        """Values in seconds are converted to milliseconds."""
        settings = decode_host_settings(SETTINGS, 'file')
        assert settings.bounds.stop_grace == 8000
        assert settings.bounds.usage_window == 5000
        assert settings.bounds.max_key_age is None
        assert settings.peer_address == Address('10.1.0.31', 7780)
        assert settings.link_megabits == 5

    def test_strict_revocation_limits_key_age(self) -> None:
        """With ``revoke_strict`` the age of key state is limited."""
        bounds = {**SETTINGS['bounds'], 'revoke_strict': True}
        settings = decode_host_settings({**SETTINGS, 'bounds': bounds}, 'f')
        assert settings.bounds.max_key_age == 5000

    def test_missing_duties_are_accepted(self) -> None:
        """Settings without the table ``cloud`` are valid."""
        given = {key: SETTINGS[key] for key in SETTINGS if key != 'cloud'}
        assert decode_host_settings(given, 'file').duties_address is None

    @pytest.mark.parametrize('memory', [300, 300.0, '300'])
    def test_forms_of_whole_number(self, memory: object) -> None:
        """Numbers are accepted in each form that TOML has for them."""
        limits = {**SETTINGS['limits'], 'memory_mb': memory}
        changed = {**SETTINGS, 'limits': limits}
        assert decode_host_settings(changed, 'file').memory_mb == 300

    def test_error_names_invalid_field(self) -> None:
        """The error names the invalid field or value."""
        cases = (
            (
                'bounds.lease_ms',
                {'bounds': {**SETTINGS['bounds'], 'lease_ms': 0}},
            ),
            ('node', {'node': ''}),
            ('limits.max_fds', {'limits': {'memory_mb': 300}}),
            ('10.1.0.31', {'platform': {'address': '10.1.0.31'}}),
        )
        for name, change in cases:
            with pytest.raises(SettingError, match=name):
                decode_host_settings({**SETTINGS, **change}, 'file')


class TestRequestTranslator:
    """Guards against forged and lost headers and misread answers."""

    def compile_headers(self, headers: list, **options: object) -> dict:
        """Return the headers sent to an endpoint, names in lower case."""
        translator = RequestTranslator()
        given = [
            (b'host', b'desk.example'),
            (b'x-request-id', b'r-1'),
            *headers,
        ]
        request = translator.read_request(
            ServerRequest('POST', '/review/1', 'a=1', given, b'body')
        )
        endpoint = create_endpoint('i-1')
        sent = translator.compile_request(
            request, SendOptions(endpoint, 900, 'loft', **options)
        )
        assert sent.target == '/review/1?a=1'
        return {
            name.decode().lower(): text.decode() for name, text in sent.headers
        }

    def test_callers_cannot_forge_headers(self) -> None:
        """Headers that only the daemon may set are removed or replaced."""
        forged = [
            (b'x-key', b'secret'),
            (b'x-tenant', b'other'),
            (b'x-kv-source', b'10.0.0.1:1/h'),
            (b'x-kv-hold', b'h'),
            (b'x-kv-backup', b'10.0.0.1:1'),
            (b'x-pin-ms', b'4000'),
            (b'kv-fetch', b'10.0.0.1:1'),
            (b'x-stage', b'prefill'),
            (b'x-expect-instance', b'i-9'),
            (b'x-request-priority', b'0'),
            (b'x-deadline-ms', b'99999'),
        ]
        sent = self.compile_headers(forged)
        assert sent['x-tenant'] == 'loft'
        assert sent['x-expect-instance'] == 'i-1'
        assert sent['x-deadline-ms'] == '900'
        assert not {
            'x-key',
            'x-kv-source',
            'x-kv-hold',
            'x-kv-backup',
            'x-pin-ms',
            'kv-fetch',
            'x-stage',
            'x-request-priority',
        } & set(sent)

    def test_request_headers_are_forwarded(self) -> None:
        """Other headers reach the endpoint unchanged.

        Headers that Connection names concern one connection and are removed.
        """
        sent = self.compile_headers(
            [
                (b'x-model', b'm'),
                (b'x-token-count', b'1460,80'),
                (b'x-prefix-hash', b'aa:800,bb:660'),
                (b'x-custom', b'1'),
                (b'connection', b'keep-alive, x-hop'),
                (b'x-hop', b'1'),
            ]
        )
        assert sent['host'] == 'desk.example'
        assert sent['x-token-count'] == '1460,80'
        assert sent['x-prefix-hash'] == 'aa:800,bb:660'
        assert sent['x-custom'] == '1'
        assert 'x-hop' not in sent
        assert 'connection' not in sent

    def test_kv_cache_source_and_resume_headers(self) -> None:
        """The KV cache is named by the address of its engine and its handle."""
        source = create_endpoint('i-2')
        sent = self.compile_headers(
            [],
            kv_cache=KvCacheReference(source, 'h-1'),
            after_event=4,
            priority=1,
        )
        assert sent['x-kv-source'] == '127.0.0.1:9/h-1'
        assert sent['last-event-id'] == '4'
        assert sent['x-request-priority'] == '1'

    def test_request_without_id_is_rejected(self) -> None:
        """A request without an id is rejected, since nothing identifies it."""
        request = ServerRequest('GET', '/', '', [(b'host', b'h')], b'')
        assert RequestTranslator().read_request(request) is None

    def test_only_stated_refusal_was_not_run(self) -> None:
        """A 503 without X-Not-Executed may have run; 421 has not.

        A malformed X-Instance-Load gives no load.
        """
        translator = RequestTranslator()
        not_executed = translator.read_head(503, [(b'x-not-executed', b'1')])
        misdirected = translator.read_head(421, [])
        failed = translator.read_head(503, [(b'x-instance-load', b'3,1,8')])
        assert not_executed.was_not_run and misdirected.was_not_run
        assert not failed.was_not_run
        assert (
            failed.load.running,
            failed.load.waiting,
            failed.load.slots,
        ) == (3, 1, 8)
        malformed = translator.read_head(200, [(b'x-instance-load', b'3,x')])
        assert malformed.load is None

    @pytest.mark.parametrize('text', ['3,1,8,100', '3,1,8,x', '3,1,8,'])
    def test_load_with_further_figures(self, text: str) -> None:
        """The known figures of a load are used when others follow them.

        Engines on shared hosts add a fourth one, and all their loads were
        dropped without a line in the log.
        """
        fields = [(b'x-instance-load', text.encode())]
        head = RequestTranslator().read_head(200, fields)
        assert head.load is not None
        assert (head.load.running, head.load.waiting, head.load.slots) == (
            3,
            1,
            8,
        )

    def test_unreadable_load_is_logged(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A load that can't be read is not dropped silently."""
        lines: list[tuple[Any, ...]] = []
        monkeypatch.setattr(
            logging, 'log_every_n_seconds', lambda *line: lines.append(line)
        )
        fields = [(b'x-instance-load', b'3,x')]
        assert RequestTranslator().read_head(200, fields).load is None
        assert [line[-1] for line in lines] == ['3,x']
        assert RequestTranslator().read_head(200, []).load is None
        assert len(lines) == 1

    def test_retry_after_keeps_milliseconds(self) -> None:
        """The delay isn't rounded to whole seconds.

        A whole second would use up most of a caller's time.
        """
        headers = RequestTranslator().compile_refusal_headers(150)
        assert headers == [(b'Retry-After', b'0.150')]


_NUMBER_TEXTS = st.one_of(
    st.text(st.characters(max_codepoint=255), max_size=30),
    st.integers(0, 10**25).map(str),
    st.sampled_from(['\xb2', '1\xb3', '-1', '1_000', '9' * 5000]),
)


class TestNumbersFromPeers:
    """Guards against numbers that end the handling of a request.

    Byte 0xB2 is a digit to ``str.isdigit`` and not to ``int``.
    """

    @given(text=_NUMBER_TEXTS, other=_NUMBER_TEXTS)
    def test_request_headers(self, text: str, other: str) -> None:
        """Any number in a caller's header is read or left out."""
        fields = {
            'x-request-id': 'r-1',
            'x-deadline-ms': text,
            'x-token-count': f'{text},{other}',
            'x-prefix-hash': f'rules:{text},own:{other}',
            'last-event-id': other,
        }
        request = ServerRequest('POST', '/a/1', '', encode_fields(fields), b'')
        read = RequestTranslator().read_request(request)
        assert read is not None
        assert 0 <= (read.caller_timeout or 0) <= 10**9
        assert 0 <= read.prompt_tokens <= 10**9
        assert all(part.tokens <= 10**9 for part in read.prompt_parts)

    @given(text=_NUMBER_TEXTS, other=_NUMBER_TEXTS)
    def test_answer_headers(self, text: str, other: str) -> None:
        """Any load that an endpoint reports is read or left out."""
        fields = {'x-instance-load': f'{text},{other},8'}
        RequestTranslator().read_head(200, encode_fields(fields))

    @pytest.mark.parametrize('text', ['\xb2', '65536', '-1', '9' * 5000])
    def test_ports(self, text: str, tmp_path: Path) -> None:
        """A port that is none must be refused with an error that says so."""
        with pytest.raises(ValueError, match='IP:PORT'):
            Address.parse(f'127.0.0.1:{text}')
        path = tmp_path / 'settings.toml'
        path.write_text(compile_toml(SETTINGS), encoding='utf-8')
        assert load_host_settings(path, '9464').metrics_address is not None
        with pytest.raises(SettingError, match='expected a port'):
            load_host_settings(path, text)


def encode_fields(fields: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Return header fields as bytes."""
    return [
        (name.encode(), text.encode('latin-1')) for name, text in fields.items()
    ]


def run_with_store(
    scenario: Callable[[StoreStandin, StoreClient], Awaitable[None]],
) -> None:
    """Run a scenario with a store stand-in and a client of it."""

    async def main() -> None:
        standin = StoreStandin()
        async with trio.open_nursery() as nursery:
            port = await serve(nursery, standin.respond)
            client = HttpClient(Address('127.0.0.1', port))
            await scenario(standin, StoreClient(client))
            nursery.cancel_scope.cancel()

    trio.run(main)


class TestStoreClient:
    """Guards against misreported outcomes and incomplete reads."""

    def test_failed_condition_applies_nothing(self) -> None:
        """A commit whose condition fails applies nothing.

        Reading the key 'kk' does not return the row 'k'.
        """

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            absent = Condition('t', 'k', ABSENT)
            write = Write('t', 'k', {'a': 1})
            first = (await client.commit([absent], [write])).unwrap()
            second = (await client.commit([absent], [write])).unwrap()
            assert isinstance(first, Commit)
            assert isinstance(second, Conflict)
            row = (await client.get_row('t', 'k')).unwrap()
            assert row.version == first.revision
            assert row.value == {'a': 1}
            assert (await client.get_row('t', 'kk')).unwrap() is None

        run_with_store(scenario)

    def test_refused_and_lost_commits_differ(self) -> None:
        """A refused commit is NOT_DONE; without an answer it is UNKNOWN."""

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            write = Write('t', 'k', 1)
            standin.refusal_status = 503
            refused = await client.commit([], [write])
            standin.refusal_status = 0
            standin.answers_to_lose = 1
            lost = await client.commit([], [write])
            assert refused.unwrap_err() is TableFailure.NOT_DONE
            assert lost.unwrap_err() is TableFailure.UNKNOWN
            assert standin.version == 1

        run_with_store(scenario)

    def test_all_pages_are_read(self) -> None:
        """A table of several pages is read completely."""

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            for number in range(1203):
                standin.put('t', f'k{number:05}', number)
            answer = (await client.read_table('t')).unwrap()
            assert len(answer.rows) == 1203
            some = (await client.list_rows('t', 'k0000')).unwrap()
            assert [row.value for row in some.rows] == list(range(10))

        run_with_store(scenario)

    def test_feed_reports_deletions_and_lost_history(self) -> None:
        """Changes arrive in order; a dropped history is reported."""

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            standin.put('t', 'a', 1)
            standin.put('u', 'other', 1)
            standin.remove('t', 'a')
            answer = (await client.follow_table('t', 0, 50)).unwrap()
            assert [row.content for row in answer.rows] == [b'1', None]
            unchanged = (
                await client.follow_table('t', answer.revision, 50)
            ).unwrap()
            assert not unchanged.rows
            standin.drop_history()
            lost = (await client.follow_table('t', 0, 50)).unwrap()
            assert isinstance(lost, HistoryLost)

        run_with_store(scenario)

    def test_store_returns_from_copy(self) -> None:
        """Numbers that are given out again don't pass for the former ones.

        A condition on a version of the former era fails, and changes after one
        of its revisions count as lost, although the store would accept both.
        """

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            copy = standin.copy()
            standin.put('t', 'a', 1)
            before = (await client.list_rows('t')).unwrap()
            standin.return_from(copy)
            standin.put('t', 'a', 2)
            lost = (
                await client.follow_table('t', before.revision, 50)
            ).unwrap()
            assert isinstance(lost, HistoryLost)
            condition = Condition('t', 'a', before.rows[0].version)
            outcome = await client.commit([condition], [Write('t', 'a', 3)])
            assert isinstance(outcome.unwrap(), Conflict)
            after = (await client.list_rows('t')).unwrap()
            assert after.rows[0].value == 2
            assert after.revision > before.revision
            assert after.rows[0].version > before.rows[0].version

        run_with_store(scenario)

    def test_late_answer_of_former_era(self) -> None:
        """An answer of an era that has ended is a failed call."""

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            standin.era = 3
            assert (await client.list_rows('t')).is_ok()
            standin.era = 2
            assert (await client.list_rows('t')).is_err()
            late = await client.commit([], [Write('t', 'a', 1)])
            assert late.unwrap_err() is TableFailure.UNKNOWN

        run_with_store(scenario)

    @pytest.mark.parametrize('era', ['', 'two', '-1', '8388608', '9' * 5000])
    def test_era_is_unreadable(self, era: str) -> None:
        """An unreadable era leaves the last known one in force.

        A higher one than revisions can bear would end the daemon when it sends
        them on.
        """

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            standin.era = 2
            known = (await client.list_rows('t')).unwrap()
            standin.era = era
            assert (await client.list_rows('t')).unwrap() == known

        run_with_store(scenario)

    def test_invalid_value_keeps_other_rows(self) -> None:
        """A value that is not base64 does not hide the other rows."""

        async def scenario(standin: StoreStandin, client: StoreClient) -> None:
            standin.put_raw('t', 'a', '%%%')
            standin.put('t', 'b', 2)
            answer = (await client.read_table('t')).unwrap()
            assert [row.content for row in answer.rows] == [b'', b'2']

        run_with_store(scenario)
