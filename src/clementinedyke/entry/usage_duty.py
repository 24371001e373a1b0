"""Usage windows of the wall clock: parts, sums and reports."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

import msgspec
from absl import logging
from result import Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.leases.component import FENCES_TABLE
from clementinedyke.rows import ABSENT, Commit, Condition, Row, RowStore, Write

PARTS_TABLE = 'usage_parts'
WINDOWS_TABLE = 'usage_windows'
#: Parts may be complete so long after the end of a window: they are written
#: every second.
SETTLE_TIME: Milliseconds = 1200
#: Windows that a new holder looks back for. A report counts until 2 windows
#: after its own on both sheets; one more for a sum that is fixed but not told.
_LOOK_BACK_WINDOWS = 3
_Known = TypeVar('_Known')


class WindowSum(msgspec.Struct, frozen=True):
    """Counts of a window, fixed before they are first reported."""

    counts: dict[str, int]
    is_reported: bool = False


class UsagePart(msgspec.Struct, frozen=True):
    """Counts of one run of a daemon; final once its window has ended."""

    host: str
    counts: dict[str, int]
    is_final: bool


@dataclass(frozen=True, slots=True)
class WindowTime:
    """Unix time in milliseconds as the windows see it.

    Windows wait for parts until ``last_call`` after their end.
    """

    unix: int
    length: Milliseconds
    part_deadline: Milliseconds

    @property
    def newest_settled(self) -> int:
        """Newest window whose parts may be complete."""
        return (self.unix - SETTLE_TIME) // self.length - 1

    @property
    def newest_due(self) -> int:
        """Newest window that waits for no more parts."""
        return (self.unix - self.part_deadline) // self.length - 1

    def get_age(self, window: int) -> Milliseconds:
        """Return the time since a window began.

        :param window: number of the window.
        """
        return self.unix - window * self.length


class UsageReporter(Protocol):
    """Where reports go."""

    async def report_usage(
        self, window: int, counts: dict[str, int], authority: Authority
    ) -> Result[None, TableFailure]:
        """Report the counts of a window."""


class PartWriter:
    """Writes this run's counts of a window whenever they have grown.

    Each write demands the version of the one before, so that a write whose
    answer was lost cannot come late and put older counts in place of newer.
    """

    def __init__(
        self,
        store: RowStore,
        counter: UsageCounter,
        journal: Journal,
        host: str,
        run_id: str,
    ) -> None:
        """Create the writer.

        :param store: rows of the platform.
        :param counter: counts of this daemon.
        :param journal: log of parts that could not be written.
        :param host: name of this host.
        :param run_id: identity of this run of the daemon.
        """
        self._store = store
        self._counter = counter
        self._journal = journal
        self._run_id = run_id
        self._host = host
        self._written: dict[int, UsagePart] = {}
        self._versions: dict[int, int] = {}

    async def write_parts(self) -> None:
        """Write the parts of all windows that have changed since."""
        counted = self._counter.list_windows()
        present = counted[-1]
        for window in counted:
            part = UsagePart(
                self._host,
                self._counter.get_counts(window),
                is_final=window < present,
            )
            if part != self._written.get(window):
                await self._write(window, part)
        self._written = _select_windows(self._written, counted)
        self._versions = _select_windows(self._versions, counted)

    async def _write(self, window: int, part: UsagePart) -> None:
        key = f'{window}/{self._run_id}'
        version = self._versions.get(window, ABSENT)
        answer = await self._store.commit(
            [Condition(PARTS_TABLE, key, version)],
            [Write(PARTS_TABLE, key, part)],
        )
        outcome = None if answer.is_err() else answer.unwrap()
        if isinstance(outcome, Commit):
            self._versions[window] = outcome.revision
            self._written[window] = part
            return
        self._journal.write(
            'usage_part_not_written',
            window=window,
            reason='conflict' if answer.is_ok() else answer.unwrap_err().value,
        )
        row = await self._store.get_row(PARTS_TABLE, key)
        if row.is_ok():
            self._resume_from_row(window, part, row.unwrap())

    def _resume_from_row(
        self, window: int, part: UsagePart, row: Row | None
    ) -> None:
        """Go on from what lies in the store after a write that failed."""
        if row is not None:
            self._versions[window] = row.version
            self._written[window] = msgspec.convert(row.value, UsagePart)
        elif window in self._versions:
            # The window was summed with the part that was there.
            self._written[window] = part
            self._journal.write(
                'usage_part_late', window=window, counts=part.counts
            )


class WindowCloser:
    """Sums and reports windows while this daemon holds the duties."""

    def __init__(
        self,
        store: RowStore,
        reporter: UsageReporter,
        journal: Journal,
        list_hosts: Callable[[Milliseconds], frozenset[str]],
    ) -> None:
        """Create the closer.

        :param store: rows of the platform.
        :param reporter: client of the usage interface.
        :param journal: log of reports.
        :param list_hosts: hosts that were heard within the last milliseconds.
        """
        self._store = store
        self._reporter = reporter
        self._journal = journal
        self._list_hosts = list_hosts
        self._reported: set[int] = set()

    async def close_windows(
        self, present: WindowTime, authority: Authority, fence: Condition
    ) -> None:
        """Report the windows that are complete or due.

        :param present: which windows may be summed now.
        :param authority: holder and fence for the reports.
        :param fence: condition that fails once another daemon holds the duty.
        """
        oldest = present.newest_settled - _LOOK_BACK_WINDOWS
        for window in range(oldest, present.newest_settled + 1):
            if window in self._reported:
                continue
            row = await self._get_or_write_sum(window, fence, present)
            if row is not None:
                await self._report(window, row, authority)
        self._reported = {known for known in self._reported if known >= oldest}

    async def _report(
        self, window: int, row: Row, authority: Authority
    ) -> None:
        summed = msgspec.convert(row.value, WindowSum)
        if summed.is_reported or not summed.counts:
            self._reported.add(window)
            return
        answer = await self._reporter.report_usage(
            window, summed.counts, authority
        )
        self._journal.write(
            'usage_reported',
            window=window,
            counts=summed.counts,
            outcome='ok' if answer.is_ok() else answer.unwrap_err().value,
        )
        if answer.is_ok():
            self._reported.add(window)
            await self._mark_reported(window, row, summed)

    async def _get_or_write_sum(
        self, window: int, fence: Condition, present: WindowTime
    ) -> Row | None:
        """Return the window's row, written now if its parts are complete."""
        known = await self._store.get_row(WINDOWS_TABLE, str(window))
        if known.is_err():
            return None
        row = known.unwrap()
        if row is not None:
            return row
        parts = await self._store.list_rows(PARTS_TABLE, f'{window}/')
        if parts.is_err():
            return None
        rows = parts.unwrap().rows
        listed = _decode_parts(rows)
        written = {part.host for part in listed if part.is_final}
        # A daemon that fell silent before the window has nothing to write.
        awaited = self._list_hosts(present.get_age(window))
        if window > present.newest_due and not awaited <= written:
            return None
        summed = WindowSum(_sum_parts(listed))
        if not summed.counts:
            return Row(str(window), ABSENT, msgspec.to_builtins(summed))
        return await self._write_sum(window, fence, summed, rows)

    async def _write_sum(
        self, window: int, fence: Condition, summed: WindowSum, parts: list[Row]
    ) -> Row | None:
        """Fix the counts of a window and drop the parts that they cover."""
        answer = await self._store.commit(
            [Condition(WINDOWS_TABLE, str(window), ABSENT), fence],
            [
                Write(WINDOWS_TABLE, str(window), summed),
                *(Write(PARTS_TABLE, part.key) for part in parts),
            ],
        )
        outcome = None if answer.is_err() else answer.unwrap()
        if not isinstance(outcome, Commit):
            # The next pass reads what has become of the write.
            return None
        return Row(str(window), outcome.revision, msgspec.to_builtins(summed))

    async def _mark_reported(
        self, window: int, row: Row, summed: WindowSum
    ) -> None:
        """Note the report.

        A mark that is lost only makes a new holder repeat the same report.
        """
        await self._store.commit(
            [Condition(WINDOWS_TABLE, str(window), row.version)],
            [
                Write(
                    WINDOWS_TABLE,
                    str(window),
                    msgspec.structs.replace(summed, is_reported=True),
                )
            ],
        )


def compile_fence_condition(scope: str, version: int) -> Condition:
    """Return the condition that a daemon still holds a lease.

    :param scope: scope of the lease.
    :param version: version of the fence row that its tenure wrote.
    """
    return Condition(FENCES_TABLE, scope, version)


def _select_windows(
    known: dict[int, _Known], windows: list[int]
) -> dict[int, _Known]:
    return {
        window: content
        for window, content in known.items()
        if window in windows
    }


def _decode_parts(rows: Iterable[Row]) -> list[UsagePart]:
    parts = []
    for row in rows:
        try:
            parts.append(msgspec.convert(row.value, UsagePart))
        except msgspec.MsgspecError as error:
            logging.warning(
                'event=usage_part_unreadable key=%s error=%s', row.key, error
            )
    return parts


def _sum_parts(parts: list[UsagePart]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part.counts)
    return dict(sorted(total.items()))
