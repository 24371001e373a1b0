"""Decision core of a daemon's parts of the usage windows."""

from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.usage.messages import (
    PartAction,
    PartCallFailed,
    PartEvent,
    PartRead,
    PartRow,
    PartWritten,
    ReadPart,
    UsageCounts,
    UsageTick,
    WorkDone,
    WritePart,
    sum_counts,
)

FLUSH_INTERVAL: Milliseconds = 5000
_CALL_TIMEOUT: Milliseconds = 5000


class PartCore:
    """Writes a cumulative part and carries the rest into the next window.

    A part of a closed window is final: what it lacks is counted in the window
    that is open then, and what it holds is never counted again.
    """

    def __init__(
        self, window: int = 1, flush_interval: Milliseconds = FLUSH_INTERVAL
    ) -> None:
        """Create a core without figures.

        :param window: window to write first; a closed one is skipped.
        :param flush_interval: milliseconds between two writes.
        """
        self._window = window
        self._flush_interval = flush_interval
        #: Figures of this window, written or not.
        self._figures: UsageCounts = {}
        #: Figures known to be in the part row of this window.
        self._written: UsageCounts = {}
        self._version = 0
        self._must_read = False
        self._call_until: Milliseconds = 0
        self._next_flush: Milliseconds = 0

    @property
    def window(self) -> int:
        """Window that new figures are written to."""
        return self._window

    @property
    def is_flushed(self) -> bool:
        """Whether every figure is known to be written."""
        return self._figures == self._written

    @singledispatchmethod
    def handle(self, event: PartEvent, now: Milliseconds) -> list[PartAction]:
        """Take an event and return the actions that it calls for.

        :param event: what has happened.
        :param now: current instant.
        """
        raise NotImplementedError(type(event).__name__)

    def flush(self, now: Milliseconds) -> list[PartAction]:
        """Write at once, for a daemon that stops.

        :param now: current instant.
        """
        self._next_flush = now
        return self.handle(UsageTick(), now)

    @handle.register
    def _tick(self, event: UsageTick, now: Milliseconds) -> list[PartAction]:
        if now < self._call_until:
            return []
        if self._must_read:
            self._call_until = now + _CALL_TIMEOUT
            return [ReadPart(self._window)]
        if now < self._next_flush or self.is_flushed:
            return []
        self._next_flush = now + self._flush_interval
        self._call_until = now + _CALL_TIMEOUT
        row = PartRow(dict(self._figures))
        return [WritePart(self._window, row, self._version)]

    @handle.register
    def _add(self, event: WorkDone, now: Milliseconds) -> list[PartAction]:
        self._figures = sum_counts([self._figures, event.figures])
        return []

    @handle.register
    def _note_written(
        self, event: PartWritten, now: Milliseconds
    ) -> list[PartAction]:
        self._call_until = now
        if event.window == self._window and event.version > self._version:
            self._version = event.version
            self._written = event.row.figures
        return []

    @handle.register
    def _note_failed(
        self, event: PartCallFailed, now: Milliseconds
    ) -> list[PartAction]:
        self._call_until = now
        self._must_read = True
        return []

    @handle.register
    def _note_read(
        self, event: PartRead, now: Milliseconds
    ) -> list[PartAction]:
        self._call_until = now
        if event.window != self._window:
            return []
        self._must_read = False
        self._written = event.row.figures if event.row else {}
        self._version = event.version
        if event.open_window > self._window:
            self._enter_window(event.open_window)
        self._next_flush = min(self._next_flush, now + _CALL_TIMEOUT)
        return []

    def _enter_window(self, window: int) -> None:
        self._figures = _subtract(self._figures, self._written)
        self._written = {}
        self._version = 0
        self._window = window


def _subtract(total: UsageCounts, part: UsageCounts) -> UsageCounts:
    rest = {key: amount - part.get(key, 0) for key, amount in total.items()}
    return {key: amount for key, amount in rest.items() if amount}
