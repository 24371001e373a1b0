"""Stand-in for the platform: tables, objects, reports, orders, lists."""

import json
import re
from collections.abc import Mapping
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import trio

from clementinedyke.http.server import (
    HttpServer,
    ResponseWriter,
    ServerRequest,
)
from clementinedyke.reference_platform.tables import (
    Condition,
    Conflict,
    Snapshot,
    Write,
)
from clementinedyke.standins.tables import MemoryTables

_TABLE_PATH = re.compile(r'/v1/tables/(\w+)/(rows|changes)(?:/(.+))?')
_STORED_PATH = re.compile(r'/v1/(objects|usage/reports|endpoint-orders)/(.+)')
_COMMIT_PATH = '/v1/tables/commit'
_LISTS_PATH = '/lists/'
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_MILLISECONDS_PER_SECOND = 1000


class TransactionBody(msgspec.Struct):
    """Request body of a commit to the tables."""

    conditions: list[Condition] = []
    writes: list[Write] = []


class Faults(msgspec.Struct):
    """Injected faults, in effect until replaced.

    ``outage`` answers requests to the platform with status 503. ``delay`` is
    the time before each response in milliseconds. The next ``lose_answers``
    requests other than GET are applied, but their connection breaks without a
    response; if ``lose_table`` is set, only commits that write to this table
    count. ``lag_revision`` hides rows written after this revision from
    readers of changes, like a lagging replica; 0 disables the lag.
    """

    outage: bool = False
    delay: int = 0
    lose_answers: int = 0
    lose_table: str = ''
    lag_revision: int = 0


class PlatformStandin:
    """Serves the interfaces of the platform from memory."""

    def __init__(self) -> None:
        """Create an empty platform."""
        self.tables = MemoryTables()
        self.faults = Faults()
        self.endpoints: list[dict[str, Any]] = []
        self.hosts: list[dict[str, Any]] = []
        #: Last body stored under each path.
        self.stored_bodies: dict[str, bytes] = {}
        #: Path, body and headers of each request that stored an object, a
        #: usage report or an endpoint order, in order of arrival.
        self.stored_requests: list[tuple[str, str, Mapping[str, str]]] = []
        self._server = HttpServer(self.respond)

    async def start(self, nursery: trio.Nursery, host: str, port: int) -> int:
        """Start serving and return the bound port.

        :param nursery: nursery that runs the server.
        :param host: IP address to bind.
        :param port: TCP port, 0 for a free one.
        """
        serve = partial(self._server.serve, host, port)
        return int(await nursery.start(serve))

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer one request.

        :param request: request from a daemon or a test.
        :param response: writer for the response.
        """
        if request.path == '/faults':
            if request.method != 'GET':
                self.faults = msgspec.json.decode(request.body, type=Faults)
            await response.send_json(_OK, msgspec.to_builtins(self.faults))
            return
        if request.path.startswith(_LISTS_PATH):
            self._replace_list(request)
            await response.send_json(_OK, {})
            return
        if self.faults.outage:
            await response.send_json(_UNAVAILABLE, {'error': 'outage'})
            return
        await trio.sleep(self.faults.delay / _MILLISECONDS_PER_SECOND)
        status, content = self._execute(request)
        if self._should_drop_answer(request):
            self.faults.lose_answers -= 1
            raise trio.BrokenResourceError(
                'response dropped by the fault lose_answers'
            )
        body = content if isinstance(content, bytes) else _encode(content)
        await response.send_response(
            status, [(b'Content-Type', b'application/json')], body
        )

    def _should_drop_answer(self, request: ServerRequest) -> bool:
        if request.method == 'GET' or not self.faults.lose_answers:
            return False
        table = self.faults.lose_table
        if not table:
            return True
        if request.path != _COMMIT_PATH:
            return False
        body = msgspec.json.decode(request.body, type=TransactionBody)
        return any(write.table == table for write in body.writes)

    def _execute(self, request: ServerRequest) -> tuple[int, Any]:
        if request.path == _COMMIT_PATH:
            return self._commit(request.body)
        if request.path == '/v1/endpoints':
            return _OK, self.endpoints
        if request.path == '/v1/hosts':
            return _OK, self.hosts
        stored_match = _STORED_PATH.fullmatch(request.path)
        if stored_match:
            return self._handle_stored_body(request, unquote(request.path))
        table_match = _TABLE_PATH.fullmatch(request.path)
        if table_match:
            return self._read_table(request, *table_match.groups())
        return _NOT_FOUND, {'error': 'no such path'}

    def _replace_list(self, request: ServerRequest) -> None:
        """Replace the list of endpoints or hosts with the request body."""
        entries = json.loads(request.body)
        if request.path.endswith('/hosts'):
            self.hosts = entries
        else:
            self.endpoints = entries

    def _commit(self, body: bytes) -> tuple[int, Any]:
        transaction = msgspec.json.decode(body, type=TransactionBody)
        outcome = self.tables.commit(transaction.conditions, transaction.writes)
        status = _CONFLICT if isinstance(outcome, Conflict) else _OK
        return status, outcome

    def _read_table(
        self, request: ServerRequest, table: str, kind: str, key: str | None
    ) -> tuple[int, Any]:
        query = parse_qs(request.query)
        if kind == 'changes':
            since = int(query['since'][0])
            last_visible = self.faults.lag_revision
            changes = self.tables.get_changes(table, since)
            return _OK, _hide_changes_after(
                changes, last_visible
            ) if last_visible else changes
        if key is None:
            prefix = query.get('prefix', [''])[0]
            return _OK, self.tables.list_rows(table, prefix)
        row = self.tables.get_row(table, unquote(key))
        return (_NOT_FOUND, {}) if row is None else (_OK, row)

    def _handle_stored_body(
        self, request: ServerRequest, path: str
    ) -> tuple[int, Any]:
        if request.method == 'GET':
            stored_body = self.stored_bodies.get(path)
            return (
                (_NOT_FOUND, {}) if stored_body is None else (_OK, stored_body)
            )
        self.stored_bodies[path] = request.body
        headers = {
            name.decode(): content.decode() for name, content in request.headers
        }
        self.stored_requests.append(
            (path, request.body.decode('latin-1'), headers)
        )
        return _OK, {}


def _hide_changes_after(changes: Snapshot, last_visible: int) -> Snapshot:
    rows = [row for row in changes.rows if row.version <= last_visible]
    return Snapshot(min(changes.revision, last_visible), rows)


def _encode(content: Any) -> bytes:
    return msgspec.json.encode(content)
