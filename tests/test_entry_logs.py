"""Tests of logs and metrics that explain a failure afterwards."""

import json
import os
from pathlib import Path
from types import SimpleNamespace

import pytest
import trio
from prometheus_client import CollectorRegistry, generate_latest
from tests.entry_samples import (
    create_journal,
    create_request,
    create_route,
    create_service,
)

from clementinedyke.cli import app
from clementinedyke.clock import ManualClock
from clementinedyke.codes import ResultCode
from clementinedyke.entry.catalog import RequestKind
from clementinedyke.entry.explain import compile_explanation, select_lines
from clementinedyke.entry.intake import Job
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.metrics import EntryMetrics, GaugeSources
from clementinedyke.entry.ports import get_max_connections
from clementinedyke.entry.store_calls import StoreCall, StoreCallLog

_ENDED = {
    'at_ms': 17,
    'host': 'front-a-1',
    'event': 'request_ended',
    'request': 'r-1',
    'route': 'review',
    'customer': 'loft',
    'code': 4000,
    'reason': 'connection lost',
    'duration_ms': 312,
    'read_ms': 290,
    'first_event_ms': None,
    'path': ['i-1', 'i-2'],
}


def read_journal(journal: Journal) -> list[dict]:
    """Return the lines that a journal writes to standard output."""
    reader, writer = os.pipe()
    kept = os.dup(1)
    os.dup2(writer, 1)
    try:
        trio.run(journal.stop)
    finally:
        os.dup2(kept, 1)
    os.close(kept)
    os.close(writer)
    with open(reader, encoding='utf-8') as lines:
        return [json.loads(line) for line in lines]


class TestJournal:
    """Guards against logs that slow the daemon down or say too little."""

    def test_bounded_rate(self) -> None:
        """Ten times the usual load must not write ten times the lines."""
        clock = ManualClock()
        journal = Journal(
            clock, 'front-a-1', lines_per_second=50, max_waiting=999
        )
        for _ in range(500):
            journal.write('event')
        clock.advance(1000)
        journal.write('later')
        *lines, stopped = read_journal(journal)
        assert len(lines) == 51
        assert lines[-1]['dropped_before'] == 450
        assert stopped['event'] == 'daemon_stopped'
        assert journal.dropped_total == 450

    def test_bounded_queue(self) -> None:
        """An output that nobody reads must not fill the memory."""
        journal = Journal(
            ManualClock(), 'front-a-1', lines_per_second=500, max_waiting=10
        )
        for _ in range(100):
            journal.write('event')
        assert len(read_journal(journal)) == 10

    def test_fields(self) -> None:
        """A line is one JSON object with the time, the host and the event."""
        journal = Journal(ManualClock(5), 'front-a-1', 10, 10)
        journal.write('store_lost', table='op')
        assert read_journal(journal)[0] == {
            'at_ms': 5,
            'host': 'front-a-1',
            'event': 'store_lost',
            'table': 'op',
        }


class TestExplain:
    """Guards against a failure that can't be told from its id."""

    def create_lines(self) -> list[str]:
        """Return a log with a request, another one, and a cut line."""
        return [
            f'  12.5 front-a-1 {json.dumps(_ENDED, separators=(",", ":"))}\n',
            json.dumps({**_ENDED, 'request': 'r-2'}, separators=(',', ':')),
            '{"at_ms":18,"host":"front-a-1","event":"request_en',
            'plain text\n',
        ]

    def test_select(self) -> None:
        """Only the lines of the request are given, whatever stands before."""
        found = select_lines(self.create_lines(), 'r-1')
        assert [line['request'] for line in found] == ['r-1']

    def test_story(self) -> None:
        """The story names host, endpoints, times and what is known."""
        story = compile_explanation(self.create_lines(), 'r-1')
        for part in ('front-a-1', 'i-1 -> i-2', 'ANSWER_LOST', '290 ms'):
            assert part in story

    def test_unknown(self) -> None:
        """An id that no line has is said, not passed over in silence."""
        assert 'no line' in compile_explanation(self.create_lines(), 'r-9')

    def test_command(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The command line reads log files."""
        log = tmp_path / 'daemon.log'
        log.write_text('\n'.join(self.create_lines()), encoding='utf-8')
        with pytest.raises(SystemExit) as ended:
            app(['explain', 'r-1', '--log', str(log)])
        assert not ended.value.code
        assert 'i-1 -> i-2' in capsys.readouterr().out


class TestMetrics:
    """Guards against figures that nobody counts."""

    def test_page(self) -> None:
        """Requests are counted by kind and result, with their times."""
        sources = GaugeSources(
            get_configuration_age=lambda: 1500,
            get_endpoints_age=lambda: None,
            get_version=lambda: 7,
            count_endpoints=lambda: 3,
            count_daemons=lambda: 7,
            count_dropped_lines=lambda: 2,
            holds_duties=lambda: True,
        )
        metrics = EntryMetrics(sources)
        job = Job(
            create_request(),
            create_route(kind=RequestKind.STREAM),
            create_service(),
            'loft',
            1,
            received_at=100,
            deadline=6100,
            sends=2,
            read_at=300,
        )
        metrics.observe(ResultCode.ANSWER_LOST, job, 700)
        metrics.observe(None, job, 700)
        page = metrics.compile_page().decode()
        for line in (
            'requests_total{code="answer_lost",kind="stream"} 1.0',
            'requests_total{code="caller_left",kind="stream"} 1.0',
            'clementinedyke_entry_dropped_log_lines 2.0',
            'clementinedyke_entry_sends_total{kind="stream"} 4.0',
            'clementinedyke_entry_read_seconds_sum{kind="stream"} 0.4',
            'clementinedyke_entry_configuration_age_seconds 1.5',
            'clementinedyke_entry_endpoints_age_seconds -1.0',
            'clementinedyke_entry_duties_held 1.0',
        ):
            assert line in page


class TestStoreCallLog:
    """Guards against a store that fails without anybody being told why."""

    def test_failed_call(self) -> None:
        """A failure has a line that says which call failed and how."""
        journal = Journal(ManualClock(), 'host-1', 100, 100)
        calls = StoreCallLog(journal)
        calls.record_call(StoreCall('rows-get', 'done', is_failure=False))
        calls.record_call(StoreCall('rows-tx', 'status_503', is_failure=True))
        lines = read_journal(journal)
        assert lines[0]['event'] == 'store_call_failed'
        assert lines[0]['call'] == 'rows-tx'
        assert lines[0]['outcome'] == 'status_503'

    def test_counts(self) -> None:
        """The metrics tell calls and outcomes apart."""
        calls = StoreCallLog(create_journal(ManualClock()))
        for outcome in ('done', 'done', 'unknown'):
            call = StoreCall('rows-tx', outcome, is_failure=outcome != 'done')
            calls.record_call(call)
        registry = CollectorRegistry()
        registry.register(calls)
        page = generate_latest(registry).decode()
        name = 'clementinedyke_entry_store_calls_total'
        assert f'{name}{{call="rows-tx",outcome="done"}} 2.0' in page
        assert f'{name}{{call="rows-tx",outcome="unknown"}} 1.0' in page


class TestConnectionLimit:
    """Guards against a limit that suits the large hosts only."""

    def test_limits(self) -> None:
        """Small memory binds before descriptors do, and the other way."""
        for memory, descriptors, most in (
            (200, 8192, 1000),
            (552, 4100, 3500),
            (40, 100, 1),
        ):
            settings = SimpleNamespace(
                memory_mb=memory, max_descriptors=descriptors
            )
            assert 1 <= get_max_connections(settings) <= most
