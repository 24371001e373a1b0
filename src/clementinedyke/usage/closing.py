"""Decision core that closes, sums and reports usage windows."""

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

WINDOW_LENGTH: Milliseconds = 60000
_CALL_TIMEOUT: Milliseconds = 5000
_RETRY_INTERVAL: Milliseconds = 1000


class CloserCore:
    """Takes one window at a time from open to reported.

    The figures are fixed in the window row before the report is first sent, so
    that every sending of a report, by whichever holder, carries the same.
    """

    def __init__(self, window_length: Milliseconds = WINDOW_LENGTH) -> None:
        """Create a core without authority.

        :param window_length: shortest time in milliseconds for which a window
            stays open, counted from when this process learned of it.
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
        self._is_absent_report = False
        self._call_until: Milliseconds = 0

    @property
    def open_window(self) -> int:
        """Number of the open window, 0 before it was read."""
        return self._open_window

    @singledispatchmethod
    def handle(
        self, event: CloserEvent, now: Milliseconds
    ) -> list[CloserAction]:
        """Take an event and return the actions that it calls for.

        :param event: what has happened.
        :param now: current instant.
        """
        raise NotImplementedError(type(event).__name__)

    @handle.register
    def _tick(self, event: CloserTick, now: Milliseconds) -> list[CloserAction]:
        if event.fence_version != self._fence_version:
            self._fence_version = event.fence_version
            self._must_read = True
        self._may_report = event.may_report
        if not self._fence_version or now < self._call_until:
            return []
        actions = self._decide(now)
        if actions:
            self._call_until = now + _CALL_TIMEOUT
        return actions

    @handle.register
    def _note_window(
        self, event: WindowRead, now: Milliseconds
    ) -> list[CloserAction]:
        self._call_until = now
        if event.open_window != self._open_window:
            self._opened_at = now
        self._must_read = False
        self._open_window = event.open_window
        self._open_version = event.open_version
        self._row = event.row
        self._version = event.version
        self._is_absent_report = False
        return []

    @handle.register
    def _note_written(
        self, event: WindowWritten, now: Milliseconds
    ) -> list[CloserAction]:
        self._call_until = now
        if event.row.state == 'closing':
            self._open_window = event.window + 1
            self._open_version = event.version
            self._opened_at = now
        self._row = event.row
        self._version = event.version
        self._is_absent_report = False
        return []

    @handle.register
    def _note_parts(
        self, event: PartsRead, now: Milliseconds
    ) -> list[CloserAction]:
        self._call_until = now
        if event.window != self._open_window - 1 or not self._is_in('closing'):
            return []
        figures = sum_counts([part.figures for part in event.parts])
        self._call_until = now + _CALL_TIMEOUT
        return [self._write(WindowRow('summed', figures))]

    @handle.register
    def _note_report(
        self, event: ReportChecked, now: Milliseconds
    ) -> list[CloserAction]:
        self._call_until = now
        if event.window != self._open_window - 1 or not self._is_in('summed'):
            return []
        if event.is_present and self._row:
            self._call_until = now + _CALL_TIMEOUT
            return [self._write(WindowRow('reported', self._row.figures))]
        self._is_absent_report = True
        return []

    @handle.register
    def _note_failed(
        self, event: CloserCallFailed, now: Milliseconds
    ) -> list[CloserAction]:
        self._call_until = now + _RETRY_INTERVAL
        self._must_read = True
        return []

    def _decide(self, now: Milliseconds) -> list[CloserAction]:
        if self._must_read:
            return [ReadWindow()]
        if self._is_in('closing'):
            return [ReadParts(self._open_window - 1)]
        if self._is_in('summed'):
            return self._report() if self._may_report else []
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

    def _report(self) -> list[CloserAction]:
        window = self._open_window - 1
        if self._is_absent_report and self._row:
            self._is_absent_report = False
            return [SendReport(window, self._row.figures or {})]
        return [CheckReport(window)]

    def _write(self, row: WindowRow) -> WriteWindow:
        return WriteWindow(
            window=self._open_window - 1,
            row=row,
            version=self._version,
            open_version=self._open_version,
            fence_version=self._fence_version,
        )

    def _is_in(self, state: str) -> bool:
        return self._row is not None and self._row.state == state
