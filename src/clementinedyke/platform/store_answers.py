"""Rows and revisions in the answers of the users' store."""

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from absl import logging

from clementinedyke.decoding import decode_json
from clementinedyke.entry.watch import StoredRow
from clementinedyke.exceptions import ProtocolError
from clementinedyke.rows import Row
from clementinedyke.store_revision import NUMBER_BITS, compile_revision

#: Number of a revision, which leaves room for the era.
_Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << NUMBER_BITS)]


class _WireRow(msgspec.Struct):
    key: str
    #: Revision that wrote the row, from one counter for all tables.
    ver: _Number
    #: Base64; absent if the row was deleted.
    value: str = ''
    #: Set in feed answers if the row was deleted.
    removed: bool = False


class _WirePage(msgspec.Struct):
    ver: _Number
    #: Decoded one by one: a row that is malformed costs that row alone.
    rows: list[msgspec.Raw]
    has_more: bool = False


class _WireCommit(msgspec.Struct):
    ver: _Number


@dataclass(frozen=True, slots=True)
class StorePage:
    """Readable rows of an answer and the revision that it tells."""

    revision: int
    rows: list[StoredRow]
    has_more: bool


def decode_page(content: bytes, era: int) -> StorePage:
    """Return the rows of an answer, whose versions bear its era.

    :param content: body of the answer.
    :param era: era in which the store gave it.
    :raises ProtocolError: if it is no page of rows.
    """
    page = decode_json(content, _WirePage)
    found = (_decode_row(raw, era) for raw in page.rows)
    return StorePage(
        compile_revision(era, page.ver),
        [row for row in found if row is not None],
        page.has_more,
    )


def decode_commit(content: bytes, era: int) -> int:
    """Return the revision that a transaction created.

    :param content: body of the answer.
    :param era: era in which the store gave it.
    :raises ProtocolError: if it tells no revision.
    """
    return compile_revision(era, decode_json(content, _WireCommit).ver)


def decode_values(rows: Sequence[StoredRow]) -> list[Row]:
    """Return rows with their JSON values, None where there is none.

    :param rows: rows with their raw content.
    """
    return [Row(row.key, row.version, _decode_value(row)) for row in rows]


def _decode_row(raw: msgspec.Raw, era: int) -> StoredRow | None:
    """Return a row of an answer, None if it is malformed."""
    try:
        row = decode_json(bytes(raw), _WireRow)
    except ProtocolError as error:
        logging.warning('event=row_unreadable error=%s', error)
        return None
    version = compile_revision(era, row.ver)
    if row.removed:
        return StoredRow(row.key, version, None)
    return StoredRow(row.key, version, _decode_content(row))


def _decode_content(row: _WireRow) -> bytes:
    """Return the content of a row, empty if another writer left no base64.

    Empty content fails to decode as any document, so callers treat the row as
    invalid.
    """
    try:
        return base64.b64decode(row.value, validate=True)
    except ValueError:
        logging.warning('event=row_unreadable key=%r', row.key)
        return b''


def _decode_value(row: StoredRow) -> Any:
    try:
        return decode_json(row.content or b'', object)
    except ProtocolError as error:
        logging.warning('event=row_unreadable key=%r error=%s', row.key, error)
        return None
