"""Writes this daemon's usage, and reports all of it under the lease."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.duty_lease import DutyLease
from clementinedyke.entry.usage_duty import (
    SETTLE_TIME,
    PartWriter,
    WindowCloser,
    WindowTime,
)
from clementinedyke.entry.wall_time import WallTime

_MIN_PART_INTERVAL_SECONDS: float = 1
_PART_INTERVAL_SECONDS_PER_DAEMON = 0.06
_MAX_PART_INTERVAL_SECONDS: float = 4
_CLOSE_INTERVAL_SECONDS = 0.5


#: Time before a report is due at which it is sent even with parts missing:
#: another daemon takes the duties over within 4 s.
_REPORT_MARGIN: Milliseconds = 4000


@dataclass(frozen=True, slots=True)
class UsageTiming:
    """Length of a window, and when its report is due after its end."""

    window: Milliseconds
    report_delay: Milliseconds
    count_daemons: Callable[[], int]

    def get_part_interval(self) -> float:
        """Return the seconds between two writes of a daemon's parts.

        What was not written yet is lost with the daemon; with more daemons
        each counts less, and the writes of all share the store's rate.
        """
        interval = self.count_daemons() * _PART_INTERVAL_SECONDS_PER_DAEMON
        return min(
            _MAX_PART_INTERVAL_SECONDS,
            max(_MIN_PART_INTERVAL_SECONDS, interval),
        )

    @property
    def part_deadline(self) -> Milliseconds:
        """Time after a window's end at which it waits for no more parts."""
        return max(SETTLE_TIME, self.report_delay - _REPORT_MARGIN)


class UsageComponent(Component):
    """Two tasks: one for the parts, one for the reports."""

    def __init__(
        self,
        lease: DutyLease,
        writer: PartWriter,
        closer: WindowCloser,
        wall_time: WallTime,
        timing: UsageTiming,
    ) -> None:
        """Create the component.

        :param lease: authority over the duties.
        :param writer: writes this daemon's parts.
        :param closer: sums and reports windows.
        :param wall_time: true time.
        :param timing: length of windows and when reports are due.
        """
        self._lease = lease
        self._writer = writer
        self._closer = closer
        self._wall_time = wall_time
        self._timing = timing

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks.

        :param nursery: nursery that runs them.
        """
        nursery.start_soon(self._write_parts)
        nursery.start_soon(self._close_windows)

    async def stop(self) -> None:
        """Write what was counted last."""
        with trio.move_on_after(_MIN_PART_INTERVAL_SECONDS):
            await self._writer.write_parts()

    async def _write_parts(self) -> None:
        while True:
            await trio.sleep(self._timing.get_part_interval())
            await self._writer.write_parts()

    async def _close_windows(self) -> None:
        while True:
            await trio.sleep(_CLOSE_INTERVAL_SECONDS)
            authority = self._lease.get_authority()
            if authority is None:
                continue
            present = WindowTime(
                self._wall_time.get_unix(),
                self._timing.window,
                self._timing.part_deadline,
            )
            await self._closer.close_windows(
                present, authority, self._lease.fence_condition
            )
