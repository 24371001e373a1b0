"""Versioned rows of a table service, and the interface of a row store."""

from collections.abc import Sequence
from typing import Any, Protocol

import msgspec
from result import Result

from clementinedyke.call_failures import TableFailure

#: Version of a row that does not exist.
ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """A row; its version is the revision that wrote it.

    Value None marks a deleted row.
    """

    key: str
    version: int
    value: Any = None


class Snapshot(msgspec.Struct, frozen=True):
    """Rows of a table at a revision."""

    revision: int
    rows: list[Row]


class Condition(msgspec.Struct, frozen=True):
    """Required version of a row; version 0 requires that it is absent."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """New value of a row; value None deletes it."""

    table: str
    key: str
    value: Any = None


class Conflict(msgspec.Struct, frozen=True):
    """Conditions that failed, with the current versions of the rows."""

    conflicts: list[Condition]


class Commit(msgspec.Struct, frozen=True):
    """Revision that an applied transaction created."""

    revision: int


CommitResult = Result[Commit | Conflict, TableFailure]


class RowStore(Protocol):
    """Interface of the table service."""

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> CommitResult:
        """Apply all writes if all conditions hold, else none."""

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist."""

    async def list_rows(
        self, table: str, prefix: str = ''
    ) -> Result[Snapshot, TableFailure]:
        """Return the rows whose key starts with a prefix."""
