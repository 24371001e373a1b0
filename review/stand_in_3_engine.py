"""Stand-in of a back end that registers in the store."""

import asyncio
import contextlib
import secrets
import time

from stand_in_3_http import Server, compile_answer

HEARTBEAT = 1.2


class Engine:
    """Plain or streaming back end.

    ``runs`` has a tuple (seconds, id) for each request that it began to run.
    """

    def __init__(self, record, engine_id, service, zone, version='v1'):
        self._record = record
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.version = version
        self.state = 'ready'
        self.work = 0.045
        self.events = 0
        self.gap = 0.1
        self.slots = 6
        #: Requests that wait for a slot before others are turned away.
        self.queue = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []
        #: Requests that have ended.
        self.ended = 0
        self.sequence = 0
        self.is_registered = True
        self._server = Server(self._respond)
        self._beats = None
        self._store = None
        self._port = 0
        self._waiting = 0
        self._has_slot = asyncio.Condition()

    @property
    def address(self):
        return f'127.0.0.1:{self._port}'

    async def start(self, store):
        self._store = store
        self._port = await self._server.start('127.0.0.1', self._port)
        self.beat()
        self._beats = asyncio.create_task(self._run_beats())

    async def stop(self):
        """End like a process that is killed."""
        if self._beats is not None:
            self._beats.cancel()
        self.running = 0
        await self._server.stop()

    async def restart(self, version):
        """Start again under the same id and at the same address."""
        self.born = int(time.time() * 1000)
        self.version = version
        self.sequence = 0
        self._server = Server(self._respond)
        await self.start(self._store)
        self._record(f'engine {self.engine_id} starts again version={version}')

    def beat(self):
        """Write the entry; it is not written while the store is away."""
        self.sequence += 1
        return self._store.put(
            'servers',
            self.engine_id,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'cold_remaining_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    async def _run_beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            is_written = self.is_registered and self.beat()
            self._record(f'beat {self.engine_id} {self.state} {is_written}')

    async def _respond(self, request, writer):
        request_id = request.get('x-request-id') or ''
        headers = [('X-Request-Id', request_id)]
        if self.state == 'draining':
            headers.append(('Server-Leaving', '1'))
        expected = request.get('x-expect-instance')
        if expected not in {None, self.engine_id}:
            headers.append(('X-Instance-Id', self.engine_id))
            writer.write(compile_answer(421, headers, b''))
            return
        headers.append(
            (
                'X-Instance-Load',
                f'{self.running},{self._waiting},{self.slots}',
            )
        )
        if self.running >= self.slots:
            if self._waiting >= self.queue:
                headers.append(('X-Not-Executed', '1'))
                writer.write(compile_answer(503, headers, b''))
                return
            await self._wait_for_slot()
        self.running += 1
        self.runs.append((time.monotonic(), request_id))
        self._record(
            f'engine {self.engine_id} {self.version} runs {request_id} '
            f'state={self.state} from={request.get("last-event-id")}'
        )
        headers.append(('X-Server-Signature', secrets.token_hex(8)))
        try:
            if self.events:
                await self._stream(request, writer, headers)
                return
            await asyncio.sleep(self.work)
            writer.write(compile_answer(200, headers, b'done'))
        finally:
            self.running -= 1
            self.ended += 1
            async with self._has_slot:
                self._has_slot.notify()

    async def _wait_for_slot(self):
        self._waiting += 1
        try:
            async with self._has_slot:
                while self.running >= self.slots:
                    await self._has_slot.wait()
        finally:
            self._waiting -= 1

    async def _stream(self, request, writer, headers):
        after = int(request.get('last-event-id') or 0)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {content}' for name, content in headers]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap)
            event = f'id: {number}\ndata: {self.version} {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            if writer.transport.is_closing():
                return
        writer.write(b'0\r\n\r\n')
