"""In-memory row store with failures that a test switches on."""

from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.rows import (
    Commit,
    CommitResult,
    Condition,
    Conflict,
    Row,
    Snapshot,
    Write,
)
from clementinedyke.store_revision import compile_revision, get_number

#: Conditions and writes of one commit.
_MAX_ENTRIES = 100


class InMemoryRowStore:
    """Fake of the platform's row store.

    As the users' store does, it refuses a commit of more than 100 entries.
    While ``is_down`` is set, every call fails without effect. The next
    ``answers_to_lose`` commits are applied but return an unknown outcome.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.rows: dict[tuple[str, str], Row] = {}
        self.era = 0
        self.revision = 0
        self.is_down = False
        self.answers_to_lose = 0
        #: Numbers of the commits that fail without effect.
        self.commits_to_fail: set[int] = set()
        #: Number of calls of commit, failed ones included.
        self.commit_count = 0

    def copy(self) -> dict[tuple[str, str], Row]:
        """Return a copy of all rows."""
        return dict(self.rows)

    def return_from(self, copy: dict[tuple[str, str], Row]) -> None:
        """Lose all that was written after a copy was taken.

        Rows and revisions bear the new era from now on.
        """
        self.era += 1
        self.rows = {
            place: msgspec.structs.replace(
                row,
                version=compile_revision(self.era, get_number(row.version)),
            )
            for place, row in copy.items()
        }
        self.revision = max(row.version for row in self.rows.values())

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> CommitResult:
        """Apply all writes if all conditions hold, else none."""
        self.commit_count += 1
        if self.commit_count in self.commits_to_fail:
            return Err(TableFailure.NOT_DONE)
        if self.is_down or len(conditions) + len(writes) > _MAX_ENTRIES:
            return Err(TableFailure.NOT_DONE)
        for item in conditions:
            if self._get_version(item.table, item.key) != item.version:
                return Ok(Conflict([]))
        self.revision += 1
        for write in writes:
            self._apply(write)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return Err(TableFailure.UNKNOWN)
        return Ok(Commit(self.revision))

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Return a row, None if it does not exist."""
        if self.is_down:
            return Err(TableFailure.NOT_DONE)
        return Ok(self.rows.get((table, key)))

    async def list_rows(
        self, table: str, prefix: str = ''
    ) -> Result[Snapshot, TableFailure]:
        """Return the rows whose key begins with a prefix."""
        if self.is_down:
            return Err(TableFailure.NOT_DONE)
        rows = [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key.startswith(prefix)
        ]
        return Ok(Snapshot(self.revision, rows))

    def _get_version(self, table: str, key: str) -> int:
        known = self.rows.get((table, key))
        return 0 if known is None else known.version

    def _apply(self, write: Write) -> None:
        if write.value is None:
            self.rows.pop((write.table, write.key), None)
            return
        content = msgspec.json.decode(msgspec.json.encode(write.value))
        self.rows[write.table, write.key] = Row(
            write.key, self.revision, content
        )
