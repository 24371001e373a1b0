"""Client of the platform's row store."""

import base64
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec
import trio
from absl import logging
from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.entry.store_calls import StoreCall
from clementinedyke.entry.watch import (
    ANSWER_TIME,
    FeedAnswer,
    HistoryLost,
    StoredRow,
)
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import (
    BodyLimits,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.http.lost_connection import LostConnection
from clementinedyke.peer_calls import STATUS_OK, call_pooled
from clementinedyke.platform.store_answers import (
    StorePage,
    decode_commit,
    decode_page,
    decode_values,
)
from clementinedyke.rows import (
    Commit,
    CommitResult,
    Condition,
    Conflict,
    Row,
    Snapshot,
    Write,
)
from clementinedyke.store_revision import (
    MAX_ERA,
    compile_revision,
    get_era,
    get_number,
)

_STATUS_CONDITION_FAILED = 412
_STATUS_HISTORY_LOST = 410
#: Outcome names of the statuses that a working store returns; any other status
#: counts as a failed call.
_OUTCOMES: Mapping[int, str] = {
    STATUS_OK: 'done',
    _STATUS_CONDITION_FAILED: 'conflict',
    _STATUS_HISTORY_LOST: 'history_lost',
}
_JSON_TYPE = (b'Content-Type', b'application/json')
#: Header of all answers with the number of times that the store has returned
#: from an older copy.
_ERA_HEADER = b'store-era'
_MAX_ERA_DIGITS = len(str(MAX_ERA))
#: The store answers within 6 ms when idle, and within 400 ms when it is slow
#: (60 times).
_CALL_TIMEOUT: Milliseconds = 1500
#: Limits for the rows in an answer. A configuration of thousands of routes has
#: 1 MB, which takes 2 s on a link of 5 Mbit/s.
_IDLE_TIMEOUT: Milliseconds = 1000
_READ_TIMEOUT: Milliseconds = 8000
_READ_LIMITS = BodyLimits(_IDLE_TIMEOUT, _READ_TIMEOUT)
#: Page size; the store returns at most this many rows per answer.
_PAGE_ROWS = 500


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store and the era in which it was given."""

    response: HttpResponse
    era: int


class StoreClient:
    """Reads, writes and watches tables over a pooled HTTP client.

    The ``part`` of each row's address in the store is always empty. Revisions
    and versions bear the era of the answer that told them. Answers of an era
    before the newest known one are failures: what they tell is no longer true.
    """

    def __init__(self, client: HttpClient) -> None:
        """Create a client.

        :param client: HTTP client of the store's address.
        """
        self._client = client
        #: Newest era that an answer bore, 0 if none did.
        self._era = 0
        self._was_answered = False
        #: Called with the first answer of a later era, before it is returned.
        self.return_observers: list[Callable[[], None]] = []
        #: Feed calls in progress and when they were made, in trio time.
        self._following: dict[trio.CancelScope, float] = {}
        #: End of the last call without an answer, None once another call had
        #: one, in trio time.
        self._unanswered_at: float | None = None
        #: Called after each call to the store.
        self.record_call: Callable[[StoreCall], None] = _discard_call

    def observe_losses(
        self, observer: Callable[[LostConnection], None]
    ) -> None:
        """Have lost connections to the store reported.

        :param observer: called with each connection that a call lost.
        """
        self._client.record_loss = observer

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> CommitResult:
        """Apply all writes if all conditions hold, else none.

        :param conditions: row versions that must be current.
        :param writes: new row values, stored as JSON; None deletes the row.
        """
        oldest = compile_revision(self._era, 0)
        if any(0 < item.version < oldest for item in conditions):
            # The row of an earlier era no longer exists at that version.
            return Ok(Conflict([]))
        body = msgspec.json.encode(_compile_transaction(conditions, writes))
        answer = await self._call(
            HttpRequest('POST', '/v1/rows-tx', [_JSON_TYPE], body),
            _CALL_TIMEOUT,
        )
        if answer.is_err():
            return Err(answer.unwrap_err())
        era = answer.unwrap().era
        response = answer.unwrap().response
        if response.status == _STATUS_CONDITION_FAILED:
            return Ok(Conflict([]))
        if response.status != STATUS_OK:
            return Err(TableFailure.NOT_DONE)
        try:
            return Ok(Commit(decode_commit(response.body, era)))
        except ProtocolError as error:
            logging.warning('event=store_answer_unreadable error=%s', error)
            return Err(TableFailure.UNKNOWN)

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Return a row with its decoded JSON value, or None if it is absent.

        :param table: table name.
        :param key: row key.
        """
        # The end of the range is exclusive, and key + NUL is the next possible
        # key, so the range contains one row.
        target = f'from={_quote(key)}&to={_quote(key)}%00&limit=1'
        answer = await self._read_page(table, target)
        if answer.is_err():
            return Err(answer.unwrap_err())
        rows = decode_values(answer.unwrap().rows)
        return Ok(rows[0] if rows else None)

    async def list_rows(
        self, table: str, prefix: str = ''
    ) -> Result[Snapshot, TableFailure]:
        """Return the rows whose key starts with a prefix, with decoded values.

        :param table: table name.
        :param prefix: key prefix in ASCII; empty for all rows.
        """
        answer = await self.read_table(table, prefix)
        if answer.is_err():
            return Err(answer.unwrap_err())
        feed = answer.unwrap()
        present = [row for row in feed.rows if row.content is not None]
        return Ok(Snapshot(feed.revision, decode_values(present)))

    async def read_table(
        self, table: str, prefix: str = ''
    ) -> Result[FeedAnswer, TableFailure]:
        """Return the rows of a table, read in pages, with undecoded values.

        :param table: table name.
        :param prefix: key prefix in ASCII; empty for all rows.
        """
        rows: list[StoredRow] = []
        start = prefix
        revision: int | None = None
        while True:
            end = f'&to={_quote(_get_successor(prefix))}' if prefix else ''
            answer = await self._read_page(
                table, f'from={_quote(start)}{end}&limit={_PAGE_ROWS}'
            )
            if answer.is_err():
                return Err(answer.unwrap_err())
            page = answer.unwrap()
            if revision is not None and get_era(revision) != get_era(
                page.revision
            ):
                # The store returned from a copy between two pages.
                return Err(TableFailure.NOT_DONE)
            revision = page.revision
            rows += page.rows
            if not page.has_more:
                return Ok(FeedAnswer(page.revision, tuple(rows)))
            if not page.rows:
                return Err(TableFailure.NOT_DONE)
            start = f'{page.rows[-1].key}\0'

    async def follow_table(
        self,
        table: str,
        revision: int,
        wait: Milliseconds,
        *,
        doubts_idle: bool = False,
    ) -> Result[FeedAnswer | HistoryLost, TableFailure]:
        """Long-poll for the changes of a table after a revision.

        Returns no rows if nothing changes during the wait, and HistoryLost if
        the store has discarded changes after the revision, or has returned from
        a copy since: rows with numbers given out again may be missing then.
        The call fails if its connection may have gone silent together with
        another one.

        :param table: table name.
        :param revision: last revision that the caller has.
        :param wait: maximum wait of the store in milliseconds.
        :param doubts_idle: whether idle connections may have gone silent.
        """
        number = get_number(revision)
        target = f'/v1/rows-feed?table={table}&after={number}&wait_ms={wait}'
        answer: Result[_Answer, TableFailure] = Err(TableFailure.UNKNOWN)
        with trio.CancelScope() as scope:
            self._following[scope] = trio.current_time()
            try:
                answer = await self._call(
                    HttpRequest('GET', target),
                    wait + ANSWER_TIME,
                    _READ_LIMITS,
                    doubts_idle=doubts_idle,
                )
            finally:
                self._following.pop(scope)
        if answer.is_ok() and (
            answer.unwrap().response.status == _STATUS_HISTORY_LOST
            or (revision and answer.unwrap().era != get_era(revision))
        ):
            return Ok(HistoryLost())
        page = _decode_page(answer)
        if page.is_err():
            return Err(page.unwrap_err())
        answered = page.unwrap()
        return Ok(FeedAnswer(answered.revision, tuple(answered.rows)))

    async def _read_page(
        self, table: str, query: str
    ) -> Result[StorePage, TableFailure]:
        target = f'/v1/rows-get?table={table}&part=&{query}'
        return _decode_page(
            await self._call(
                HttpRequest('GET', target), _CALL_TIMEOUT, _READ_LIMITS
            )
        )

    async def _call(
        self,
        request: HttpRequest,
        timeout: Milliseconds,
        body_limits: BodyLimits | None = None,
        *,
        doubts_idle: bool = False,
    ) -> Result[_Answer, TableFailure]:
        sent_at = trio.current_time()
        answer = await call_pooled(
            self._client,
            request,
            timeout,
            body_limits,
            doubts_idle=doubts_idle,
        )
        if answer.is_err():
            outcome = answer.unwrap_err().value
        else:
            status = answer.unwrap().status
            outcome = _OUTCOMES.get(status, f'status_{status}')
        self.record_call(
            StoreCall(
                request.target.partition('?')[0].rpartition('/')[2],
                outcome,
                is_failure=outcome not in _OUTCOMES.values(),
            )
        )
        if answer.is_err():
            if answer.unwrap_err() is TableFailure.UNKNOWN:
                self._unanswered_at = trio.current_time()
            return Err(answer.unwrap_err())
        self._cancel_older_feeds(sent_at)
        era = self._read_era(answer.unwrap())
        if era < self._era:
            return Err(TableFailure.UNKNOWN)
        has_returned = self._was_answered and era > self._era
        self._was_answered = True
        self._era = era
        if has_returned:
            for observer in self.return_observers:
                observer()
        return Ok(_Answer(answer.unwrap(), era))

    def _cancel_older_feeds(self, sent_at: float) -> None:
        """Give up feed calls that were made before a call got no answer.

        The store answers again, so their connections may be silent as well.

        :param sent_at: trio time of a call that was answered.
        """
        lost_at = self._unanswered_at
        if lost_at is None or sent_at < lost_at:
            return
        self._unanswered_at = None
        for scope, made_at in tuple(self._following.items()):
            if made_at < lost_at:
                scope.cancel()

    def _read_era(self, response: HttpResponse) -> int:
        """Return the era of an answer, the last known one if it tells none."""
        for name, text in response.headers:
            if name.lower() == _ERA_HEADER:
                is_short = len(text) <= _MAX_ERA_DIGITS
                if text.isdigit() and is_short and int(text) <= MAX_ERA:
                    return int(text)
                logging.warning('event=store_era_unreadable text=%r', text)
        return self._era


def _discard_call(ended: StoreCall) -> None:
    """Do nothing; default callback of a client without an observer."""


def _compile_transaction(
    conditions: Sequence[Condition], writes: Sequence[Write]
) -> dict[str, Any]:
    return {
        'expected': [
            {
                **_compile_row_id(item.table, item.key),
                'ver': get_number(item.version),
            }
            for item in conditions
        ],
        'puts': [
            {
                **_compile_row_id(write.table, write.key),
                'value': _encode_value(write.value),
            }
            for write in writes
            if write.value is not None
        ],
        'remove': [
            _compile_row_id(write.table, write.key)
            for write in writes
            if write.value is None
        ],
    }


def _compile_row_id(table: str, key: str) -> dict[str, str]:
    return {'table': table, 'part': '', 'key': key}


def _encode_value(value: Any) -> str:  # noqa: WPS110
    return base64.b64encode(msgspec.json.encode(value)).decode('ascii')


def _decode_page(
    answer: Result[_Answer, TableFailure],
) -> Result[StorePage, TableFailure]:
    if answer.is_err():
        return Err(answer.unwrap_err())
    response = answer.unwrap().response
    if response.status != STATUS_OK:
        return Err(TableFailure.NOT_DONE)
    try:
        return Ok(decode_page(response.body, answer.unwrap().era))
    except ProtocolError as error:
        logging.warning('event=store_answer_unreadable error=%s', error)
        return Err(TableFailure.NOT_DONE)


def _quote(text: str) -> str:
    return quote(text, safe='')


def _get_successor(prefix: str) -> str:
    """Return the exclusive end of the range of keys with a prefix."""
    return f'{prefix[:-1]}{chr(ord(prefix[-1]) + 1)}'
