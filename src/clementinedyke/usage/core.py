"""Decision core that writes the usage parts of a daemon."""

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

#: Default time between two writes of the part.
FLUSH_INTERVAL: Milliseconds = 5000
#: Wait for the outcome of a call before the next action is selected.
_CALL_TIMEOUT: Milliseconds = 5000


class PartCore:
    """Writes a cumulative part and carries unwritten counts forward.

    The part of a closed window is final: counts that it does not include go
    into the next open window, counts that it includes are not written again.
    """

    def __init__(
        self, window: int = 1, flush_interval: Milliseconds = FLUSH_INTERVAL
    ) -> None:
        """Create a core without any counts.

        :param window: window to write first; skipped if already closed.
        :param flush_interval: milliseconds between two writes.
        """
        self._window = window
        self._flush_interval = flush_interval
        #: Counts of the current window, whether written or not.
        self._figures: UsageCounts = {}
        #: Counts known to be stored in the part row of the current window.
        self._written: UsageCounts = {}
        self._version = 0
        self._must_read = False
        self._next_call_at: Milliseconds = 0
        self._next_flush: Milliseconds = 0

    @property
    def window(self) -> int:
        """Number of the window that new counts are written to."""
        return self._window

    @property
    def is_flushed(self) -> bool:
        """Whether all counts are known to be stored."""
        return self._figures == self._written

    @singledispatchmethod
    def handle(self, event: PartEvent, now: Milliseconds) -> list[PartAction]:
        """Update the state with an event and return the actions to execute.

        :param event: tick, work or outcome of an earlier action.
        :param now: current time on the clock of the process.
        :raises NotImplementedError: for an event of an unknown class.
        """
        raise NotImplementedError(type(event).__name__)

    def flush(self, now: Milliseconds) -> list[PartAction]:
        """Return the actions that write without waiting for the interval.

        Used when the daemon stops.

        :param now: current time on the clock of the process.
        """
        self._next_flush = now
        return self.handle(UsageTick(), now)

    @handle.register
    def _handle_tick(
        self, event: UsageTick, now: Milliseconds
    ) -> list[PartAction]:
        if now < self._next_call_at:
            return []
        if self._must_read:
            self._next_call_at = now + _CALL_TIMEOUT
            return [ReadPart(self._window)]
        if now < self._next_flush or self.is_flushed:
            return []
        self._next_flush = now + self._flush_interval
        self._next_call_at = now + _CALL_TIMEOUT
        row = PartRow(dict(self._figures))
        return [WritePart(self._window, row, self._version)]

    @handle.register
    def _add_figures(
        self, event: WorkDone, now: Milliseconds
    ) -> list[PartAction]:
        self._figures = sum_counts([self._figures, event.figures])
        return []

    @handle.register
    def _handle_written(
        self, event: PartWritten, now: Milliseconds
    ) -> list[PartAction]:
        self._next_call_at = now
        if event.window == self._window and event.version > self._version:
            self._version = event.version
            self._written = event.row.figures
        return []

    @handle.register
    def _handle_failed(
        self, event: PartCallFailed, now: Milliseconds
    ) -> list[PartAction]:
        self._next_call_at = now
        self._must_read = True
        return []

    @handle.register
    def _handle_read(
        self, event: PartRead, now: Milliseconds
    ) -> list[PartAction]:
        self._next_call_at = now
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
