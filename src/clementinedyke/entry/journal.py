"""Structured log of a process: JSON lines at a limited rate."""

import json
import os
from collections import deque
from typing import Any

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component

_STANDARD_OUTPUT = 1
_MILLISECONDS_PER_SECOND = 1000


class Journal(Component):
    """Writes JSON lines to standard output without blocking the caller.

    Lines are queued in memory and written by a separate task. Lines that
    exceed the rate or the queue are dropped, and the next line states how many
    were dropped.
    """

    def __init__(
        self,
        clock: Clock,
        host: str,
        lines_per_second: int,
        max_queued: int,
    ) -> None:
        """Create the journal.

        :param clock: clock of the host, used for the time of each line.
        :param host: name of the host.
        :param lines_per_second: average rate, and size of the largest burst.
        :param max_queued: most lines queued for standard output.
        """
        self._clock = clock
        self._host = host
        self._rate = lines_per_second
        self._max_queued = max_queued
        self._allowance = float(lines_per_second)
        self._refilled_at = clock.get_now()
        self._lines: deque[bytes] = deque()
        self._wake = trio.Event()
        self._dropped = 0
        self.dropped_total = 0

    def write(self, event: str, /, **pairs: Any) -> None:
        """Queue a line, or drop it if it exceeds a limit.

        :param event: name of the event in snake case.
        :param pairs: further fields of the line; API keys must not be logged.
        """
        now = self._clock.get_now()
        if not self._consume_allowance(now):
            self._dropped += 1
            self.dropped_total += 1
            return
        line = {'at_ms': now, 'host': self._host, 'event': event, **pairs}
        if self._dropped:
            line['dropped_before'] = self._dropped
            self._dropped = 0
        text = json.dumps(line, separators=(',', ':'), default=str)
        self._lines.append(f'{text}\n'.encode())
        self._wake.set()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the writer.

        :param nursery: nursery that runs the writer.
        """
        self.write('daemon_started')
        nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Write the queued lines, for at most 1 s if the output blocks."""
        self.write('daemon_stopped')
        with trio.move_on_after(1):
            await self._flush()

    def _consume_allowance(self, now: Milliseconds) -> bool:
        elapsed = now - self._refilled_at
        self._refilled_at = now
        refill = elapsed * self._rate / _MILLISECONDS_PER_SECOND
        self._allowance = min(self._rate, self._allowance + refill)
        if self._allowance < 1 or len(self._lines) >= self._max_queued:
            return False
        self._allowance -= 1
        return True

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            await self._flush()

    async def _flush(self) -> None:
        os.set_blocking(_STANDARD_OUTPUT, False)
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(_STANDARD_OUTPUT, line)
            except BlockingIOError:
                await trio.sleep(1 / self._rate)
                continue
            self._lines.popleft()
            if written < len(line):
                self._lines.appendleft(line[written:])
