"""Decision core that selects when a usage window is closed and reported.

The core returns actions; the caller executes them and passes the outcomes back.
"""

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
#: An action is selected again if its outcome is not known after this time.
_CALL_TIMEOUT: Milliseconds = 5000
_RETRY_INTERVAL: Milliseconds = 1000


class CloserCore:
    """Decides when a window is closed, summed and reported.

    One window at a time passes through the states of its row: ``closing`` (no
    part can be added), ``summed`` (the totals are stored) and ``reported``
    (the usage interface has the report). The next window is already open.

    The totals are stored in the window row before the report is first sent,
    so that every attempt to send it, by any lease holder, has the same totals.
    """

    def __init__(self, window_length: Milliseconds = WINDOW_LENGTH) -> None:
        """Create a core.

        It does nothing until a tick has a fence version other than 0, that is,
        until this process holds the usage lease.

        :param window_length: minimum time in milliseconds that a window stays
            open, starting when this process read or opened it.
        """
        self._window_length = window_length
        self._fence_version = 0
        self._may_report = False
        #: Whether the stored state must be read before the next action, after
        #: the lease was acquired or a call failed.
        self._must_read_window = True
        self._open_window = 0
        #: Version of the row with the number of the open window.
        self._open_row_version = 0
        self._opened_at: Milliseconds = 0
        #: Row of the window before the open one, and its version.
        self._closed_row: WindowRow | None = None
        self._closed_row_version = 0
        #: Whether a check found that the report has not arrived.
        self._must_send_report = False
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
            self._must_read_window = True
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
        self._must_read_window = False
        self._open_window = event.open_window
        self._open_row_version = event.open_version
        self._closed_row = event.row
        self._closed_row_version = event.version
        self._must_send_report = False
        return []

    @handle.register
    def _handle_window_written(
        self, event: WindowWritten, now: Milliseconds
    ) -> list[CloserAction]:
        self._next_call_at = now
        if event.row.state == 'closing':
            self._open_window = event.window + 1
            self._open_row_version = event.version
            self._opened_at = now
        self._closed_row = event.row
        self._closed_row_version = event.version
        self._must_send_report = False
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
        if event.is_present and self._closed_row:
            self._next_call_at = now + _CALL_TIMEOUT
            return [
                self._create_write(
                    WindowRow('reported', self._closed_row.figures)
                )
            ]
        self._must_send_report = True
        return []

    @handle.register
    def _handle_call_failed(
        self, event: CloserCallFailed, now: Milliseconds
    ) -> list[CloserAction]:
        self._next_call_at = now + _RETRY_INTERVAL
        self._must_read_window = True
        return []

    def _select_actions(self, now: Milliseconds) -> list[CloserAction]:
        if self._must_read_window:
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
                open_version=self._open_row_version,
                fence_version=self._fence_version,
            )
        ]

    def _create_report_action(self) -> list[CloserAction]:
        window = self._open_window - 1
        if self._must_send_report and self._closed_row:
            self._must_send_report = False
            return [SendReport(window, self._closed_row.figures or {})]
        return [CheckReport(window)]

    def _create_write(self, row: WindowRow) -> WriteWindow:
        return WriteWindow(
            window=self._open_window - 1,
            row=row,
            version=self._closed_row_version,
            open_version=self._open_row_version,
            fence_version=self._fence_version,
        )

    def _is_in(self, state: str) -> bool:
        return self._closed_row is not None and self._closed_row.state == state
