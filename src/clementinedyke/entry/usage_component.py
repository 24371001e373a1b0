"""Writes this daemon's usage, and reports all of it under the lease."""

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.duty_lease import DutyLease
from clementinedyke.entry.usage_duty import (
    SETTLE_TIME,
    PartWriter,
    WindowCloser,
)
from clementinedyke.entry.wall_time import WallTime

_PART_INTERVAL_SECONDS = 1
_CLOSE_INTERVAL_SECONDS = 0.5


class UsageComponent(Component):
    """Two tasks: one for the parts, one for the reports."""

    def __init__(
        self,
        lease: DutyLease,
        writer: PartWriter,
        closer: WindowCloser,
        wall_time: WallTime,
        window_length: Milliseconds,
    ) -> None:
        """Create the component.

        :param lease: authority over the duties.
        :param writer: writes this daemon's parts.
        :param closer: sums and reports windows.
        :param wall_time: true time.
        :param window_length: length of a window in milliseconds.
        """
        self._lease = lease
        self._writer = writer
        self._closer = closer
        self._wall_time = wall_time
        self._length = window_length

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the tasks.

        :param nursery: nursery that runs them.
        """
        nursery.start_soon(self._write_parts)
        nursery.start_soon(self._close_windows)

    async def stop(self) -> None:
        """Write what was counted last."""
        with trio.move_on_after(_PART_INTERVAL_SECONDS):
            await self._writer.write_parts()

    async def _write_parts(self) -> None:
        while True:
            await trio.sleep(_PART_INTERVAL_SECONDS)
            await self._writer.write_parts()

    async def _close_windows(self) -> None:
        while True:
            await trio.sleep(_CLOSE_INTERVAL_SECONDS)
            authority = self._lease.get_authority()
            if authority is None:
                continue
            settled = self._wall_time.get_unix() - SETTLE_TIME
            await self._closer.close_windows(
                settled // self._length - 1,
                authority,
                self._lease.fence_condition,
            )
