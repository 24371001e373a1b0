"""Tests of usage windows of the wall clock."""

import trio
from result import Err, Ok, Result
from tests.entry_samples import create_journal
from tests.row_table import InMemoryRowStore

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import ManualClock
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_duty import (
    PARTS_TABLE,
    PartWriter,
    WindowCloser,
    WindowTime,
    compile_fence_condition,
)
from clementinedyke.rows import Write

_LENGTH = 5000
_PART_DEADLINE = 8500
_AUTHORITY = Authority('host-1', 1)


class FixedTime:
    """Unix time that a test sets."""

    def __init__(self) -> None:
        """Begin in window 10."""
        self.unix = 10 * _LENGTH

    def get_unix(self) -> int:
        """Return the time in milliseconds."""
        return self.unix


class Reporter:
    """Usage interface that keeps what it accepts."""

    def __init__(self) -> None:
        """Begin without reports."""
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.answers_to_lose = 0

    async def report_usage(
        self, window: int, counts: dict[str, int], authority: Authority
    ) -> Result[None, TableFailure]:
        """Accept a report, and lose the answer if told to."""
        self.reports.append((window, counts))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Err(TableFailure.UNKNOWN)
        return Ok(None)


class UsageScenario:
    """Daemons that count and a holder that reports, over one store."""

    def __init__(self, *hosts: str) -> None:
        """Create a daemon on each host."""
        self.time = FixedTime()
        self.store = InMemoryRowStore()
        self.reporter = Reporter()
        self.hosts = frozenset(hosts)
        self.counters = {
            host: UsageCounter(self.time, _LENGTH) for host in hosts
        }
        self.writers = {
            host: PartWriter(
                self.store,
                counter,
                create_journal(ManualClock()),
                host,
                f'{host}.1',
            )
            for host, counter in self.counters.items()
        }
        trio.run(self.store.commit, [], [Write('fences', 'duties', 1)])
        self.fence = compile_fence_condition('duties', 1)
        self.closer = self.create_closer()

    def create_closer(self) -> WindowCloser:
        """Return what a new holder reports with."""
        return WindowCloser(
            self.store,
            self.reporter,
            create_journal(ManualClock()),
            lambda age: self.hosts,
        )

    def count(self, host: str, customer: str, times: int) -> None:
        """Let requests begin at a daemon."""
        for _ in range(times):
            self.counters[host].count_request(customer)

    def write(self, *hosts: str) -> None:
        """Let daemons write their parts."""
        for host in hosts:
            trio.run(self.writers[host].write_parts)

    def close(self, closer: WindowCloser | None = None) -> None:
        """Let the holder close what it can."""
        present = WindowTime(self.time.unix, _LENGTH, _PART_DEADLINE)
        trio.run(
            (closer or self.closer).close_windows,
            present,
            _AUTHORITY,
            self.fence,
        )


class TestWindowSum:
    """Guards against reports that lack what a daemon has counted."""

    def test_sum_of_daemons(self) -> None:
        """A window has the requests of all daemons, once each."""
        scenario = UsageScenario('host-1', 'host-2')
        scenario.count('host-1', 'loft', 3)
        scenario.write('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.count('host-2', 'loft', 2)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1', 'host-2')
        scenario.close()
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 6})]

    def test_waits_for_final_parts(self) -> None:
        """A daemon that could not write yet must not be left out.

        Windows that were summed 2.5 s after their end lacked 40 of 116
        requests when two daemons were cut off from the store.
        """
        scenario = UsageScenario('host-1', 'host-2')
        scenario.count('host-1', 'loft', 1)
        scenario.count('host-2', 'loft', 1)
        scenario.time.unix += _LENGTH + 3000
        scenario.write('host-1')
        scenario.close()
        assert not scenario.reporter.reports
        scenario.write('host-2')
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 2})]

    def test_part_after_the_sum(self) -> None:
        """A part that comes too late is not written again and again."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.write('host-1')
        scenario.time.unix += _LENGTH + _PART_DEADLINE
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 1})]
        scenario.write('host-1')
        commit_count = scenario.store.commit_count
        scenario.write('host-1')
        assert scenario.store.commit_count == commit_count
        listed = trio.run(scenario.store.list_rows, PARTS_TABLE, '10/').unwrap()
        assert not listed.rows

    def test_reports_in_time(self) -> None:
        """A daemon that never writes must not make the report late."""
        scenario = UsageScenario('host-1', 'host-2')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + _PART_DEADLINE
        scenario.write('host-1')
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 1})]

    def test_outage_of_windows(self) -> None:
        """Counts of an outage over several windows must not be dropped."""
        scenario = UsageScenario('host-1')
        scenario.store.is_down = True
        for _ in range(2):
            scenario.count('host-1', 'loft', 1)
            scenario.write('host-1')
            scenario.time.unix += _LENGTH
        scenario.store.is_down = False
        scenario.time.unix += 1500
        scenario.write('host-1')
        scenario.close()
        assert [window for window, _ in scenario.reporter.reports] == [10, 11]


class TestOneFigure:
    """Guards against two reports of a window with different counts."""

    def test_late_part(self) -> None:
        """A part that comes after the sum must not change the report."""
        scenario = UsageScenario('host-1', 'host-2')
        scenario.count('host-1', 'loft', 1)
        scenario.count('host-2', 'loft', 1)
        scenario.time.unix += _LENGTH + _PART_DEADLINE
        scenario.write('host-1')
        scenario.reporter.answers_to_lose = 1
        scenario.close()
        scenario.write('host-2')
        scenario.close(scenario.create_closer())
        figures = {str(counts) for _, counts in scenario.reporter.reports}
        assert len(scenario.reporter.reports) == 2
        assert len(figures) == 1

    def test_lost_write_of_the_sum(self) -> None:
        """A sum whose answer was lost is read back, not made again."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        scenario.store.answers_to_lose = 1
        scenario.close()
        assert not scenario.reporter.reports
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 1})]

    def test_lost_fence(self) -> None:
        """A holder whose fence was raised by another can't fix a sum."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        trio.run(scenario.store.commit, [], [Write('fences', 'duties', 2)])
        scenario.close()
        assert not scenario.reporter.reports

    def test_lost_write_of_a_part(self) -> None:
        """A part whose answer was lost must go on from what was written."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 2)
        scenario.store.answers_to_lose = 1
        scenario.write('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.write('host-1')
        row = scenario.store.rows[PARTS_TABLE, '10/host-1.1']
        assert row.value['counts'] == {'loft': 3}

    def test_reported_parts_are_dropped(self) -> None:
        """The store must not fill with the parts of old windows."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        scenario.close()
        assert (PARTS_TABLE, '10/host-1.1') not in scenario.store.rows
