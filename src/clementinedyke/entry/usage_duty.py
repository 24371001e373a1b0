"""Usage windows: parts written by daemons, their sums and the reports.

Windows are aligned to Unix time. Every daemon writes a part with its own
counts of a window. The holder of the duties adds up the parts and reports the
sum to the platform.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeVar

import msgspec
from result import Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.leases.component import FENCES_TABLE
from clementinedyke.rows import (
    ABSENT,
    Commit,
    Condition,
    Row,
    RowStore,
    Write,
    convert_row,
)
from clementinedyke.store_revision import get_era

PARTS_TABLE = 'usage_parts'
#: Time after the end of a window from which its parts may be complete; parts
#: are written every second.
SETTLE_TIME: Milliseconds = 1200
#: Number of past windows that a new holder checks. In both workload
#: sheets a report counts until 2 windows after its own; the third window
#: covers a sum that was written but not yet reported.
LOOK_BACK_WINDOWS = 3
_Known = TypeVar('_Known')


class UsagePart(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts of one run of a daemon in a window.

    ``is_final`` is set once the window has ended. A final part has the ``era``
    of the store in which the part was first written, None if unknown.
    """

    host: str
    counts: dict[str, int]
    is_final: bool
    era: int | None = None


@dataclass(frozen=True, slots=True)
class WindowTime:
    """Unix time in milliseconds and what it means for the usage windows.

    ``part_deadline`` is the time after the end of a window at which missing
    parts are no longer waited for. ``settle_time`` is the time after the end
    at which all parts may be there.
    """

    unix: int
    length: Milliseconds
    part_deadline: Milliseconds
    settle_time: Milliseconds = SETTLE_TIME

    @property
    def newest_settled(self) -> int:
        """Number of the newest window whose parts may be complete."""
        return (self.unix - self.settle_time) // self.length - 1

    @property
    def newest_due(self) -> int:
        """Number of the newest window that no longer waits for parts."""
        return (self.unix - self.part_deadline) // self.length - 1

    def get_window(self, offset: Milliseconds = 0) -> int:
        """Return the number of the window at a moment.

        :param offset: time from now to the moment in ms.
        """
        return (self.unix + offset) // self.length

    def get_age(self, window: int) -> Milliseconds:
        """Return the time since the start of a window.

        :param window: number of the window.
        """
        return self.unix - window * self.length


@dataclass(frozen=True, slots=True)
class PartRow:
    """Part of a run of a daemon, and the version of its row in the store."""

    window: int
    run_id: str
    part: UsagePart
    version: int

    @property
    def key(self) -> str:
        """Key of the row."""
        return f'{self.window}/{self.run_id}'


class UsageReporter(Protocol):
    """Client of the platform interface that receives usage reports."""

    async def report_usage(
        self, window: int, counts: dict[str, int], authority: Authority
    ) -> Result[None, TableFailure]:
        """Report the counts of a window to the platform."""


class PartWriter:
    """Writes the counts of this run of the daemon when they have changed.

    Each write is conditional on the row version of the previous one. A delayed
    write whose answer was lost therefore cannot overwrite newer counts.
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
        :param counter: counter of this daemon.
        :param journal: log of parts that could not be written or came late.
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
        #: Era of the first write of each window.
        self._eras: dict[int, int] = {}
        #: Era of the last write of any window.
        self._era: int | None = None

    async def write_parts(self) -> None:
        """Write the parts that have changed since they were last written."""
        rows = self.list_unwritten()
        if any(row.part.is_final and row.part.era is None for row in rows):
            await self._read_era()
            rows = self.list_unwritten()
        if len(rows) > 1:
            version = await self.commit(rows)
            if version is not None:
                self.record_commit(rows, version)
                return
        for row in rows:
            await self._write(row)

    @property
    def oldest_window(self) -> int:
        """Number of the oldest window that is still counted."""
        return self._counter.list_windows()[0]

    @property
    def window_age(self) -> Milliseconds:
        """Time since the start of the current window."""
        return self._counter.window_age

    def list_unwritten(self) -> list[PartRow]:
        """Return the parts that have changed since they were last written."""
        counted = self._counter.list_windows()
        self._written = _select_windows(self._written, counted)
        self._versions = _select_windows(self._versions, counted)
        self._eras = _select_windows(self._eras, counted)
        current = counted[-1]
        rows = []
        for window in counted:
            is_final = window < current
            part = UsagePart(
                self._host,
                self._counter.get_counts(window),
                is_final=is_final,
                era=self._eras.get(window, self._era) if is_final else None,
            )
            if not _is_same_count(part, self._written.get(window)):
                version = self._versions.get(window, ABSENT)
                rows.append(PartRow(window, self._run_id, part, version))
        return rows

    async def commit(self, rows: Sequence[PartRow]) -> int | None:
        """Write parts of any daemons together.

        :param rows: parts with the versions that their rows must have.
        :return: version of the written rows, None if none was written or it
            is not known.
        """
        answer = await self._store.commit(
            [Condition(PARTS_TABLE, row.key, row.version) for row in rows],
            [Write(PARTS_TABLE, row.key, row.part) for row in rows],
        )
        outcome = None if answer.is_err() else answer.unwrap()
        if isinstance(outcome, Commit):
            return outcome.revision
        self._journal.write(
            'usage_part_not_written',
            window=rows[0].window,
            rows=len(rows),
            reason='conflict' if answer.is_ok() else answer.unwrap_err().value,
        )
        return None

    async def read_rows(self, window: int) -> dict[str, PartRow] | None:
        """Return the stored parts of a window by their keys.

        None if the store does not answer. Unreadable rows are left out.

        :param window: number of the window.
        """
        answer = await self._store.list_rows(PARTS_TABLE, f'{window}/')
        if answer.is_err():
            return None
        rows = {}
        for row in answer.unwrap().rows:
            run_id = row.key.partition('/')[2]
            for part in decode_parts((row,)):
                rows[row.key] = PartRow(window, run_id, part, row.version)
        return rows

    def record_return(self) -> None:
        """Write the parts of recent windows again.

        For a store that returned from a copy that may lack them. Windows of
        which a sum is stored lose these parts again.
        """
        oldest = self._counter.window - LOOK_BACK_WINDOWS - 1
        self._versions.clear()
        self._written = {
            window: part
            for window, part in self._written.items()
            if window < oldest
        }

    def record_commit(self, rows: Iterable[PartRow], version: int) -> None:
        """Record that parts of this daemon were written.

        :param rows: parts of this daemon.
        :param version: version of their rows.
        """
        for row in rows:
            self.record_version(row.window, version)
            self.record_written(row.window, row.part)

    def record_version(self, window: int, version: int) -> None:
        """Record the version of the row of a window.

        :param window: number of the window.
        :param version: version of the row.
        """
        known = self._versions.get(window, ABSENT)
        self._versions[window] = max(known, version)
        self._era = get_era(version)
        self._eras.setdefault(window, self._era)

    def record_written(self, window: int, part: UsagePart) -> None:
        """Record the part of a window that is in the store.

        :param window: number of the window.
        :param part: part as it was written.
        """
        self._written[window] = part

    async def _read_era(self) -> None:
        """Learn the era, if a window ended before anything was written."""
        answer = await self._store.list_rows(PARTS_TABLE, self._run_id)
        if answer.is_ok():
            self._era = get_era(answer.unwrap().revision)

    async def _write(self, row: PartRow) -> None:
        version = await self.commit((row,))
        if version is not None:
            self.record_commit((row,), version)
            return
        stored = await self._store.get_row(PARTS_TABLE, row.key)
        if stored.is_ok():
            self._resume_from_row(row.window, row.part, stored.unwrap())

    def _resume_from_row(
        self, window: int, part: UsagePart, row: Row | None
    ) -> None:
        """Adopt the stored part and its version after a failed write."""
        if row is not None:
            self._versions[window] = row.version
            stored = convert_row(PARTS_TABLE, row, UsagePart)
            if stored is not None:
                self._written[window] = stored
        elif window in self._versions:
            # The row was deleted when the window was summed: the sum covers
            # the counts written before and cannot include newer ones.
            self._written[window] = part
            self._journal.write(
                'usage_part_late', window=window, counts=part.counts
            )


def compile_fence_condition(scope: str, version: int) -> Condition:
    """Return a condition that is met while a daemon holds a lease.

    :param scope: scope of the lease.
    :param version: version of the fence row as written by the holder.
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


def _is_same_count(part: UsagePart, other: UsagePart | None) -> bool:
    return (
        other is not None
        and part.counts == other.counts
        and part.is_final == other.is_final
    )


def decode_parts(rows: Iterable[Row]) -> list[UsagePart]:
    """Return the readable parts in rows.

    :param rows: rows of the parts of a window.
    """
    found = (convert_row(PARTS_TABLE, row, UsagePart) for row in rows)
    return [part for part in found if part is not None]


def sum_parts(parts: Iterable[UsagePart]) -> dict[str, int]:
    """Return the total counts by customer.

    :param parts: parts of one window.
    """
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part.counts)
    return dict(sorted(total.items()))
