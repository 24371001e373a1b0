"""Small HTTP/1.1 server and client for stand-ins, on asyncio."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request with its complete body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def path(self) -> str:
        """Target without the query."""
        return self.target.partition('?')[0]


@dataclass
class Answer:
    """A response that is written whole."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b''
    must_close: bool = False


def compile_json(
    status: int, document: object, *headers: tuple[str, str]
) -> Answer:
    """Return an answer with a JSON document."""
    kind = ('Content-Type', 'application/json')
    return Answer(status, [kind, *headers], json.dumps(document).encode())


class Connection:
    """A connection on which a stand-in serves requests in order."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wrap the streams of an accepted connection."""
        self.reader = reader
        self.writer = writer

    async def send_head(
        self, status: int, headers: list[tuple[str, str]]
    ) -> None:
        """Write a status line and headers without any framing of its own."""
        lines = [f'HTTP/1.1 {status} X']
        lines += [f'{name}: {text}' for name, text in headers]
        self.writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1'))
        await self.writer.drain()

    async def send(self, answer: Answer) -> None:
        """Write an answer with Content-Length."""
        lines = [f'HTTP/1.1 {answer.status} X']
        lines += [f'{name}: {text}' for name, text in answer.headers]
        lines.append(f'Content-Length: {len(answer.body)}')
        if answer.must_close:
            lines.append('Connection: close')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.writer.write(head.encode('latin-1') + answer.body)
        await self.writer.drain()

    async def send_chunk(self, payload: bytes) -> None:
        """Write a chunk of a chunked body; an empty one ends it."""
        self.writer.write(b'%x\r\n%b\r\n' % (len(payload), payload))
        await self.writer.drain()

    async def send_raw(self, payload: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(payload)
        await self.writer.drain()


#: Returns an answer to send, or None if it has written one itself and the
#: connection ends.
Handler = Callable[[Request, Connection], Awaitable[Answer | None]]


async def read_head(reader: asyncio.StreamReader) -> list[str] | None:
    """Return the lines of a head, None if the connection ended before it."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head.decode('latin-1').split('\r\n')[:-2]


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return headers by name in lower case."""
    pairs = (line.partition(':') for line in lines)
    return {name.strip().lower(): text.strip() for name, _, text in pairs}


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return the body of a request."""
    if headers.get('transfer-encoding') == 'chunked':
        parts = []
        while True:
            line = await reader.readline()
            size = int(line.split(b';')[0], 16)
            payload = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(payload[:-2])
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def serve(
    handler: Handler, host: str = '127.0.0.1', port: int = 0
) -> tuple[asyncio.Server, int]:
    """Serve on a loopback address; return the server and the bound port."""

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        try:
            while await _serve_one(handler, connection):
                continue
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


async def _serve_one(handler: Handler, connection: Connection) -> bool:
    lines = await read_head(connection.reader)
    if lines is None:
        return False
    method, target, _ = lines[0].split(' ', 2)
    headers = parse_headers(lines[1:])
    body = await read_body(connection.reader, headers)
    answer = await handler(Request(method, target, headers, body), connection)
    if answer is None:
        return False
    await connection.send(answer)
    return not answer.must_close


def compile_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body or method in {'POST', 'PUT'}:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


@dataclass
class Received:
    """What a client got as an answer.

    ``is_whole`` is whether the answer came with its end as its framing tells.
    ``status`` is 0 if no head came.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False


async def read_answer(reader: asyncio.StreamReader, received: Received) -> None:
    """Read an answer into ``received``; what came stays there if it ends."""
    lines = await read_head(reader)
    if lines is None:
        return
    received.status = int(lines[0].split(' ')[1])
    received.headers = parse_headers(lines[1:])
    try:
        await _read_answer_body(reader, received)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return


async def _read_answer_body(
    reader: asyncio.StreamReader, received: Received
) -> None:
    headers = received.headers
    if headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            payload = await reader.readexactly(size + 2)
            if not size:
                received.is_whole = True
                return
            received.body += payload[:-2]
    left = int(headers['content-length']) if 'content-length' in headers else -1
    while left:
        part = await reader.read(65536 if left < 0 else min(left, 65536))
        if not part:
            received.is_whole = left < 0
            return
        received.body += part
        left -= len(part) if left > 0 else 0
    received.is_whole = True


async def call(
    host: str,
    port: int,
    request: bytes,
    timeout: float,
) -> Received:
    """Send a request on a new connection and return what came as answer."""
    received = Received()
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(request)
                await read_answer(reader, received)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return received
    return received


def find_free_port(host: str) -> int:
    """Return a port that is free for TCP and UDP at a loopback address."""
    while True:
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port
