"""Tests of the log, the explain command, metrics and connection limits."""

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
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.http.lost_connection import LostConnection

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
    """Stop a journal and return the lines it wrote to standard output."""
    reader, writer = os.pipe()
    saved_output = os.dup(1)
    os.dup2(writer, 1)
    try:
        trio.run(journal.stop)
    finally:
        os.dup2(saved_output, 1)
    os.close(saved_output)
    os.close(writer)
    with open(reader, encoding='utf-8') as lines:
        return [json.loads(line) for line in lines]


class TestJournal:
    """Guards against unbounded log volume and incomplete lines."""

    def test_bounded_rate(self) -> None:
        """Lines beyond the rate must be dropped and counted.

        Otherwise ten times the load writes ten times the log volume.
        """
        clock = ManualClock()
        journal = Journal(
            clock, 'front-a-1', lines_per_second=50, max_queued=999
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
        """Lines must be dropped once the queue is full.

        Otherwise an output that nobody reads exhausts the memory.
        """
        journal = Journal(
            ManualClock(), 'front-a-1', lines_per_second=500, max_queued=10
        )
        for _ in range(100):
            journal.write('event')
        assert len(read_journal(journal)) == 10

    def test_fields(self) -> None:
        """A line must be a JSON object with time, host and event."""
        journal = Journal(ManualClock(5), 'front-a-1', 10, 10)
        journal.write('store_lost', table='op')
        assert read_journal(journal)[0] == {
            'at_ms': 5,
            'host': 'front-a-1',
            'event': 'store_lost',
            'table': 'op',
        }


class TestExplain:
    """Guards against failures that can't be explained by a request id."""

    def create_lines(self) -> list[str]:
        """Return lines of two requests, a truncated line and plain text."""
        return [
            f'  12.5 front-a-1 {json.dumps(_ENDED, separators=(",", ":"))}\n',
            json.dumps({**_ENDED, 'request': 'r-2'}, separators=(',', ':')),
            '{"at_ms":18,"host":"front-a-1","event":"request_en',
            'plain text\n',
        ]

    def test_select(self) -> None:
        """Only lines of the request are selected, with any text before them."""
        found = select_lines(self.create_lines(), 'r-1')
        assert [line['request'] for line in found] == ['r-1']

    def test_explanation(self) -> None:
        """The explanation must name host, endpoints, result and times."""
        explanation = compile_explanation(self.create_lines(), 'r-1')
        for part in ('front-a-1', 'i-1 -> i-2', 'ANSWER_LOST', '290 ms'):
            assert part in explanation

    def test_unknown_request(self) -> None:
        """The output must state that no line has the request id."""
        assert 'no line' in compile_explanation(self.create_lines(), 'r-9')

    def test_command(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """The explain command must read the given log file."""
        log = tmp_path / 'daemon.log'
        log.write_text('\n'.join(self.create_lines()), encoding='utf-8')
        with pytest.raises(SystemExit) as ended:
            app(['explain', 'r-1', '--log', str(log)])
        assert not ended.value.code
        assert 'i-1 -> i-2' in capsys.readouterr().out


class TestMetrics:
    """Guards against metrics that are missing or count wrongly."""

    def test_page(self) -> None:
        """Requests must be counted by kind and result, with their times."""
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
    """Guards against store failures that leave no trace."""

    def test_failed_call(self) -> None:
        """A failed call must be logged with its name and outcome."""
        clock = ManualClock()
        journal = Journal(clock, 'host-1', 100, 100)
        calls = StoreCallLog(StoreContact(), clock, journal)
        calls.record_call(StoreCall('rows-get', 'done', is_failure=False))
        calls.record_call(StoreCall('rows-tx', 'status_503', is_failure=True))
        lines = read_journal(journal)
        assert lines[0]['event'] == 'store_call_failed'
        assert lines[0]['call'] == 'rows-tx'
        assert lines[0]['outcome'] == 'status_503'

    def test_lost_connection(self) -> None:
        """A lost connection must be logged with its age."""
        journal = Journal(ManualClock(), 'host-1', 100, 100)
        calls = StoreCallLog(StoreContact(), ManualClock(), journal)
        calls.record_loss(LostConnection(idle_time=None, silence=1900))
        line = read_journal(journal)[0]
        assert line['event'] == 'store_connection_lost'
        assert line['idle_ms'] is None
        assert line['silence_ms'] == 1900

    def test_contact(self) -> None:
        """Only a call that was answered must count as contact to the store."""
        clock = ManualClock()
        contact = StoreContact()
        calls = StoreCallLog(contact, clock, create_journal(clock))
        calls.record_call(StoreCall('rows-tx', 'status_503', is_failure=True))
        assert contact.get_age(clock.get_now()) is None
        calls.record_call(StoreCall('rows-tx', 'conflict', is_failure=False))
        clock.advance(300)
        assert contact.get_age(clock.get_now()) == 300

    def test_counts(self) -> None:
        """The metrics must count each call and outcome separately."""
        clock = ManualClock()
        calls = StoreCallLog(StoreContact(), clock, create_journal(clock))
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
    """Guards against a connection limit that is too high for small hosts."""

    def test_limits(self) -> None:
        """The scarcer of memory and descriptors must set the limit."""
        for memory, descriptors, most in (
            (200, 8192, 1000),
            (552, 4100, 3500),
            (40, 100, 1),
        ):
            settings = SimpleNamespace(
                memory_mb=memory, max_descriptors=descriptors
            )
            assert 1 <= get_max_connections(settings) <= most
