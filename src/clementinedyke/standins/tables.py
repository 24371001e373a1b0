"""In-memory transactional tables for the platform stand-in."""

from collections.abc import Sequence

from clementinedyke.reference_platform.tables import (
    ABSENT,
    Commit,
    Condition,
    Conflict,
    Row,
    Snapshot,
    Write,
)


class MemoryTables:
    """Tables with one global revision, incremented by each applied commit.

    The version of a row is the revision that wrote it.
    """

    def __init__(self) -> None:
        """Create empty tables at revision 0."""
        self._revision = 0
        self._tables: dict[str, dict[str, Row]] = {}

    @property
    def revision(self) -> int:
        """Revision of the last commit, 0 if there is none."""
        return self._revision

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Commit | Conflict:
        """Apply all writes if all conditions hold, else none.

        A conflict lists the current versions of the rows that differ.

        :param conditions: row versions that must be current.
        :param writes: new row values; None deletes the row.
        """
        conflicts = [
            Condition(
                condition.table, condition.key, self._get_version(condition)
            )
            for condition in conditions
            if self._get_version(condition) != condition.version
        ]
        if conflicts:
            return Conflict(conflicts)
        self._revision += 1
        for write in writes:
            table = self._tables.setdefault(write.table, {})
            table[write.key] = Row(write.key, self._revision, write.value)
        return Commit(self._revision)

    def get_row(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist or was deleted.

        :param table: table name.
        :param key: row key.
        """
        row = self._tables.get(table, {}).get(key)
        if row is None or row.value is None:
            return None
        return row

    def list_rows(self, table: str, prefix: str = '') -> Snapshot:
        """Return existing rows in key order, and the current revision.

        :param table: table name.
        :param prefix: prefix that the keys must have.
        """
        rows = [
            row
            for key, row in sorted(self._tables.get(table, {}).items())
            if key.startswith(prefix) and row.value is not None
        ]
        return Snapshot(self._revision, rows)

    def get_changes(self, table: str, since: int) -> Snapshot:
        """Return rows written after a revision, deleted rows included.

        :param table: table name.
        :param since: revision up to which the reader has the changes.
        """
        rows = [
            row
            for row in self._tables.get(table, {}).values()
            if row.version > since
        ]
        return Snapshot(self._revision, rows)

    def _get_version(self, condition: Condition) -> int:
        row = self.get_row(condition.table, condition.key)
        return ABSENT if row is None else row.version
