"""Stores claim rows in the table service, large answers in objects."""

import base64
from typing import Any

import msgspec
from absl import logging

from clementinedyke.call_failures import TableFailure
from clementinedyke.claims import messages as msg
from clementinedyke.decoding import convert_document
from clementinedyke.exceptions import ProtocolError
from clementinedyke.reference_platform.objects import ObjectClient
from clementinedyke.reference_platform.tables import (
    ABSENT,
    Condition,
    Conflict,
    TableClient,
    Write,
)

CLAIMS_TABLE = 'claims'
#: Larger bodies go to the object store, since a batch holds up to 100 rows.
MAX_ROW_BODY_BYTES = 16384


class _WireAnswer(msgspec.Struct):
    status: int
    headers: list[tuple[str, str]]
    body: str = ''
    object_key: str = ''


class _WireRow(msgspec.Struct):
    digest: str
    nonce: str
    state: str
    answer: _WireAnswer | None = None


class ClaimStore:
    """Performs the writes and reads of the claim core."""

    def __init__(self, tables: TableClient, object_store: ObjectClient) -> None:
        """Create the store.

        :param tables: client of the table service.
        :param object_store: client of the object store.
        """
        self._tables = tables
        self._object_store = object_store

    async def commit(
        self, batch: msg.CommitBatch
    ) -> msg.BatchApplied | msg.BatchConflicted | msg.BatchFailed:
        """Apply a batch in one transaction.

        Large answers are stored in the object store before their rows.

        :param batch: rows with the versions they replace.
        """
        if not await self._store_bodies(batch):
            return msg.BatchFailed(batch.batch_id, is_unknown=False)
        outcome = await self._tables.commit(
            [
                Condition(CLAIMS_TABLE, item.key, item.version)
                for item in batch.writes
            ],
            [
                Write(CLAIMS_TABLE, item.key, _encode(item.row))
                for item in batch.writes
            ],
        )
        if outcome.is_err():
            is_unknown = outcome.unwrap_err() is TableFailure.UNKNOWN
            return msg.BatchFailed(batch.batch_id, is_unknown)
        committed = outcome.unwrap()
        if isinstance(committed, Conflict):
            keys = frozenset(found.key for found in committed.conflicts)
            return msg.BatchConflicted(batch.batch_id, keys)
        return msg.BatchApplied(batch.batch_id, committed.revision)

    async def read(self, key: str) -> msg.RowRead | msg.ReadFailed:
        """Read a row and its answer.

        :param key: key of the claim.
        """
        outcome = await self._tables.get_row(CLAIMS_TABLE, key)
        if outcome.is_err():
            return msg.ReadFailed(key)
        found = outcome.unwrap()
        if found is None:
            return msg.RowRead(key, ABSENT, None)
        row = await self._decode(found.value)
        if row is None:
            return msg.ReadFailed(key)
        return msg.RowRead(key, found.version, row)

    async def _store_bodies(self, batch: msg.CommitBatch) -> bool:
        for item in batch.writes:
            answer = item.row.answer
            if answer is None or len(answer.body) <= MAX_ROW_BODY_BYTES:
                continue
            key = _get_object_key(item.row)
            stored = await self._object_store.put_object(key, answer.body)
            if stored.is_err():
                return False
        return True

    async def _decode(self, content: Any) -> msg.ClaimRow | None:
        """Return the row, or None if its answer cannot be read."""
        try:
            wire = convert_document(content, _WireRow)
            state = msg.ClaimState(wire.state)
        except (ProtocolError, ValueError) as error:
            logging.warning('event=claim_unreadable error=%s', error)
            return None
        answer = None
        if wire.answer is not None:
            body = await self._read_body(wire.answer)
            if body is None:
                return None
            headers = tuple(wire.answer.headers)
            answer = msg.StoredAnswer(wire.answer.status, headers, body)
        return msg.ClaimRow(wire.digest, wire.nonce, state, answer)

    async def _read_body(self, answer: _WireAnswer) -> bytes | None:
        if not answer.object_key:
            try:
                return base64.b64decode(answer.body)
            except ValueError as error:
                logging.warning('event=claim_unreadable error=%s', error)
                return None
        stored = await self._object_store.get_object(answer.object_key)
        return None if stored.is_err() else stored.unwrap()


def _get_object_key(row: msg.ClaimRow) -> str:
    return f'claims/{row.nonce}'


def _encode(row: msg.ClaimRow) -> Any:
    answer = None
    if row.answer is not None:
        answer = _WireAnswer(row.answer.status, list(row.answer.headers))
        if len(row.answer.body) <= MAX_ROW_BODY_BYTES:
            answer.body = base64.b64encode(row.answer.body).decode()
        else:
            answer.object_key = _get_object_key(row)
    wire = _WireRow(row.digest, row.nonce, row.state.value, answer)
    return msgspec.to_builtins(wire)
