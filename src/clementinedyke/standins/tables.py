"""In-memory transactional tables of the platform stand-in."""

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
    """Tables with one global revision; a row's version is its revision."""

    def __init__(self) -> None:
        """Create empty tables at revision 0."""
        self._revision = 0
        self._tables: dict[str, dict[str, Row]] = {}

    @property
    def revision(self) -> int:
        """Revision of the last applied transaction."""
        return self._revision

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Commit | Conflict:
        """Apply all writes if all conditions hold.

        :param conditions: row versions that must be in force.
        :param writes: new row values; None deletes.
        """
        conflicts = [
            Condition(wanted.table, wanted.key, self._get_version(wanted))
            for wanted in conditions
            if self._get_version(wanted) != wanted.version
        ]
        if conflicts:
            return Conflict(conflicts)
        self._revision += 1
        for write in writes:
            table = self._tables.setdefault(write.table, {})
            table[write.key] = Row(write.key, self._revision, write.value)
        return Commit(self._revision)

    def get_row(self, table: str, key: str) -> Row | None:
        """Return a row that exists, else None.

        :param table: table name.
        :param key: row key.
        """
        row = self._tables.get(table, {}).get(key)
        if row is None or row.value is None:
            return None
        return row

    def list_rows(self, table: str, prefix: str = '') -> Snapshot:
        """Return existing rows in key order.

        :param table: table name.
        :param prefix: beginning of the keys.
        """
        rows = [
            row
            for key, row in sorted(self._tables.get(table, {}).items())
            if key.startswith(prefix) and row.value is not None
        ]
        return Snapshot(self._revision, rows)

    def get_changes(self, table: str, since: int) -> Snapshot:
        """Return rows written after a revision, deletions included.

        :param table: table name.
        :param since: revision that the reader has.
        """
        rows = [
            row
            for row in self._tables.get(table, {}).values()
            if row.version > since
        ]
        return Snapshot(self._revision, rows)

    def _get_version(self, wanted: Condition) -> int:
        row = self.get_row(wanted.table, wanted.key)
        return ABSENT if row is None else row.version
