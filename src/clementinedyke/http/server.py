"""HTTP/1.1 server on trio and h11."""

from functools import partial
from ssl import SSLContext

import trio
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.http.connection import ServerConnection
from clementinedyke.http.message import (
    ConnectionInfo,
    ConnectionLimits,
    RequestError,
    RequestHandler,
    ResponseWriter,
    ServerRequest,
    compile_error_body,
    compile_result_headers,
    create_request_id,
    write_error,
)

__all__ = (
    'ConnectionInfo',
    'ConnectionLimits',
    'HttpServer',
    'RequestError',
    'RequestHandler',
    'ResponseWriter',
    'ServerRequest',
    'compile_error_body',
    'compile_result_headers',
    'create_request_id',
    'write_error',
)

_MILLISECONDS_PER_SECOND = 1000
#: The check for stuck writes runs so often within one write timeout.
_CHECKS_PER_TIMEOUT = 4
#: Refusals in progress; connections beyond are closed without an answer.
_MAX_REFUSALS = 64
_REFUSED_RETRY_AFTER: Milliseconds = 1000


class HttpServer:
    """Serves connections with one request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ConnectionLimits | None = None,
        ssl_context: SSLContext | None = None,
    ) -> None:
        """Create a server.

        :param handler: coroutine that answers a request.
        :param limits: limits of the connections.
        :param ssl_context: serves TLS when given.
        """
        self._handler = handler
        self._limits = limits or ConnectionLimits()
        self._ssl_context = ssl_context
        self._connections: set[ServerConnection] = set()
        self._refusals = 0
        self._is_draining = False
        self._accept_scopes: list[trio.CancelScope] = []
        self._became_empty = trio.Event()

    @property
    def connection_count(self) -> int:
        """Number of connections that are served."""
        return len(self._connections)

    def count_connections(self, customer: str) -> int:
        """Return the number of connections that a customer holds.

        :param customer: name that the handler noted on the connections.
        """
        return sum(
            connection.customer == customer for connection in self._connections
        )

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled or drained.

        :param host: IP number to bind.
        :param port: TCP port, 0 for a free one.
        :param task_status: started with the port that was bound.
        """
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = int(listeners[0].socket.getsockname()[1])
        task_status.started(bound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_writes)
            accept = partial(
                trio.serve_listeners,
                self.serve_stream,
                listeners,
                handler_nursery=nursery,
            )
            with trio.CancelScope() as scope:
                self._accept_scopes.append(scope)
                await accept()
            await self._became_empty.wait()
            nursery.cancel_scope.cancel()

    async def serve_stream(self, transport: trio.SocketStream) -> None:
        """Serve one connection until it ends.

        A fault in the code of a connection ends that connection only; in the
        nursery of the listener it would end the daemon.

        :param transport: accepted connection.
        """
        try:
            await self._serve_connection(transport)
        except Exception:
            logging.exception('event=connection_failed')
            await trio.aclose_forcefully(transport)

    async def _serve_connection(self, transport: trio.SocketStream) -> None:
        connection = ServerConnection(
            self._wrap(transport), self._limits, lambda: self._is_draining
        )
        if len(self._connections) >= self._limits.max_connections:
            await self._refuse(connection, transport)
            return
        self._connections.add(connection)
        try:
            await connection.run(self._handler)
        finally:
            self._connections.discard(connection)
            self._note_if_empty()

    async def drain(self) -> None:
        """Stop accepting, finish running requests and close connections.

        Idle connections are closed at once; each running response says
        ``Connection: close``. Returns when no connection is left; the caller
        bounds the time.
        """
        self._is_draining = True
        for scope in self._accept_scopes:
            scope.cancel()
        for connection in tuple(self._connections):
            connection.close_if_idle()
        self._note_if_empty()
        await self._became_empty.wait()

    def _wrap(self, transport: trio.SocketStream) -> trio.abc.Stream:
        if self._ssl_context is None:
            return transport
        return trio.SSLStream(
            transport,
            self._ssl_context,
            server_side=True,
            https_compatible=True,
        )

    async def _refuse(
        self, connection: ServerConnection, transport: trio.SocketStream
    ) -> None:
        if self._refusals >= _MAX_REFUSALS:
            await trio.aclose_forcefully(transport)
            return
        self._refusals += 1
        error = RequestError(
            ResultCode.CONNECTION_LIMIT,
            f'more than {self._limits.max_connections} connections',
            retry_after=_REFUSED_RETRY_AFTER,
        )
        try:
            await connection.refuse(error)
        finally:
            self._refusals -= 1

    def _note_if_empty(self) -> None:
        if self._is_draining and not self._connections:
            self._became_empty.set()

    async def _check_writes(self) -> None:
        interval = self._limits.write_timeout / _CHECKS_PER_TIMEOUT
        while True:
            await trio.sleep(interval / _MILLISECONDS_PER_SECOND)
            now = trio.current_time()
            for connection in tuple(self._connections):
                connection.close_if_stalled(now)
