"""HTTP server and raw connections for tests of the server and relay."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from ssl import SSLContext

import trio

from clementinedyke.http.server import (
    ConnectionLimits,
    HttpServer,
    ResponseWriter,
    ServerRequest,
)

HOST = '127.0.0.1'
GET = b'GET /%b HTTP/1.1\r\nHost: x\r\n\r\n'


@dataclass
class ServedPort:
    """A running server and its port."""

    server: HttpServer
    port: int
    nursery: trio.Nursery

    async def connect(self) -> trio.SocketStream:
        """Open a connection to the server."""
        return await trio.open_tcp_stream(HOST, self.port)

    async def send(self, payload: bytes) -> bytes:
        """Send bytes on a new connection and read until it closes."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(payload)
            return await read_until_closed(stream)

    async def wait_until_empty(self) -> None:
        """Wait until the server has no open connection."""
        with trio.fail_after(10):
            while self.server.connection_count:
                await trio.sleep(0.01)


async def read_until_closed(stream: trio.SocketStream) -> bytes:
    """Return all bytes until the connection ends.

    ``RESET`` is appended if the peer resets the connection.
    """
    parts: list[bytes] = []
    try:
        async for part in stream:
            parts.append(bytes(part))
    except trio.BrokenResourceError:
        parts.append(b'RESET')
    return b''.join(parts)


@asynccontextmanager
async def serve(
    handler: Callable[[ServerRequest, ResponseWriter], Awaitable[None]],
    limits: ConnectionLimits | None = None,
    ssl_context: SSLContext | None = None,
) -> AsyncIterator[ServedPort]:
    """Run a server on a free port while the context is open."""
    server = HttpServer(handler, limits, ssl_context)
    async with trio.open_nursery() as nursery:
        start = partial(server.serve, HOST, 0)
        port = await nursery.start(start)
        yield ServedPort(server, port, nursery)
        nursery.cancel_scope.cancel()


async def echo_path(request: ServerRequest, response: ResponseWriter) -> None:
    """Respond with the path and the length of the request body."""
    body = f'{request.path} {len(request.body)};'.encode()
    await response.send_response(200, [], body)
