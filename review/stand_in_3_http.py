"""Small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import contextlib
import time


class Request:
    """A request whose body has arrived."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    """Return the first line and the headers, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, content = line.partition(':')
        if colon:
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if headers.get('transfer-encoding') == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', '0')))


def compile_answer(status, headers, body):
    """Return a whole answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {content}' for name, content in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Server:
    """Serves a handler; ``stop`` closes the port and all connections."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.host = ''
        self.port = 0

    async def start(self, host='127.0.0.1', port=0):
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True
        )
        self.host = host
        self.port = self._server.sockets[0].getsockname()[1]
        return self.port

    async def stop(self):
        """End like a process that is killed."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for task in tuple(self._tasks):
            task.cancel()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve_requests(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _serve_requests(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(' ', 2)
            body = await read_body(reader, head[1])
            await self._handle(Request(method, target, head[1], body), writer)
            await writer.drain()


class Answer:
    """Status, headers and body of an answer.

    ``is_complete`` is false if the connection ended before the answer did.
    """

    def __init__(self, status, headers, body, is_complete, took):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete
        self.took = took


async def call(host, port, method, target, headers, body=b'', timeout=10.0):
    """Send a request over a new connection; None if nothing was answered."""
    started = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {content}' for name, content in headers]
            lines += [f'Content-Length: {len(body)}', '', '']
            writer.write('\r\n'.join(lines).encode('latin-1') + body)
            return await _receive(reader, started)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def _receive(reader, started):
    head = await read_head(reader)
    if head is None:
        return None
    status = int(head[0].split(' ')[1])
    parts = []
    is_complete = True
    try:
        if head[1].get('transfer-encoding') == 'chunked':
            async for part in _read_chunks(reader):
                parts.append(part)
        else:
            parts.append(await read_body(reader, head[1]))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        is_complete = False
    took = time.monotonic() - started
    return Answer(status, head[1], b''.join(parts), is_complete, took)


async def _read_chunks(reader):
    while True:
        line = await reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b'', None)
        size = int(line.split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return
        yield part[:-2]
