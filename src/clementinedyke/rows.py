"""Versioned rows of a table service, and the interface of a row store."""

from collections.abc import Sequence
from typing import Any, Protocol, TypeVar

import msgspec
from absl import logging
from result import Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.decoding import convert_document
from clementinedyke.exceptions import ProtocolError

_Expected = TypeVar('_Expected')
#: Version of a row that does not exist.
ABSENT = 0


class Row(msgspec.Struct, frozen=True):
    """A row; its version is the revision that wrote it.

    Value None marks a deleted row.
    """

    key: str
    version: int
    value: Any = None


def convert_row(
    table: str, row: Row | None, expected: type[_Expected]
) -> _Expected | None:
    """Return the value of a row, None if there is none or it is malformed.

    :param table: table of the row, for the log.
    :param row: row with its decoded value, None if it does not exist.
    :param expected: type of the value.
    """
    if row is None:
        return None
    try:
        return convert_document(row.value, expected)
    except ProtocolError as error:
        logging.warning(
            'event=row_unreadable table=%s key=%r error=%s',
            table,
            row.key,
            error,
        )
        return None


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
