"""Stand-ins of the store and of the interface for duties.

Tables, transactions, reads and feeds are as PROTOCOL.md tells; objects are not
needed by any script. Engines report to the store with ``PUT /beat/ID``, a call
of these stand-ins only: the pages leave open how they write their entries.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from stand_in_http import Answer, Connection, Request, compile_json

#: Silence after which an entry is removed: three status report intervals.
_LAPSE_SECONDS = 3.6
_MAX_ROWS = 500


def encode(document: object) -> str:
    """Return a value as the store keeps it."""
    return base64.b64encode(json.dumps(document).encode()).decode()


class Store:
    """Rows with one counter of versions, and feeds of their changes."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.ver = 0
        self.era = 1
        #: Whether calls get no answer: their connections are closed.
        self.is_away = False
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.history: list[dict] = []
        self._changed = asyncio.Event()
        self._beats: dict[str, float] = {}
        self._entries: dict[str, dict] = {}

    def put(self, table: str, key: str, document: object) -> None:
        """Write a row as the operator or an engine does."""
        self._change(
            [
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'value': encode(document),
                }
            ],
            [],
        )

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._change([], [{'table': table, 'part': '', 'key': key}])

    def copy(self) -> tuple:
        """Return a copy of the content, for :meth:`return_from`."""
        return (
            self.ver,
            dict(self.rows),
            list(self.history),
            dict(self._entries),
        )

    def return_from(self, copy: tuple) -> None:
        """Come back from a copy; what was written since is gone.

        The engines write their entries again with their next status reports.
        """
        self.era += 1
        self.ver, self.rows, self.history, self._entries = (
            copy[0],
            dict(copy[1]),
            list(copy[2]),
            dict(copy[3]),
        )
        now = time.monotonic()
        for key in self._entries:
            self._beats.setdefault(key, now)
        self.is_away = False
        self._wake()

    async def expire_entries(self) -> None:
        """Remove the entries of engines that fell silent."""
        while True:
            await asyncio.sleep(0.1)
            for key, heard in tuple(self._beats.items()):
                if self.is_away:
                    continue
                if time.monotonic() - heard > _LAPSE_SECONDS:
                    self._beats.pop(key)
                    self._entries.pop(key)
                    self.remove('servers', key)

    async def respond(self, request: Request, connection: Connection) -> Answer:
        """Answer a call."""
        query = {
            key: found[0]
            for key, found in parse_qs(
                request.target.partition('?')[2], keep_blank_values=True
            ).items()
        }
        if self.is_away:
            raise ConnectionError('the store is away')
        if request.path.startswith('/beat/'):
            return self._accept_beat(request)
        if request.path == '/v1/rows-tx':
            return self._transact(json.loads(request.body))
        if request.path == '/v1/rows-get':
            return self._get(query)
        if request.path == '/v1/rows-feed':
            return await self._feed(query)
        return compile_json(404, {})

    def _accept_beat(self, request: Request) -> Answer:
        key = request.path.removeprefix('/beat/')
        if request.method == 'DELETE':
            if self._beats.pop(key, None) is not None:
                self._entries.pop(key)
                self.remove('servers', key)
            return compile_json(200, {})
        entry = json.loads(request.body)
        # A change of the sequence alone is no change of the entry.
        if self._entries.get(key) != entry:
            self.put('servers', key, {**entry, 'sequence': self.ver + 1})
        self._entries[key] = entry
        self._beats[key] = time.monotonic()
        return compile_json(200, {})

    def _answer(self, status: int, document: dict) -> Answer:
        now = int(time.monotonic() * 1000)
        return compile_json(
            status, {**document, 'now_ms': now}, ('Store-Era', str(self.era))
        )

    def _transact(self, body: dict) -> Answer:
        expected = body.get('expected', ())
        current = [self.rows.get(_get_place(row)) for row in expected]
        if any(
            (row['ver'] if row else 0) != wanted['ver']
            for row, wanted in zip(current, expected, strict=True)
        ):
            rows = [row for row in current if row]
            return self._answer(412, {'rows': rows, 'ver': self.ver})
        self._change(body.get('puts', ()), body.get('remove', ()))
        return self._answer(200, {'ver': self.ver})

    def _get(self, query: dict) -> Answer:
        limit = min(_MAX_ROWS, int(query.get('limit', _MAX_ROWS)))
        rows = [
            row
            for place, row in sorted(self.rows.items())
            if place[:2] == (query['table'], query.get('part', ''))
            and place[2] >= query.get('from', '')
            and ('to' not in query or place[2] < query['to'])
        ]
        return self._answer(
            200,
            {
                'rows': rows[:limit],
                'has_more': len(rows) > limit,
                'ver': self.ver,
            },
        )

    async def _feed(self, query: dict) -> Answer:
        after = int(query['after'])
        era = self.era
        until = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            if era != self.era or self.is_away:
                raise ConnectionError('the store went away')
            if after > self.ver:
                return self._answer(410, {})
            rows = [
                row
                for row in self.history
                if row['table'] == query['table'] and row['ver'] > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._answer(200, {'rows': rows, 'ver': self.ver})
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(self, puts: object, removed: object) -> None:
        self.ver += 1
        for row in puts:
            kept = {'part': '', **row, 'ver': self.ver}
            self.rows[_get_place(kept)] = kept
            self.history.append(kept)
        for row in removed:
            place = _get_place(row)
            if self.rows.pop(place, None) is not None:
                self.history.append(
                    {
                        'table': place[0],
                        'part': place[1],
                        'key': place[2],
                        'ver': self.ver,
                        'removed': True,
                    }
                )
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Duties:
    """Accepts usage reports and orders of engines, and records them."""

    def __init__(self) -> None:
        """Create an interface that got no call yet."""
        self.calls: list[dict] = []

    async def respond(self, request: Request, connection: Connection) -> Answer:
        """Record a call."""
        self.calls.append(
            {
                'path': request.path,
                'holder': request.headers.get('x-duty-holder'),
                'fence': request.headers.get('x-fencing-token'),
                'body': json.loads(request.body),
            }
        )
        return compile_json(200, {})


def _get_place(row: dict) -> tuple[str, str, str]:
    return row['table'], row.get('part', ''), row['key']
