"""Client of the platform's transactional table service."""

from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote

import msgspec
from absl import logging
from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.decoding import decode_json
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import (
    BodyLimits,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.peer_calls import (
    DEFAULT_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    CallResult,
    call_pooled,
)
from clementinedyke.rows import (
    ABSENT,
    Commit,
    CommitResult,
    Condition,
    Conflict,
    Row,
    Snapshot,
    Write,
)

__all__ = (
    'ABSENT',
    'Commit',
    'CommitResult',
    'Condition',
    'Conflict',
    'Row',
    'Snapshot',
    'TableClient',
    'Write',
)

_STATUS_CONFLICT = 409
#: All records of a region may take seconds on a narrow link.
_IDLE_TIMEOUT: Milliseconds = 1000
_BODY_LIMITS = BodyLimits(_IDLE_TIMEOUT, total_timeout=8 * _IDLE_TIMEOUT)
_Decoded = TypeVar('_Decoded')


class _Transaction(msgspec.Struct):
    conditions: list[Condition]
    writes: list[Write]


class TableClient:
    """Calls the table service over a pooled HTTP client."""

    def __init__(
        self, client: HttpClient, timeout: Milliseconds = DEFAULT_TIMEOUT
    ) -> None:
        """Create a client.

        :param client: HTTP client of the platform's address.
        :param timeout: maximum wait for an answer in milliseconds.
        """
        self._client = client
        self._timeout = timeout

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> CommitResult:
        """Apply all writes if all conditions hold, else none.

        :param conditions: row versions that must be current.
        :param writes: new row values; None deletes the row.
        """
        body = msgspec.json.encode(
            _Transaction(conditions=list(conditions), writes=list(writes))
        )
        answer = await self._call('POST', '/v1/tables/commit', body)
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status == STATUS_OK:
            return _decode(response, Commit, TableFailure.UNKNOWN)
        if response.status == _STATUS_CONFLICT:
            return _decode(response, Conflict, TableFailure.NOT_DONE)
        return Err(TableFailure.NOT_DONE)

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Return a row, or None if it does not exist.

        :param table: table name.
        :param key: row key.
        """
        target = f'/v1/tables/{table}/rows/{quote(key, safe="")}'
        answer = await self._call('GET', target)
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status == STATUS_NOT_FOUND:
            return Ok(None)
        if response.status != STATUS_OK:
            return Err(TableFailure.NOT_DONE)
        return _decode(response, Row, TableFailure.NOT_DONE)

    async def list_rows(
        self, table: str, prefix: str = ''
    ) -> Result[Snapshot, TableFailure]:
        """Return the rows of a table whose key starts with a prefix.

        :param table: table name.
        :param prefix: key prefix; empty for all rows.
        """
        query = quote(prefix, safe='')
        return await self._read_snapshot(
            f'/v1/tables/{table}/rows?prefix={query}'
        )

    async def get_changes(
        self, table: str, since: int
    ) -> Result[Snapshot, TableFailure]:
        """Return the rows of a table written after a revision.

        :param table: table name.
        :param since: last revision that the caller has.
        """
        return await self._read_snapshot(
            f'/v1/tables/{table}/changes?since={since}'
        )

    async def _read_snapshot(
        self, target: str
    ) -> Result[Snapshot, TableFailure]:
        answer = await self._call('GET', target)
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status != STATUS_OK:
            return Err(TableFailure.NOT_DONE)
        return _decode(response, Snapshot, TableFailure.NOT_DONE)

    async def _call(
        self, method: str, target: str, body: bytes = b''
    ) -> CallResult:
        request = HttpRequest(method=method, target=target, body=body)
        return await call_pooled(
            self._client, request, self._timeout, _BODY_LIMITS
        )


def _decode(
    response: HttpResponse, expected: type[_Decoded], failure: TableFailure
) -> Result[_Decoded, TableFailure]:
    """Return the content of an answer, or the failure if it is malformed."""
    try:
        return Ok(decode_json(response.body, expected))
    except ProtocolError as error:
        logging.warning('event=table_answer_unreadable error=%s', error)
        return Err(failure)
