"""Component that writes and reports the usage of customers.

Every daemon writes parts: its own counts of one window. The duties are the
tasks that one daemon at a time performs for all: it reports the usage and sends
the orders of engines.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.duty_lease import DutyLease
from clementinedyke.entry.usage_closer import WindowCloser
from clementinedyke.entry.usage_duty import SETTLE_TIME, WindowTime
from clementinedyke.entry.usage_sharing import SHARED_SETTLE_TIME, UsageSharing
from clementinedyke.entry.wall_time import WallTime
from clementinedyke.tasks import run_restarting

_MIN_PART_INTERVAL_SECONDS: float = 1
_PART_INTERVAL_SECONDS_PER_DAEMON = 0.06
_MAX_PART_INTERVAL_SECONDS: float = 4
_CLOSE_INTERVAL_SECONDS = 0.5
#: Delay before what a store lost is written again after a failed call.
_RESTORE_RETRY_SECONDS = 0.25
#: Longest time that a stop waits for the last counts to be written.
_FLUSH_TIMEOUT_SECONDS = 0.7
#: A report is sent this long before it is due even if parts are missing, since
#: another daemon may need up to 4 s to take over the duties.
_REPORT_MARGIN: Milliseconds = 4000


@dataclass(frozen=True, slots=True)
class UsageTiming:
    """Timing of usage windows.

    ``window`` is the length of a window. ``report_delay`` is the time after
    the end of a window at which its report is due. ``count_daemons`` returns
    the number of running daemons.
    """

    window: Milliseconds
    report_delay: Milliseconds
    count_daemons: Callable[[], int]

    def get_part_interval(self) -> float:
        """Return the interval between writes of a daemon's parts in seconds.

        A daemon that fails loses the counts that it has not written. With more
        daemons each of them counts fewer requests, and their writes share the
        rate limit of the store, so that the interval grows with their number.
        """
        interval = self.count_daemons() * _PART_INTERVAL_SECONDS_PER_DAEMON
        return min(
            _MAX_PART_INTERVAL_SECONDS,
            max(_MIN_PART_INTERVAL_SECONDS, interval),
        )

    @property
    def part_deadline(self) -> Milliseconds:
        """Time after the end of a window at which missing parts are ignored."""
        return max(SETTLE_TIME, self.report_delay - _REPORT_MARGIN)


class UsageComponent(Component):
    """Runs one task that writes parts and one that closes windows.

    Every daemon writes its own parts; only the holder of the duties sums and
    reports the windows.
    """

    def __init__(
        self,
        lease: DutyLease,
        sharing: UsageSharing,
        closer: WindowCloser,
        wall_time: WallTime,
        timing: UsageTiming,
    ) -> None:
        """Create the component.

        :param lease: lease of the duties.
        :param sharing: writes this daemon's parts, or has them written.
        :param closer: closer that sums and reports windows.
        :param wall_time: source of Unix time.
        :param timing: length of the windows and due time of the reports.
        """
        self._lease = lease
        self._sharing = sharing
        self._closer = closer
        self._wall_time = wall_time
        self._timing = timing
        self._has_returned = trio.Event()

    def record_return(self) -> None:
        """Record that the store has returned from a copy.

        Called with the first answer of the new era, before this daemon has
        given up a lease of the former one.
        """
        self._closer.record_return(
            is_holder=self._lease.is_held,
            window_time=self._compile_window_time(),
        )
        self._sharing.record_return()
        self._has_returned.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks.

        :param nursery: nursery that runs them.
        """
        nursery.start_soon(
            run_restarting, self._write_parts, 'usage_component.write_parts'
        )
        nursery.start_soon(
            run_restarting, self._close_windows, 'usage_component.close_windows'
        )
        nursery.start_soon(
            run_restarting, self._restore_windows, 'usage_component.restore'
        )

    async def stop(self) -> None:
        """Write the counts that have not been written yet."""
        with trio.move_on_after(_FLUSH_TIMEOUT_SECONDS):
            await self._sharing.flush()

    async def _write_parts(self) -> None:
        while True:
            interval = self._timing.get_part_interval()
            if self._sharing.is_shared:
                # Datagrams to a daemon of the zone cost no call of the store.
                interval = _MIN_PART_INTERVAL_SECONDS
            await trio.sleep(interval)
            await self._sharing.write_parts()

    async def _close_windows(self) -> None:
        while True:
            await trio.sleep(_CLOSE_INTERVAL_SECONDS)
            if not self._lease.is_held:
                continue
            # A write with this condition fails once another daemon has acquired
            # the lease.
            await self._closer.close_windows(
                self._compile_window_time(),
                self._lease.get_authority,
                self._lease.fence_condition,
            )

    async def _restore_windows(self) -> None:
        while True:
            await self._has_returned.wait()
            self._has_returned = trio.Event()
            while not await self._closer.restore_windows(
                self._compile_window_time()
            ):
                await trio.sleep(_RESTORE_RETRY_SECONDS)

    def _compile_window_time(self) -> WindowTime:
        return WindowTime(
            self._wall_time.get_unix(),
            self._timing.window,
            self._timing.part_deadline,
            SHARED_SETTLE_TIME if self._sharing.is_shared else SETTLE_TIME,
        )
