"""Components that run the usage cores against the platform."""

from collections import Counter

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.leases.component import FENCES_TABLE, TICK_INTERVAL
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.types import Fencing
from clementinedyke.orders.connection import USER_TIMEOUT
from clementinedyke.reference_platform.tables import (
    ABSENT,
    Commit,
    Condition,
    Row,
    TableClient,
    Write,
)
from clementinedyke.reference_platform.usage_reports import UsageReportClient
from clementinedyke.rows import convert_row
from clementinedyke.usage.closing import CloserCore
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
from clementinedyke.usage.core import PartCore
from clementinedyke.usage.messages import (
    OpenWindowRow,
    PartAction,
    PartCallFailed,
    PartEvent,
    PartRead,
    PartRow,
    PartWritten,
    ReadPart,
    UsageCounts,
    UsageTick,
    WindowRow,
    WorkDone,
    WritePart,
)

USAGE_SCOPE = 'usage'
PARTS_TABLE = 'usage_parts'
WINDOWS_TABLE = 'usage_windows'
_OPEN_KEY = 'open'
_FIRST_WINDOW = 1
_MILLISECONDS_PER_SECOND = 1000
#: Upper bound of the ratio between the rates of two clocks.
_CLOCK_DRIFT_FACTOR = 1.1
#: Longest time that stopping waits for the last parts to be written.
_DRAIN_TIMEOUT: Milliseconds = 10000


class PartComponent(Component):
    """Writes the usage counts of this daemon as its part of the window."""

    def __init__(
        self,
        incarnation: str,
        tables: TableClient,
        clock: Clock,
        core: PartCore | None = None,
    ) -> None:
        """Create the component.

        :param incarnation: identifies this run of the daemon in row keys.
        :param tables: client of the table service.
        :param clock: clock of the process.
        :param core: core to use instead of one with default settings.
        """
        self._incarnation = incarnation
        self._tables = tables
        self._clock = clock
        self._core = core or PartCore()

    @property
    def core(self) -> PartCore:
        """Decision core, for status reports; callers must not change it."""
        return self._core

    def add_work(self, figures: UsageCounts) -> None:
        """Add the usage counts of finished work.

        :param figures: amounts by the key of what they count.
        """
        self._core.handle(WorkDone(figures), self._clock.get_now())

    async def start(self, nursery: trio.Nursery) -> None:
        """Start writing parts.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Write the remaining counts; give up after ``_DRAIN_TIMEOUT``."""
        with trio.move_on_after(_DRAIN_TIMEOUT / _MILLISECONDS_PER_SECOND):
            while not self._core.is_flushed:
                await self._execute_all(self._core.flush(self._clock.get_now()))
                await trio.sleep(TICK_INTERVAL / _MILLISECONDS_PER_SECOND)

    async def _run(self) -> None:
        while True:
            tick = self._core.handle(UsageTick(), self._clock.get_now())
            await self._execute_all(tick)
            await trio.sleep(TICK_INTERVAL / _MILLISECONDS_PER_SECOND)

    async def _execute_all(self, actions: list[PartAction]) -> None:
        for action in actions:
            outcome = await self._execute(action)
            self._core.handle(outcome, self._clock.get_now())

    async def _execute(self, action: PartAction) -> PartEvent:
        key = f'{action.window}/{self._incarnation}'
        if isinstance(action, WritePart):
            return await self._write(key, action)
        return await self._read(key, action)

    async def _write(self, key: str, action: WritePart) -> PartEvent:
        answer = await self._tables.commit(
            [
                Condition(PARTS_TABLE, key, action.version),
                Condition(WINDOWS_TABLE, str(action.window), ABSENT),
            ],
            [Write(PARTS_TABLE, key, action.row)],
        )
        outcome = None if answer.is_err() else answer.unwrap()
        if isinstance(outcome, Commit):
            return PartWritten(action.window, action.row, outcome.revision)
        return PartCallFailed()

    async def _read(self, key: str, action: ReadPart) -> PartEvent:
        open_answer = await self._tables.get_row(WINDOWS_TABLE, _OPEN_KEY)
        if open_answer.is_err():
            return PartCallFailed()
        part = await self._tables.get_row(PARTS_TABLE, key)
        if part.is_err():
            return PartCallFailed()
        row = part.unwrap()
        stored = convert_row(PARTS_TABLE, row, PartRow)
        open_window = _get_open_window(open_answer.unwrap())
        if open_window is None or (row is not None and stored is None):
            return PartCallFailed()
        return PartRead(
            window=action.window,
            open_window=open_window,
            row=stored,
            version=row.version if row else ABSENT,
        )


class CloserComponent(Component):
    """Closes, sums and reports usage windows while it holds the lease."""

    def __init__(
        self,
        lease: LeaseCore,
        tables: TableClient,
        reports: UsageReportClient,
        clock: Clock,
        core: CloserCore | None = None,
    ) -> None:
        """Create the component.

        :param lease: lease of the usage scope.
        :param tables: client of the table service.
        :param reports: client of the usage interface.
        :param clock: clock of the process.
        :param core: core to use instead of one with default settings.
        """
        self._lease = lease
        self._tables = tables
        self._reports = reports
        self._clock = clock
        self._core = core or CloserCore()
        #: Number of window rows written since the start, by state.
        self.counts: Counter[str] = Counter()
        self._is_sending = False
        self._report_lost_at: Milliseconds | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start closing windows.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(self._run)

    @property
    def core(self) -> CloserCore:
        """Decision core, for status reports; callers must not change it."""
        return self._core

    async def close_orders(self) -> None:
        """Wait until no report sent by this daemon can still arrive.

        A report without an answer may arrive until the TCP user timeout of
        its connection has passed.
        """
        while self._is_sending or self._may_lost_report_arrive():
            await trio.sleep(TICK_INTERVAL / _MILLISECONDS_PER_SECOND)

    def _may_lost_report_arrive(self) -> bool:
        if self._report_lost_at is None:
            return False
        latest_arrival = (
            self._report_lost_at + USER_TIMEOUT * _CLOCK_DRIFT_FACTOR
        )
        return self._clock.get_now() < latest_arrival

    async def _run(self) -> None:
        while True:
            await self._tick()
            await trio.sleep(TICK_INTERVAL / _MILLISECONDS_PER_SECOND)

    async def _tick(self) -> None:
        now = self._clock.get_now()
        is_held = self._lease.may_order(Fencing.CHECKED, now)
        tick = CloserTick(
            fence_version=self._lease.fence_version if is_held else 0,
            may_report=self._lease.may_order(Fencing.IGNORED, now),
        )
        actions = self._core.handle(tick, now)
        while actions:
            outcome = await self._execute(actions.pop(0))
            actions.extend(self._core.handle(outcome, self._clock.get_now()))

    async def _execute(self, action: CloserAction) -> CloserEvent:
        match action:
            case ReadWindow():
                return await self._read_window()
            case WriteWindow():
                return await self._write_window(action)
            case ReadParts():
                return await self._read_parts(action)
            case CheckReport():
                return await self._check_report(action)
            case SendReport():
                return await self._send_report(action)

    async def _read_window(self) -> CloserEvent:
        open_answer = await self._tables.get_row(WINDOWS_TABLE, _OPEN_KEY)
        if open_answer.is_err():
            return CloserCallFailed()
        open_row = open_answer.unwrap()
        open_window = _get_open_window(open_row)
        if open_window is None:
            return CloserCallFailed()
        window = max(_FIRST_WINDOW, open_window)
        answer = await self._tables.get_row(WINDOWS_TABLE, str(window - 1))
        if answer.is_err():
            return CloserCallFailed()
        row = answer.unwrap()
        closed = convert_row(WINDOWS_TABLE, row, WindowRow)
        if row is not None and closed is None:
            return CloserCallFailed()
        return WindowRead(
            open_window=window,
            open_version=open_row.version if open_row else ABSENT,
            row=closed,
            version=row.version if row else ABSENT,
        )

    async def _write_window(self, action: WriteWindow) -> CloserEvent:
        key = str(action.window)
        conditions = [
            Condition(WINDOWS_TABLE, key, action.version),
            Condition(FENCES_TABLE, USAGE_SCOPE, action.fence_version),
        ]
        writes = [Write(WINDOWS_TABLE, key, action.row)]
        if action.row.state == 'closing':
            next_row = OpenWindowRow(action.window + 1)
            writes.append(Write(WINDOWS_TABLE, _OPEN_KEY, next_row))
            conditions.append(
                Condition(WINDOWS_TABLE, _OPEN_KEY, action.open_version)
            )
        answer = await self._tables.commit(conditions, writes)
        outcome = None if answer.is_err() else answer.unwrap()
        if isinstance(outcome, Commit):
            self.counts[action.row.state] += 1
            return WindowWritten(action.window, action.row, outcome.revision)
        return CloserCallFailed()

    async def _read_parts(self, action: ReadParts) -> CloserEvent:
        prefix = f'{action.window}/'
        answer = await self._tables.list_rows(PARTS_TABLE, prefix)
        if answer.is_err():
            return CloserCallFailed()
        parts = (
            convert_row(PARTS_TABLE, row, PartRow)
            for row in answer.unwrap().rows
        )
        return PartsRead(
            action.window, tuple(part for part in parts if part is not None)
        )

    async def _check_report(self, action: CheckReport) -> CloserEvent:
        answer = await self._reports.has_report(action.window)
        if answer.is_err():
            return CloserCallFailed()
        return ReportChecked(action.window, answer.unwrap())

    async def _send_report(self, action: SendReport) -> CloserEvent:
        self._is_sending = True
        answer = await self._reports.send_report(action.window, action.figures)
        self._is_sending = False
        if answer.is_err():
            self._report_lost_at = self._clock.get_now()
            return CloserCallFailed()
        return ReportChecked(action.window, is_present=True)


def _get_open_window(row: Row | None) -> int | None:
    """Return the open window, 0 before the first, None if it is unreadable."""
    if row is None:
        return 0
    opened = convert_row(WINDOWS_TABLE, row, OpenWindowRow)
    return None if opened is None else opened.window
