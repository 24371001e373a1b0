"""Sums and reports usage windows on the daemon that holds the duties."""

from collections.abc import Callable, Iterable

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.usage_duty import (
    LOOK_BACK_WINDOWS,
    PARTS_TABLE,
    UsageReporter,
    WindowTime,
    decode_parts,
    sum_parts,
)
from clementinedyke.entry.usage_windows import (
    ERA_KEY,
    ERA_MARGIN,
    WINDOWS_TABLE,
    EraRow,
    WindowLedger,
    WindowSum,
)
from clementinedyke.rows import (
    ABSENT,
    Commit,
    Condition,
    Row,
    RowStore,
    Snapshot,
    Write,
    convert_row,
)
from clementinedyke.store_revision import get_era

#: Parts that are deleted in one commit. The users' store takes 100 entries, and
#: the commit that stores a sum has three others.
_MAX_DELETIONS = 97

#: Windows that a former holder opens, from the current one on. The row of the
#: new era may be written seconds later, and begins with the window of then.
_OPENED_AHEAD = 3

#: Returns the holder and the fence of a call that is made now, None if this
#: daemon may not make one.
AuthoritySource = Callable[[], Authority | None]


class WindowCloser:
    """Sums and reports usage windows on the daemon that holds the duties.

    The sum of a window is stored before it is reported, so that a repeated
    report has the same counts.
    """

    def __init__(
        self,
        store: RowStore,
        reporter: UsageReporter,
        journal: Journal,
        list_hosts: Callable[[Milliseconds], frozenset[str]],
    ) -> None:
        """Create the closer.

        :param store: rows of the platform.
        :param reporter: client of the interface for usage reports.
        :param journal: log of the reports sent.
        :param list_hosts: returns the hosts whose daemons were heard from
            within the given number of milliseconds.
        """
        self._store = store
        self._reporter = reporter
        self._journal = journal
        self._list_hosts = list_hosts
        self._ledger = WindowLedger()
        #: Row of the era of the store, None if it has to be read.
        self._era_row: EraRow | None = None
        self._is_era_row_old = False
        #: Whether this daemon has seen the store return from a copy.
        self._has_returned = False
        self._reported: set[int] = set()
        #: Windows with a sum whose parts this daemon has deleted.
        self._cleared: set[int] = set()
        self._left_out: set[int] = set()
        #: Windows that were open when the store returned from a copy.
        self._opened: list[int] = []

    async def close_windows(
        self,
        window_time: WindowTime,
        get_authority: AuthoritySource,
        fence: Condition,
    ) -> None:
        """Report the windows whose parts are complete or past their deadline.

        A daemon that holds the lease and may not act yet looks up the sums that
        are stored.

        :param window_time: current time, which decides what may be summed.
        :param get_authority: asked before each sum and report, as the lease may
            end during calls of the store.
        :param fence: condition that fails once another daemon holds the
            duties.
        """
        self._ledger.begin_tenure(fence.version)
        if self._era_row is None or self._is_era_row_old:
            await self._read_era_row(window_time, fence)
        oldest = window_time.newest_settled - LOOK_BACK_WINDOWS
        is_complete = True
        for window in range(oldest, window_time.newest_settled + 1):
            if window in self._reported:
                continue
            row = await self._get_sum(window)
            if row:
                await self._report(window, row, get_authority)
            elif self._ledger.is_unsummed(window):
                await self._close(window, fence, window_time, get_authority)
            else:
                is_complete = False
        if is_complete:
            self._ledger.record_check(window_time.newest_settled)
        self._remove_old(oldest)

    def record_return(
        self, *, is_holder: bool, window_time: WindowTime
    ) -> None:
        """Record that the store has returned from a copy.

        :param is_holder: whether this daemon held the duties until then, so
            that no other can have summed a window.
        :param window_time: time of the first answer of the new era.
        """
        former = self._era_row
        self._has_returned = True
        self._opened = []
        if is_holder and former is not None:
            self._ledger.keep_attempts()
            oldest = window_time.newest_settled - LOOK_BACK_WINDOWS
            end = window_time.get_window() + _OPENED_AHEAD
            self._opened = [
                window
                for window in self._ledger.list_open(oldest, end)
                if former.may_sum(window)
            ]
        self._ledger.end_tenure()
        self._era_row = None
        self._cleared.clear()
        self._reported.clear()

    async def restore_windows(self, window_time: WindowTime) -> bool:
        """Write again what the store may have lost of the windows.

        Return False if a call failed and has to be repeated.

        :param window_time: current time.
        """
        is_done = True
        for window, summed in self._ledger.list_sums():
            answer = await self._store.commit(
                [Condition(WINDOWS_TABLE, str(window), ABSENT)],
                [Write(WINDOWS_TABLE, str(window), summed)],
            )
            # A conflict means that the copy has the row.
            is_done = is_done and answer.is_ok()
        if self._opened and not await self._open_windows(window_time):
            return False
        return is_done

    async def _open_windows(self, window_time: WindowTime) -> bool:
        """Add windows without a sum to the row of the era."""
        answer = await self._store.list_rows(WINDOWS_TABLE, ERA_KEY)
        if answer.is_err():
            return False
        # The answer may be the first one of another era, in which these windows
        # are no longer known to be open.
        opened = tuple(self._opened)
        if not opened:
            return True
        era_row, version = _find_era_row(answer.unwrap())
        if era_row is None:
            era_row = _create_era_row(answer.unwrap(), window_time)
        written = await self._store.commit(
            [Condition(WINDOWS_TABLE, ERA_KEY, version)],
            [Write(WINDOWS_TABLE, ERA_KEY, era_row.open(opened))],
        )
        if written.is_err() or not isinstance(written.unwrap(), Commit):
            return False
        self._journal.write('usage_windows_opened', windows=list(opened))
        self._opened = []
        return True

    async def _read_era_row(
        self, window_time: WindowTime, fence: Condition
    ) -> None:
        """Read the row of the era, and write it if the era has none yet."""
        answer = await self._store.list_rows(WINDOWS_TABLE, ERA_KEY)
        if answer.is_err():
            return
        self._is_era_row_old = False
        era_row, version = _find_era_row(answer.unwrap())
        if era_row is not None:
            self._era_row = era_row
            return
        era_row = _create_era_row(answer.unwrap(), window_time)
        if version == ABSENT and not self._has_returned:
            # No daemon has held the duties before, or only ones of builds
            # without this row.
            era_row = EraRow(era_row.era, 0)
        written = await self._store.commit(
            [Condition(WINDOWS_TABLE, ERA_KEY, version), fence],
            [Write(WINDOWS_TABLE, ERA_KEY, era_row)],
        )
        outcome = None if written.is_err() else written.unwrap()
        if isinstance(outcome, Commit) and _is_of_era(
            outcome.revision, era_row
        ):
            self._era_row = era_row
            self._journal.write(
                'usage_era_begun',
                era=era_row.era,
                first_window=era_row.first_window,
            )

    async def _get_sum(self, window: int) -> Row | None:
        """Return the row with the sum of a window, None if none is known."""
        if self._ledger.is_unsummed(window):
            return None
        answer = await self._store.get_row(WINDOWS_TABLE, str(window))
        if answer.is_err():
            return None
        row = answer.unwrap()
        if row is None:
            self._ledger.record_unsummed(window)
            return None
        summed = convert_row(WINDOWS_TABLE, row, WindowSum)
        if summed is not None:
            self._ledger.record_sum(window, summed)
        if window not in self._cleared:
            # Its writer may have ended before it had deleted all parts.
            await self._clear_parts(window)
        return row

    async def _report(
        self, window: int, row: Row, get_authority: AuthoritySource
    ) -> None:
        summed = convert_row(WINDOWS_TABLE, row, WindowSum)
        if summed is None or summed.is_reported or not summed.counts:
            self._reported.add(window)
            return
        authority = get_authority()
        if authority is None:
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

    async def _close(
        self,
        window: int,
        fence: Condition,
        window_time: WindowTime,
        get_authority: AuthoritySource,
    ) -> None:
        """Sum and report a window, unless parts of it are missing."""
        if get_authority() is None:
            return
        answer = await self._store.list_rows(PARTS_TABLE, f'{window}/')
        if answer.is_err():
            return
        parts = answer.unwrap().rows
        if not self._has_era_row(answer.unwrap()):
            await self._read_era_row(window_time, fence)
        if not self._may_sum(window, answer.unwrap()):
            await self._leave_out(window, window_time, parts)
            return
        listed = decode_parts(parts)
        written = {part.host for part in listed if part.is_final}
        # A daemon last heard from before the window started has no part in it.
        awaited = self._list_hosts(window_time.get_age(window))
        if window > window_time.newest_due and not awaited <= written:
            return
        summed = WindowSum(sum_parts(listed))
        if not summed.counts:
            self._reported.add(window)
            return
        if get_authority() is None:
            return
        row = await self._write_sum(window, fence, summed, parts)
        if row is not None:
            await self._report(window, row, get_authority)

    def _has_era_row(self, parts: Snapshot) -> bool:
        """Return whether the known row is of the era of an answer."""
        era_row = self._era_row
        return era_row is not None and _is_of_era(parts.revision, era_row)

    def _may_sum(self, window: int, parts: Snapshot) -> bool:
        """Return whether no earlier era can have a sum of a window."""
        era_row = self._era_row
        if era_row is None or not self._has_era_row(parts):
            return False
        if era_row.may_sum(window):
            return True
        # The former holder may still tell that no one has summed it.
        self._is_era_row_old = True
        if parts.rows and window not in self._left_out:
            # The store may have lost its sum, with which it was reported. A
            # missed report does less harm than a second figure.
            self._left_out.add(window)
            self._journal.write('usage_window_left_out', window=window)
        return False

    async def _leave_out(
        self, window: int, window_time: WindowTime, parts: list[Row]
    ) -> None:
        """Give up a window that may not be summed, once it is overdue."""
        if window <= window_time.newest_due and not parts:
            self._reported.add(window)
        elif window <= window_time.newest_settled - LOOK_BACK_WINDOWS:
            await self._delete_parts(parts)

    async def _write_sum(
        self, window: int, fence: Condition, summed: WindowSum, parts: list[Row]
    ) -> Row | None:
        """Store the sum of a window and delete the parts that it covers."""
        first = parts[:_MAX_DELETIONS]
        self._ledger.record_attempt(window, summed)
        answer = await self._store.commit(
            [Condition(WINDOWS_TABLE, str(window), ABSENT), fence],
            [
                Write(WINDOWS_TABLE, str(window), summed),
                *(Write(PARTS_TABLE, part.key) for part in first),
            ],
        )
        outcome = None if answer.is_err() else answer.unwrap()
        if not isinstance(outcome, Commit):
            # The next pass reads whether the write took effect.
            return None
        self._ledger.record_sum(window, summed)
        self._cleared.add(window)
        await self._delete_parts(parts[_MAX_DELETIONS:])
        return Row(str(window), outcome.revision, msgspec.to_builtins(summed))

    async def _clear_parts(self, window: int) -> None:
        """Delete the parts of a window that needs no sum any more."""
        answer = await self._store.list_rows(PARTS_TABLE, f'{window}/')
        if answer.is_ok():
            self._cleared.add(window)
            await self._delete_parts(answer.unwrap().rows)

    async def _delete_parts(self, parts: list[Row]) -> None:
        """Delete the parts of a window whose sum is stored.

        Parts that are left are no longer counted; the next holder of the
        duties deletes them.
        """
        for start in range(0, len(parts), _MAX_DELETIONS):
            batch = parts[start : start + _MAX_DELETIONS]
            answer = await self._store.commit(
                [], [Write(PARTS_TABLE, part.key) for part in batch]
            )
            if answer.is_err():
                self._journal.write(
                    'usage_parts_not_deleted',
                    parts=len(batch),
                    reason=answer.unwrap_err().value,
                )

    async def _mark_reported(
        self, window: int, row: Row, summed: WindowSum
    ) -> None:
        """Store that a window has been reported.

        If this write is lost, a new holder repeats the same report.
        """
        marked = msgspec.structs.replace(summed, is_reported=True)
        self._ledger.record_sum(window, marked)
        await self._store.commit(
            [Condition(WINDOWS_TABLE, str(window), row.version)],
            [Write(WINDOWS_TABLE, str(window), marked)],
        )

    def _remove_old(self, oldest: int) -> None:
        self._reported = _select_recent(self._reported, oldest)
        self._cleared = _select_recent(self._cleared, oldest)
        self._left_out = _select_recent(self._left_out, oldest)
        self._ledger.remove_old(oldest)


def _create_era_row(snapshot: Snapshot, window_time: WindowTime) -> EraRow:
    """Return the row of an era that has begun a moment ago."""
    return EraRow(
        get_era(snapshot.revision), window_time.get_window(ERA_MARGIN)
    )


def _find_era_row(snapshot: Snapshot) -> tuple[EraRow | None, int]:
    """Return the row of the current era and the version of the stored row.

    A row of an earlier era comes from the copy and counts as absent.
    """
    for row in snapshot.rows:
        if row.key == ERA_KEY:
            era_row = convert_row(WINDOWS_TABLE, row, EraRow)
            if era_row is None or not _is_of_era(snapshot.revision, era_row):
                return None, row.version
            return era_row, row.version
    return None, ABSENT


def _is_of_era(revision: int, era_row: EraRow) -> bool:
    return get_era(revision) == era_row.era


def _select_recent(windows: Iterable[int], oldest: int) -> set[int]:
    return {window for window in windows if window >= oldest}
