"""Tests of the parts, sums and reports of usage windows."""

import pytest
import trio
from result import Err, Ok, Result
from tests.entry_samples import create_journal
from tests.row_table import InMemoryRowStore
from trio.testing import MockClock

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import ManualClock
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.usage_closer import WindowCloser
from clementinedyke.entry.usage_component import UsageComponent, UsageTiming
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_duty import (
    PARTS_TABLE,
    PartWriter,
    WindowTime,
    compile_fence_condition,
)
from clementinedyke.entry.usage_sharing import UsageSharing
from clementinedyke.entry.usage_windows import ERA_KEY, WINDOWS_TABLE
from clementinedyke.rows import Condition, Row, Snapshot, Write

_LENGTH = 5000
_PART_DEADLINE = 8500
_AUTHORITY = Authority('host-1', 1)
_TIME = WindowTime(13 * _LENGTH, _LENGTH, _PART_DEADLINE)


class FixedTime:
    """Unix time that a test sets."""

    def __init__(self) -> None:
        """Set the time to the start of window 10."""
        self.unix = 10 * _LENGTH

    def get_unix(self) -> int:
        """Return the time in milliseconds."""
        return self.unix


class Reporter:
    """Fake of the usage interface that records the reports it receives.

    The next ``answers_to_lose`` reports are recorded but return an unknown
    outcome.
    """

    def __init__(self) -> None:
        """Create an interface that has received no reports."""
        self.reports: list[tuple[int, dict[str, int]]] = []
        self.answers_to_lose = 0

    async def report_usage(
        self, window: int, counts: dict[str, int], authority: Authority
    ) -> Result[None, TableFailure]:
        """Record a report."""
        self.reports.append((window, counts))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Err(TableFailure.UNKNOWN)
        return Ok(None)


class UsageScenario:
    """Daemons that write parts and a holder that closes windows."""

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
        self.raise_fence()
        self.closer = self.create_closer()
        # The first pass of a holder notes which windows this era may sum.
        self.close()

    def raise_fence(self) -> None:
        """Give the duties to a new holder."""
        written = trio.run(
            self.store.commit, [], [Write('fences', 'duties', 1)]
        )
        revision = written.unwrap().revision
        self.fence = compile_fence_condition('duties', revision)

    def create_closer(self) -> WindowCloser:
        """Return the closer of a new holder."""
        return WindowCloser(
            self.store,
            self.reporter,
            create_journal(ManualClock()),
            lambda age: self.hosts,
        )

    def count(self, host: str, customer: str, times: int) -> None:
        """Start a number of requests at the daemon of a host."""
        for _ in range(times):
            self.counters[host].count_request(customer)

    def write(self, *hosts: str) -> None:
        """Make the daemons of the given hosts write their parts."""
        for host in hosts:
            trio.run(self.writers[host].write_parts)

    def close(self, closer: WindowCloser | None = None) -> None:
        """Run one pass of the holder over its windows."""
        window_time = WindowTime(self.time.unix, _LENGTH, _PART_DEADLINE)
        trio.run(
            (closer or self.closer).close_windows,
            window_time,
            lambda: _AUTHORITY,
            self.fence,
        )


def create_unshared(writer: PartWriter) -> UsageSharing:
    """Return the sharing of a daemon on its own."""
    clock = ManualClock()
    network = PeerNetwork(create_journal(clock))
    return UsageSharing(
        'host-1', 'host-1.1', writer, network, clock, create_journal(clock)
    )


class SlowReads(InMemoryRowStore):
    """Row store whose reads of single rows take 2 s."""

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Return a row after 2 s."""
        await trio.sleep(2)
        return await super().get_row(table, key)


class ReturningInRead(InMemoryRowStore):
    """Row store that returns from a copy as the next list is read."""

    def __init__(self) -> None:
        """Create an empty store."""
        super().__init__()
        self.closer: WindowCloser | None = None

    async def list_rows(
        self, table: str, prefix: str = ''
    ) -> Result[Snapshot, TableFailure]:
        """Return from a copy, and tell the closer before the answer."""
        closer = self.closer
        self.closer = None
        if closer is not None:
            self.return_from(self.copy())
            closer.record_return(is_holder=False, window_time=_TIME)
        return await super().list_rows(table, prefix)


class TestReturnWhileWindowsAreOpened:
    """Guards against windows that are opened in an era too late."""

    def test_second_return(self) -> None:
        """What a holder knew of one era opens no window in the next.

        Its write was delayed, and another daemon may have summed them since.
        """
        scenario = UsageScenario('host-1')
        store = ReturningInRead()
        scenario.store = store
        scenario.raise_fence()
        closer = scenario.create_closer()
        scenario.close(closer)
        closer.record_return(is_holder=True, window_time=_TIME)
        store.closer = closer
        trio.run(closer.restore_windows, _TIME)
        assert not store.rows[WINDOWS_TABLE, ERA_KEY].value['open_windows']


class CountingReads(InMemoryRowStore):
    """Row store that counts its reads."""

    def __init__(self) -> None:
        """Create an empty store."""
        super().__init__()
        self.reads = 0

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Return a row."""
        self.reads += 1
        return await super().get_row(table, key)

    async def list_rows(
        self, table: str, prefix: str = ''
    ) -> Result[Snapshot, TableFailure]:
        """Return the rows whose key begins with a prefix."""
        self.reads += 1
        return await super().list_rows(table, prefix)


class TestFirstTenure:
    """Guards against what a holder does with windows before its era."""

    def test_windows_without_parts(self) -> None:
        """A holder gives up overdue windows in which nothing was counted.

        The era may not sum them. They were looked up in each pass for 20 s.
        """
        scenario = UsageScenario('host-1')
        scenario.store = CountingReads()
        scenario.raise_fence()
        scenario.time.unix += _PART_DEADLINE
        closer = scenario.create_closer()
        closer.record_return(is_holder=False, window_time=_TIME)
        for _ in range(2):
            scenario.close(closer)
        before = scenario.store.reads
        scenario.close(closer)
        # One window is not overdue yet, and the row of the era may change.
        assert scenario.store.reads - before <= 2

    def test_first_start(self) -> None:
        """Requests are reported that ran before the first daemon held a lease.

        They were left out, like windows of an earlier era.
        """
        scenario = UsageScenario('host-1')
        scenario.store.rows.pop((WINDOWS_TABLE, ERA_KEY))
        scenario.count('host-1', 'loft', 2)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        scenario.close(scenario.create_closer())
        assert scenario.reporter.reports == [(10, {'loft': 2})]


class ExpiringLease:
    """Lease of the duties that is lost after 1 s."""

    def __init__(self, fence: Condition) -> None:
        """Create a lease that is held from now on."""
        self.fence_condition = fence
        self._lost_at = trio.current_time() + 1

    @property
    def is_held(self) -> bool:
        """Whether the lease is held."""
        return trio.current_time() < self._lost_at

    def get_authority(self) -> Authority | None:
        """Return the authority while the lease is held."""
        return _AUTHORITY if self.is_held else None


class TestLostLease:
    """Guards against two holders that report in turn."""

    def test_no_report_after_the_lease(self) -> None:
        """A holder must not report after it lost the lease during a read.

        The store answered slowly, another daemon had taken over, and its
        reports and those of the former holder alternated.
        """
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        slow = SlowReads()
        slow.rows = scenario.store.rows
        slow.revision = scenario.store.revision
        scenario.store = slow

        async def main() -> None:
            component = UsageComponent(
                ExpiringLease(scenario.fence),
                create_unshared(scenario.writers['host-1']),
                scenario.create_closer(),
                scenario.time,
                UsageTiming(_LENGTH, 10000, lambda: 1),
            )
            async with trio.open_nursery() as nursery:
                await component.start(nursery)
                await trio.sleep(20)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))
        assert not scenario.reporter.reports


class TestLargeSite:
    """Guards against windows that are never reported on a large site.

    The sum of a window and the removal of all its parts were one commit, which
    the store refused from 98 daemons on: no window was reported at 195.
    """

    @pytest.mark.parametrize('daemons', [97, 98, 195, 330])
    def test_window_is_reported(self, daemons: int) -> None:
        """The window is reported once, and its parts are removed."""
        hosts = [f'host-{number}' for number in range(daemons)]
        scenario = UsageScenario(*hosts)
        for host in hosts:
            scenario.count(host, 'loft', 2)
        scenario.time.unix += _LENGTH + 1500
        scenario.write(*hosts)
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 2 * daemons})]
        parts = [key for table, key in scenario.store.rows if 'parts' in table]
        assert not any(key.startswith('10/') for key in parts)

    def test_holder_ends_before_all_parts_are_removed(self) -> None:
        """The next holder reports the same sum and removes what is left."""
        hosts = [f'host-{number}' for number in range(195)]
        scenario = UsageScenario(*hosts)
        for host in hosts:
            scenario.count(host, 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write(*hosts)
        scenario.reporter.answers_to_lose = 1
        scenario.store.commits_to_fail = {scenario.store.commit_count + 2}
        scenario.close()
        scenario.close(scenario.create_closer())
        assert set(dict(scenario.reporter.reports)[10].items()) == {
            ('loft', 195)
        }
        parts = [key for table, key in scenario.store.rows if 'parts' in table]
        assert not any(key.startswith('10/') for key in parts)


class TestStoreFromOlderCopy:
    """Guards against a second figure after the store lost writes."""

    def test_window_has_one_figure(self) -> None:
        """A window must not be reported again from what the store kept.

        The store returns from a copy taken before one of two daemons wrote its
        part, after the window was reported. A new holder sums it once more.
        """
        scenario = UsageScenario('host-1', 'host-2')
        scenario.count('host-1', 'loft', 2)
        scenario.count('host-2', 'loft', 3)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-2')
        copy = scenario.store.copy()
        scenario.write('host-1')
        scenario.close()
        scenario.store.return_from(copy)
        scenario.raise_fence()
        scenario.write('host-1', 'host-2')
        scenario.time.unix += _PART_DEADLINE
        scenario.close(scenario.create_closer())
        figures = {
            tuple(counts.items())
            for window, counts in scenario.reporter.reports
            if window == 10
        }
        assert figures == {(('loft', 5),)}

    def test_copy_of_open_window(self) -> None:
        """A window must not be reported again with the counts of a copy.

        The copy was taken within the window, so its parts are not final.
        """
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 2)
        scenario.write('host-1')
        copy = scenario.store.copy()
        scenario.count('host-1', 'loft', 3)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        scenario.close()
        scenario.store.return_from(copy)
        scenario.raise_fence()
        scenario.time.unix += _PART_DEADLINE
        for _ in range(2):
            scenario.close(scenario.create_closer())
        assert scenario.reporter.reports == [(10, {'loft': 5})]

    def test_windows_after_the_return(self) -> None:
        """Windows that begin after the store returned are reported."""
        scenario = UsageScenario('host-1', 'host-2')
        scenario.count('host-1', 'loft', 2)
        scenario.write('host-1', 'host-2')
        scenario.store.return_from(scenario.store.copy())
        scenario.raise_fence()
        for _ in range(2):
            scenario.time.unix += _LENGTH
            scenario.count('host-1', 'loft', 3)
            scenario.write('host-1', 'host-2')
            scenario.time.unix += _LENGTH + 1500
            scenario.write('host-1', 'host-2')
            scenario.close()
        windows = dict(scenario.reporter.reports)
        assert windows[max(windows)] == {'loft': 3}


class TestIncompleteReports:
    """Guards against reports that omit requests a daemon has counted."""

    def test_sum_counts_each_request_once(self) -> None:
        """A report contains the requests of all daemons exactly once."""
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

    def test_report_waits_for_final_parts(self) -> None:
        """A window must not be summed before all daemons wrote final parts.

        With two daemons cut off from the store, windows summed 2.5 s after
        their end lacked 40 of 116 requests.
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

    def test_late_part_is_not_retried(self) -> None:
        """A part that is written after the sum must not be retried forever."""
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

    def test_silent_daemon_does_not_delay_report(self) -> None:
        """A daemon that writes no part must not make the report late."""
        scenario = UsageScenario('host-1', 'host-2')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + _PART_DEADLINE
        scenario.write('host-1')
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 1})]

    def test_store_outage_loses_no_counts(self) -> None:
        """Counts of windows that ended during a store outage must be kept."""
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


class TestContradictoryReports:
    """Guards against two reports of a window with different counts."""

    def test_late_part_does_not_change_report(self) -> None:
        """A part that is written after the sum must not change the report."""
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

    def test_sum_with_lost_answer_is_read_back(self) -> None:
        """A sum that was written but not confirmed is read, not recomputed."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        scenario.store.answers_to_lose = 1
        scenario.close()
        assert not scenario.reporter.reports
        scenario.close()
        assert scenario.reporter.reports == [(10, {'loft': 1})]

    def test_former_holder_cannot_write_sum(self) -> None:
        """A holder cannot store a sum once another has raised the fence."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        trio.run(scenario.store.commit, [], [Write('fences', 'duties', 2)])
        scenario.close()
        assert not scenario.reporter.reports

    def test_part_with_lost_answer_is_updated(self) -> None:
        """Writing must continue from a part that was stored unconfirmed."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 2)
        scenario.store.answers_to_lose = 1
        scenario.write('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.write('host-1')
        row = scenario.store.rows[PARTS_TABLE, '10/host-1.1']
        assert row.value['counts'] == {'loft': 3}

    def test_summed_parts_are_deleted(self) -> None:
        """Parts of closed windows must not accumulate in the store."""
        scenario = UsageScenario('host-1')
        scenario.count('host-1', 'loft', 1)
        scenario.time.unix += _LENGTH + 1500
        scenario.write('host-1')
        scenario.close()
        assert (PARTS_TABLE, '10/host-1.1') not in scenario.store.rows
