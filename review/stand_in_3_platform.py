"""Stand-ins of the platform: its store and its interface for the duties."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from stand_in_3_http import Server, compile_answer


class Store:
    """Rows with one counter, feeds and the header ``Store-Era``.

    ``is_away`` makes it answer nothing and refuse new connections.
    """

    def __init__(self, record):
        self._record = record
        self.era = 1
        self.version = 0
        self.rows = {}
        self.history = []
        self._changed = asyncio.Event()
        self._server = Server(self._respond)
        self._port = 0

    async def start(self, host):
        self._port = await self._server.start(host)
        return self._port

    async def go_away(self):
        """Close the port and all connections."""
        await self._server.stop()
        self._record('store away')

    async def come_back(self, copy=None):
        """Serve again, from a copy if one is given."""
        if copy is not None:
            self.era += 1
            self.version, self.rows, self.history = (
                copy[0],
                dict(copy[1]),
                list(copy[2]),
            )
        await self._server.start(self._server.host, self._port)
        self._record(f'store back era={self.era} version={self.version}')

    async def close(self):
        await self._server.stop()

    def take_copy(self):
        return self.version, dict(self.rows), list(self.history)

    @property
    def is_serving(self):
        return self._server._server is not None

    def put(self, table, key, document):
        """Write a row for the operator or an engine; False if away."""
        if not self.is_serving:
            return False
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._change([{'table': table, 'part': '', 'key': key, 'value': value}])
        return True

    def remove(self, table, key):
        self._change([{'table': table, 'part': '', 'key': key, 'removed': True}])

    def _change(self, rows):
        self.version += 1
        for row in rows:
            changed = {**row, 'ver': self.version}
            place = (row['table'], row['part'], row['key'])
            if row.get('removed'):
                self.rows.pop(place, None)
            else:
                self.rows[place] = changed
            self.history.append(changed)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, request, writer):
        url = urlsplit(request.target)
        query = {
            name: found[0]
            for name, found in parse_qs(url.query, keep_blank_values=True).items()
        }
        await asyncio.sleep(0.004)
        if url.path == '/v1/rows-tx':
            status, document = self._transact(json.loads(request.body))
        elif url.path == '/v1/rows-get':
            status, document = 200, self._get(query)
        elif url.path == '/v1/rows-feed':
            status, document = await self._feed(query)
        else:
            status, document = 404, {}
        headers = [('Content-Type', 'application/json'), ('Store-Era', self.era)]
        writer.write(
            compile_answer(status, headers, json.dumps(document).encode())
        )

    def _transact(self, body):
        for item in body['expected']:
            place = (item['table'], item['part'], item['key'])
            if self.rows.get(place, {}).get('ver', 0) != item['ver']:
                return 412, {'rows': []}
        removed = [{**item, 'removed': True} for item in body['remove']]
        self._change([*body['puts'], *removed])
        return 200, {'ver': self.version, 'now_ms': _now()}

    def _get(self, query):
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query['table']
            and part == query.get('part', '')
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        ]
        limit = int(query.get('limit', '500'))
        return {
            'rows': found[:limit],
            'has_more': len(found) > limit,
            'ver': self.version,
            'now_ms': _now(),
        }

    async def _feed(self, query):
        after = int(query['after'])
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while after <= self.version:
            changes = [
                row
                for row in self.history
                if row['table'] == query['table'] and row['ver'] > after
            ]
            left = end - time.monotonic()
            if changes or left <= 0:
                return 200, {
                    'rows': changes,
                    'ver': self.version,
                    'now_ms': _now(),
                }
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
        return 410, {}


class Cloud:
    """Accepts the calls of the duties."""

    def __init__(self, record):
        self._record = record
        self._server = Server(self._respond)

    async def start(self, host):
        return await self._server.start(host)

    async def close(self):
        await self._server.stop()

    async def _respond(self, request, writer):
        self._record(
            f'cloud {request.target} holder={request.get("x-duty-holder")} '
            f'fence={request.get("x-fencing-token")} '
            f'{request.body.decode("latin-1")}'
        )
        writer.write(compile_answer(200, [], b'{}'))


def _now():
    return int(time.monotonic() * 1000)
