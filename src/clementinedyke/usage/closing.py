"""Decision core that closes usage windows, sums and reports them."""

from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.usage.closing_messages import (
    CheckReport,
    CloserAction,
    CloserCallFailed,
    CloserEvent,
    CloserTick,
    PartsRead,
    ReadParts,
    ReadWindow,
    ReportChecked,
    SendReport,
    WindowRead,
    WindowWritten,
    WriteWindow,
)
from clementinedyke.usage.messages import WindowRow, sum_counts

#: Default length of a usage window.
WINDOW_LENGTH: Milliseconds = 60000
#: Wait for the outcome of a call before the next action is selected.
_CALL_TIMEOUT: Milliseconds = 5000
_RETRY_INTERVAL: Milliseconds = 1000


class CloserCore:
    """Moves one window at a time through closing, summed and reported.

    The totals are stored in the window row before the report is first sent,
    so that every attempt to send it, by any lease holder, has the same totals.
    """

    def __init__(self, window_length: Milliseconds = WINDOW_LENGTH) -> None:
        """Create a core that does nothing until a tick has a fence version.

        :param window_length: minimum time in milliseconds that a window stays
            open, starting when this process read or opened it.
        """
        self._window_length = window_length
        self._fence_version = 0
        self._may_report = False
        self._must_read = True
        self._open_window = 0
        self._open_version = 0
        self._opened_at: Milliseconds = 0
        self._row: WindowRow | None = None
        self._version = 0
        self._is_report_missing = False
        self._next_call_at: Milliseconds = 0

    @property
    def open_window(self) -> int:
        """Number of the open window, 0 until it was read."""
        return self._open_window

    @singledispatchmethod
    def handle(
        self, event: CloserEvent, now: Milliseconds
    ) -> list[CloserAction]:
        """Update the state with an event and return the actions to execute.

        :param event: tick or outcome of an earlier action.
        :param now: current time on the clock of the process.
        :raises NotImplementedError: for an event of an unknown class.
        """
        raise NotImplementedError(type(event).__name__)

    @handle.register
    def _handle_tick(
        self, event: CloserTick, now: Milliseconds
    ) -> list[CloserAction]:
        if event.fence_version != self._fence_version:
            self._fence_version = event.fence_version
            self._must_read = True
        self._may_report = event.may_report
        if not self._fence_version or now < self._next_call_at:
            return []
        actions = self._select_actions(now)
        if actions:
            self._next_call_at = now + _CALL_TIMEOUT
        return actions

    @handle.register
    def _handle_window_read(
        self, event: WindowRead, now: Milliseconds
    ) -> list[CloserAction]:
        self._next_call_at = now
        if event.open_window != self._open_window:
            self._opened_at = now
        self._must_read = False
        self._open_window = event.open_window
        self._open_version = event.open_version
        self._row = event.row
        self._version = event.version
        self._is_report_missing = False
        return []

    @handle.register
    def _handle_window_written(
        self, event: WindowWritten, now: Milliseconds
    ) -> list[CloserAction]:
        self._next_call_at = now
        if event.row.state == 'closing':
            self._open_window = event.window + 1
            self._open_version = event.version
            self._opened_at = now
        self._row = event.row
        self._version = event.version
        self._is_report_missing = False
        return []

    @handle.register
    def _handle_parts_read(
        self, event: PartsRead, now: Milliseconds
    ) -> list[CloserAction]:
        self._next_call_at = now
        if event.window != self._open_window - 1 or not self._is_in('closing'):
            return []
        figures = sum_counts([part.figures for part in event.parts])
        self._next_call_at = now + _CALL_TIMEOUT
        return [self._create_write(WindowRow('summed', figures))]

    @handle.register
    def _handle_report_checked(
        self, event: ReportChecked, now: Milliseconds
    ) -> list[CloserAction]:
        self._next_call_at = now
        if event.window != self._open_window - 1 or not self._is_in('summed'):
            return []
        if event.is_present and self._row:
            self._next_call_at = now + _CALL_TIMEOUT
            return [
                self._create_write(WindowRow('reported', self._row.figures))
            ]
        self._is_report_missing = True
        return []

    @handle.register
    def _handle_call_failed(
        self, event: CloserCallFailed, now: Milliseconds
    ) -> list[CloserAction]:
        self._next_call_at = now + _RETRY_INTERVAL
        self._must_read = True
        return []

    def _select_actions(self, now: Milliseconds) -> list[CloserAction]:
        if self._must_read:
            return [ReadWindow()]
        if self._is_in('closing'):
            return [ReadParts(self._open_window - 1)]
        if self._is_in('summed'):
            return self._create_report_action() if self._may_report else []
        if now < self._opened_at + self._window_length:
            return []
        return [
            WriteWindow(
                window=self._open_window,
                row=WindowRow('closing'),
                version=0,
                open_version=self._open_version,
                fence_version=self._fence_version,
            )
        ]

    def _create_report_action(self) -> list[CloserAction]:
        window = self._open_window - 1
        if self._is_report_missing and self._row:
            self._is_report_missing = False
            return [SendReport(window, self._row.figures or {})]
        return [CheckReport(window)]

    def _create_write(self, row: WindowRow) -> WriteWindow:
        return WriteWindow(
            window=self._open_window - 1,
            row=row,
            version=self._version,
            open_version=self._open_version,
            fence_version=self._fence_version,
        )

    def _is_in(self, state: str) -> bool:
        return self._row is not None and self._row.state == state
