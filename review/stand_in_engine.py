"""Stand-in of a model engine or a plain server, a process of its own.

Called with one JSON object of options. SIGUSR1 makes it leave: it reports
``draining``, says so in its answers, and goes on serving.
"""

import asyncio
import json
import os
import signal
import sys
import time

import stand_in_http as http1

#: Interval of its status reports to the store, ``heartbeat_ms``.
_BEAT_SECONDS = 1.2
_SWITCH_SECONDS = 3.0


class Engine:
    """Runs requests as its options tell."""

    def __init__(self, options: dict) -> None:
        """Create an engine that does not listen yet."""
        self._options = options
        self._stage = options.get('stage')
        self._is_leaving = False
        self._orders = 0
        self._is_switching = False
        self._running = 0
        self._handles: dict[str, str] = {}
        self._log = open(options['log'], 'a', encoding='utf-8')  # noqa: SIM115
        self._beat = asyncio.Event()

    async def run(self) -> None:
        """Serve until the process is killed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._leave)
        await http1.serve(self._respond, '127.0.0.1', self._options['port'])
        while True:
            await self._send_beat()
            self._beat.clear()
            try:
                async with asyncio.timeout(_BEAT_SECONDS):
                    await self._beat.wait()
            except TimeoutError:
                continue

    def _leave(self) -> None:
        self._is_leaving = True
        self._write('leaves', '')
        self._beat.set()

    async def _send_beat(self) -> None:
        entry = {
            'service': self._options['service'],
            'address': f'127.0.0.1:{self._options["port"]}',
            'zone': self._options.get('zone', 'voru-a'),
            'version': 'v1',
            'slots': self._options.get('slots', 8),
            'state': 'draining' if self._is_leaving else 'ready',
            'cold_remaining_ms': 0,
            'born': self._options['born'],
        }
        if self._options.get('spot'):
            entry['spot'] = True
            if self._is_leaving:
                entry['leaves_ms'] = self._options.get('notice_ms', 2000)
        if self._stage is not None:
            entry['stage'] = self._stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        request = http1.compile_request(
            'PUT',
            f'/beat/{self._options["id"]}',
            {'Host': 'store'},
            json.dumps(entry).encode(),
        )
        await http1.call('127.0.0.1', self._options['store_port'], request, 1)

    def _write(self, event: str, request_id: str, **more: object) -> None:
        line = {
            'at': round(time.time(), 3),
            'engine': self._options['id'],
            'event': event,
            'id': request_id,
            **more,
        }
        self._log.write(json.dumps(line) + '\n')
        self._log.flush()

    async def _respond(
        self, request: http1.Request, connection: http1.Connection
    ) -> http1.Answer | None:
        expected = request.headers.get('x-expect-instance')
        request_id = request.headers.get('x-request-id', '')
        if expected not in {None, self._options['id']}:
            return self._refuse(421, request_id)
        if request.path == '/v1/report':
            return self._report()
        if request.path == '/v1/order':
            return self._accept_order(json.loads(request.body))
        if request.method == 'DELETE':
            self._handles.pop(request.path.rpartition('/')[2], None)
            return http1.compile_json(200, {})
        if request.path == '/healthz':
            return http1.compile_json(
                503 if self._is_leaving else 200,
                {},
                ('X-Instance-Id', self._options['id']),
            )
        if not request_id:
            return http1.compile_json(400, {}, ('X-Not-Executed', '1'))
        self._write('came', request_id, stage=request.headers.get('x-stage'))
        if self._stage is not None:
            return await self._generate(request, request_id, connection)
        self._running += 1
        try:
            return await self._run_plain(request_id, connection)
        finally:
            self._running -= 1

    def _report(self) -> http1.Answer:
        return http1.compile_json(
            200,
            {
                'stage': self._stage,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': self._is_switching,
                'sequence': self._orders,
                'waiting': 0,
                'running': self._running,
                'kv_used': 0,
                'kv_total': 444000,
                'handles': len(self._handles),
                'born': self._options['born'],
            },
        )

    def _accept_order(self, order: dict) -> http1.Answer:
        if self._is_switching or order.get('expected', self._orders) != (
            self._orders
        ):
            return http1.compile_json(409, {})
        if order.get('stage') == self._stage:
            return http1.compile_json(200, {})
        self._orders += 1
        self._is_switching = True
        asyncio.get_running_loop().call_later(
            _SWITCH_SECONDS, self._switch, order['stage']
        )
        return http1.compile_json(202, {})

    def _switch(self, stage: str) -> None:
        self._stage = stage
        self._is_switching = False
        self._beat.set()

    def _compile_headers(self, request_id: str) -> list[tuple[str, str]]:
        slots = self._options.get('slots', 8)
        headers = [
            ('X-Request-Id', request_id),
            ('X-Server-Signature', f'3e1b.07.{request_id}'),
            ('X-Instance-Load', f'{self._running},0,{slots}'),
        ]
        if self._is_leaving:
            headers.append(('Server-Leaving', '1'))
        return headers

    def _refuse(self, status: int, request_id: str) -> http1.Answer:
        headers = [('X-Request-Id', request_id)]
        headers.append(('X-Instance-Id', self._options['id']))
        if status != 421:
            headers.append(('X-Not-Executed', '1'))
        return http1.Answer(status, headers)

    async def _run_plain(
        self, request_id: str, connection: http1.Connection
    ) -> http1.Answer | None:
        self._write('run', request_id)
        if self._options.get('endless'):
            return await self._send_without_end(request_id, connection)
        body = compile_body(request_id, self._options.get('body_bytes', 800))
        headers = self._compile_headers(request_id)
        if self._options.get('framing') != 'none':
            await asyncio.sleep(self._options.get('work_ms', 45) / 1000)
            self._write('done', request_id)
            return http1.Answer(200, headers, body)
        await connection.send_head(200, headers)
        pieces = self._options.get('pieces', 10)
        size = -(-len(body) // pieces)
        for start in range(0, len(body), size):
            await connection.send_raw(body[start : start + size])
            await asyncio.sleep(self._options.get('work_ms', 45) / pieces / 1e3)
        self._write('done', request_id)
        return None

    async def _send_without_end(
        self, request_id: str, connection: http1.Connection
    ) -> None:
        """Send bytes that are no answer until the daemon closes."""
        headers = self._compile_headers(request_id)
        headers.append(('Transfer-Encoding', 'chunked'))
        await connection.send_head(200, headers)
        piece = bytes.fromhex(self._options['endless']) * 10000
        try:
            while True:
                await connection.send_raw(piece)
        except ConnectionError:
            self._write('closed', request_id)

    async def _generate(
        self,
        request: http1.Request,
        request_id: str,
        connection: http1.Connection,
    ) -> http1.Answer | None:
        is_prefill = request.headers.get('x-stage') == 'prefill'
        if self._is_switching:
            return self._refuse(503, request_id)
        if is_prefill and self._stage == 'prefill':
            await asyncio.sleep(self._options.get('prefill_ms', 40) / 1000)
            handle = os.urandom(6).hex()
            self._handles[handle] = request_id
            headers = [('X-Request-Id', request_id)]
            return http1.compile_json(
                200, {'handle': handle, 'tokens': 1460, 'version': 1}, *headers
            )
        if is_prefill or self._stage != 'decode':
            return self._refuse(421, request_id)
        self._running += 1
        try:
            return await self._stream(request, request_id, connection)
        finally:
            self._running -= 1

    async def _stream(
        self,
        request: http1.Request,
        request_id: str,
        connection: http1.Connection,
    ) -> http1.Answer | None:
        await asyncio.sleep(self._options.get('first_ms', 30) / 1000)
        parts = [
            item.partition(':')[0]
            for item in request.headers.get('x-prefix-hash', '').split(',')
        ]
        self._write('run', request_id, parts=len(parts))
        if self._options.get('crash_part') in parts[:-1]:
            self._write('crash', request_id)
            os.kill(os.getpid(), signal.SIGKILL)
        is_unframed = self._options.get('framing') == 'none'
        headers = self._compile_headers(request_id)
        headers.append(('Content-Type', 'text/event-stream'))
        if not is_unframed:
            headers.append(('Transfer-Encoding', 'chunked'))
        await connection.send_head(200, headers)
        after = int(request.headers.get('last-event-id', '0'))
        send = connection.send_raw if is_unframed else connection.send_chunk
        for number in range(after + 1, self._options.get('events', 5) + 1):
            await asyncio.sleep(self._options.get('gap_ms', 20) / 1000)
            await send(b'id: %d\ndata: %b\n\n' % (number, request_id.encode()))
        self._write('done', request_id)
        if is_unframed:
            return None
        await connection.send_chunk(b'')
        return None


def compile_body(request_id: str, size: int) -> bytes:
    """Return the bytes that an engine sends for a request, all of its own."""
    line = f'answer to {request_id}\n'.encode()
    return (line * (size // len(line) + 1))[:size]


if __name__ == '__main__':
    asyncio.run(Engine(json.loads(sys.argv[1])).run())
