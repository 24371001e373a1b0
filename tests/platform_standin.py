"""Stand-ins for the users' platform: store, endpoints and duty interface."""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from urllib.parse import parse_qs

import trio

from clementinedyke.http.message import ResponseWriter, ServerRequest
from clementinedyke.http.server import HttpServer

_SIGNATURE = (b'X-Server-Signature', b'signed')
_RUN_SECONDS = 0.1


def encode(document: object) -> str:
    """Return a value in the encoding of the store: base64 of JSON."""
    return base64.b64encode(json.dumps(document).encode()).decode()


async def send_document(
    response: ResponseWriter, status: int, document: object, *headers: tuple
) -> None:
    """Send an answer with a JSON document and extra headers."""
    await response.send_json(status, document, list(headers))


@dataclass(frozen=True)
class StoreCopy:
    """Copy of the store's content at a revision."""

    version: int
    rows: dict[tuple[str, str], dict]
    history: list[dict]


class StoreStandin:
    """Store stand-in with one revision counter and change feeds.

    All answers bear the era, which rises when the store returns from a copy.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.era = 1
        self.version = 0
        self.rows: dict[tuple[str, str], dict] = {}
        self.history: list[dict] = []
        #: Revision up to which the change history was dropped.
        self.history_start = 0
        #: HTTP status with which all calls are refused; 0 to serve them.
        self.refusal_status = 0
        #: Number of further transactions that are applied but not answered.
        self.answers_to_lose = 0
        self.calls: list[str] = []
        self._changed = trio.Event()
        #: Tables and revisions of the feed calls that wait for changes.
        self._waiting: list[tuple[str, int]] = []

    def count_followers(self, table: str) -> int:
        """Return how many feeds wait that have got all changes of a table."""
        newest = max(
            (row['ver'] for row in self.history if row['table'] == table),
            default=0,
        )
        return sum(
            followed == table and after >= newest
            for followed, after in self._waiting
        )

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row with a JSON value."""
        self._change([{'table': table, 'key': key, 'value': encode(document)}])

    def put_raw(self, table: str, key: str, text: str) -> None:
        """Write a row with a value that is not encoded."""
        self._change([{'table': table, 'key': key, 'value': text}])

    def remove(self, table: str, key: str) -> None:
        """Delete a row."""
        self._change([{'table': table, 'key': key, 'removed': True}])

    def copy(self) -> StoreCopy:
        """Return a copy of the current content."""
        return StoreCopy(self.version, dict(self.rows), list(self.history))

    def return_from(self, copy: StoreCopy) -> None:
        """Lose all that was written after a copy was taken."""
        self.era += 1
        self.version = copy.version
        self.rows = dict(copy.rows)
        self.history = list(copy.history)
        self._wake()

    def drop_history(self) -> None:
        """Drop the change history; feeds of older revisions answer 410."""
        self.history_start = self.version
        self._wake()

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer a call to the store interface."""
        self.calls.append(request.path)
        if self.refusal_status:
            await self._answer(response, self.refusal_status, {})
            return
        if request.path == '/v1/rows-tx':
            await self._transact(json.loads(request.body), request, response)
            return
        query = {
            key: found[0] for key, found in parse_qs(request.query).items()
        }
        if request.path == '/v1/rows-feed':
            await self._feed(query, response)
            return
        await self._get(query, response)

    async def _answer(
        self, response: ResponseWriter, status: int, document: object
    ) -> None:
        era = (b'Store-Era', str(self.era).encode())
        await send_document(response, status, document, era)

    async def _transact(
        self, body: dict, request: ServerRequest, response: ResponseWriter
    ) -> None:
        for item in body['expected']:
            known = self.rows.get((item['table'], item['key']), {})
            if known.get('ver', 0) != item['ver']:
                await self._answer(response, 412, {'rows': []})
                return
        removed = [{**item, 'removed': True} for item in body['remove']]
        self._change([*body['puts'], *removed])
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            request.connection.must_close = True
            raise trio.BrokenResourceError(
                'connection closed without an answer'
            )
        await self._answer(response, 200, {'ver': self.version, 'now_ms': 1})

    async def _get(self, query: dict, response: ResponseWriter) -> None:
        rows = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query['table']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        ]
        limit = int(query.get('limit', '500'))
        page = {'rows': rows[:limit], 'has_more': len(rows) > limit}
        await self._answer(
            response, 200, {**page, 'ver': self.version, 'now_ms': 1}
        )

    async def _feed(self, query: dict, response: ResponseWriter) -> None:
        after = int(query['after'])
        waiting = (query['table'], after)
        self._waiting.append(waiting)
        try:
            with trio.move_on_after(int(query['wait_ms']) / 1000):
                while self._has_history(after) and not self._list_changes(
                    query['table'], after
                ):
                    await self._changed.wait()
        finally:
            self._waiting.remove(waiting)
        if not self._has_history(after):
            await self._answer(response, 410, {})
            return
        changes = self._list_changes(query['table'], after)
        await self._answer(
            response, 200, {'rows': changes, 'ver': self.version}
        )

    def _has_history(self, after: int) -> bool:
        return self.history_start <= after <= self.version

    def _list_changes(self, table: str, after: int) -> list[dict]:
        return [
            row
            for row in self.history
            if row['table'] == table and row['ver'] > after
        ]

    def _change(self, rows: list[dict]) -> None:
        self.version += 1
        for row in rows:
            changed = {**row, 'ver': self.version}
            place = (row['table'], row['key'])
            if row.get('removed'):
                self.rows.pop(place, None)
            else:
                self.rows[place] = changed
            self.history.append(changed)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


@dataclass
class EndpointStandin:
    """Engine or plain service that records the requests it gets.

    ``received`` has all requests but those that release a KV cache, whose
    paths are in ``released``. ``runs`` has the ids of the requests that were
    run. ``override`` is called for each request addressed to this endpoint;
    if it returns true, it has answered the request. ``events`` is the number
    of events of a stream. ``extra_headers`` are in all answers.
    """

    endpoint_id: str
    stage: str | None = None
    events: int = 3
    received: list[ServerRequest] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    released: list[str] = field(default_factory=list)
    override: Callable | None = None
    extra_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    port: int = 0

    def compile_entry(self, service: str, **fields: object) -> dict:
        """Return the store entry of the endpoint, with changed fields."""
        return {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'stage': self.stage,
            'sequence': 1,
            'born': 17,
            **fields,
        }

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Record a request and answer it."""
        if request.method == 'DELETE':
            self.released.append(request.path)
            await send_document(response, 200, {})
            return
        self.received.append(request)
        echo = (b'X-Request-Id', request.get_header(b'x-request-id').encode())
        if request.get_header(b'x-expect-instance') != self.endpoint_id:
            await send_document(response, 421, {}, echo, *self.extra_headers)
            return
        if self.override is not None and await self.override(
            self, request, response
        ):
            return
        if request.get_header(b'x-stage') == 'prefill':
            answer = {
                'handle': f'h-{len(self.received)}',
                'tokens': 5,
                'version': 1,
            }
            await send_document(
                response, 200, answer, echo, *self.extra_headers
            )
            return
        self.runs.append(request.get_header(b'x-request-id'))
        if self.stage is None:
            headers = [echo, _SIGNATURE, *self.extra_headers]
            await response.send_response(
                200, headers, self.endpoint_id.encode()
            )
            return
        await self.stream(request, response, self.events)

    async def stream(
        self, request: ServerRequest, response: ResponseWriter, until: int
    ) -> None:
        """Send the events after Last-Event-Id, up to and including ``until``.

        The stream ends only if the last event was sent.
        """
        after = int(request.get_header(b'last-event-id') or 0)
        echo = (b'X-Request-Id', request.get_header(b'x-request-id').encode())
        kind = (b'Content-Type', b'text/event-stream')
        await response.send_head(
            200, [echo, _SIGNATURE, kind, *self.extra_headers]
        )
        for number in range(after + 1, until + 1):
            await response.send_chunk(b'id: %d\ndata: x\n\n' % number)
        if until >= self.events:
            await response.end()


async def lose_answer(
    endpoint: EndpointStandin, request: ServerRequest, response: ResponseWriter
) -> bool:
    """Run a request and close the connection without an answer."""
    endpoint.runs.append(request.get_header(b'x-request-id'))
    raise trio.BrokenResourceError('connection closed without an answer')


async def never_answer(
    endpoint: EndpointStandin, request: ServerRequest, response: ResponseWriter
) -> bool:
    """Accept a request and never answer it."""
    await trio.sleep_forever()
    return True


async def delay_stream(
    endpoint: EndpointStandin, request: ServerRequest, response: ResponseWriter
) -> bool:
    """Take some time, so that the requests spread over all engines."""
    await trio.sleep(_RUN_SECONDS)
    return False


class DutiesStandin:
    """Accepts and records usage reports and capacity orders."""

    def __init__(self) -> None:
        """Create a stand-in without recorded calls."""
        self.calls: list[tuple[str, dict]] = []
        #: Holder and fence of each call, in the same order.
        self.authorities: list[tuple[str, int]] = []

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Record a call and answer 200."""
        self.calls.append((request.path, json.loads(request.body)))
        holder = request.get_header(b'x-duty-holder') or ''
        fence = request.get_header(b'x-fencing-token') or '0'
        self.authorities.append((holder, int(fence)))
        await send_document(response, 200, {})


async def serve(nursery: trio.Nursery, respond: Callable) -> int:
    """Serve a stand-in on a free loopback port and return the port."""
    server = HttpServer(respond)
    return await nursery.start(partial(server.serve, '127.0.0.1', 0))
