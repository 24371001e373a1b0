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
from clementinedyke.http.socket_io import has_input

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
#: Number of checks for stalled writes in one write timeout.
_WRITE_CHECKS_PER_TIMEOUT = 4
#: Maximum number of error responses to excess connections in progress;
#: further connections are closed without a response.
_MAX_REFUSALS = 64
_REFUSED_RETRY_AFTER: Milliseconds = 1000
#: Longest time in which a drain takes over connections that wait.
_ACCEPT_SECONDS = 0.5


class HttpServer:
    """Serves HTTP connections with one request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ConnectionLimits | None = None,
        ssl_context: SSLContext | None = None,
    ) -> None:
        """Create a server.

        :param handler: coroutine that responds to one request.
        :param limits: size limits and timeouts; None for the defaults.
        :param ssl_context: enables TLS if given.
        """
        self._handler = handler
        self._limits = limits or ConnectionLimits()
        self._ssl_context = ssl_context
        self._connections: set[ServerConnection] = set()
        self._refusals = 0
        self._is_draining = False
        self._accept_scopes: list[trio.CancelScope] = []
        self._listeners: list[trio.SocketListener] = []
        self._drained = trio.Event()

    @property
    def connection_count(self) -> int:
        """Number of open connections, without those being rejected."""
        return len(self._connections)

    def count_connections(self, customer: str) -> int:
        """Return the number of open connections of a customer.

        :param customer: name that the handler set on the connections.
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

        :param host: IP address to bind.
        :param port: TCP port; 0 selects a free port.
        :param task_status: receives the bound port once the server listens.
        """
        listeners = await trio.open_tcp_listeners(port, host=host)
        self._listeners += listeners
        bound = int(listeners[0].socket.getsockname()[1])
        task_status.started(bound)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_stalled_connections)
            accept = partial(
                trio.serve_listeners,
                self.serve_stream,
                listeners,
                handler_nursery=nursery,
            )
            with trio.CancelScope() as scope:
                self._accept_scopes.append(scope)
                await accept()
            await self._drained.wait()
            nursery.cancel_scope.cancel()

    async def serve_stream(self, transport: trio.SocketStream) -> None:
        """Serve one connection until it ends.

        An unexpected exception closes this connection only. If it reached the
        nursery of the listener, it would end the daemon.

        :param transport: accepted connection.
        """
        try:
            await self._serve_connection(transport)
        except Exception:
            logging.exception('event=connection_failed')
            await trio.aclose_forcefully(transport)

    async def _serve_connection(self, transport: trio.SocketStream) -> None:
        connection = ServerConnection(
            self._wrap_stream(transport),
            self._limits,
            lambda: self._is_draining,
        )
        if len(self._connections) >= self._limits.max_connections:
            await self._refuse(connection, transport)
            return
        self._connections.add(connection)
        try:
            await connection.run(self._handler)
        finally:
            self._connections.discard(connection)
            self._signal_if_drained()

    async def drain(self) -> None:
        """Stop accepting, finish running requests and close connections.

        Idle connections are closed at once. Responses that start from now on
        have ``Connection: close``. Returns when no connection is left and has
        no timeout of its own.
        """
        # The kernel resets connections that it has accepted for a listener
        # that is closed before it has taken them over.
        with trio.move_on_after(_ACCEPT_SECONDS):
            while any(map(has_input, self._listeners)):
                await trio.lowlevel.checkpoint()
        self._is_draining = True
        for scope in self._accept_scopes:
            scope.cancel()
        for connection in tuple(self._connections):
            connection.close_if_idle()
        self._signal_if_drained()
        await self._drained.wait()

    def _wrap_stream(self, transport: trio.SocketStream) -> trio.abc.Stream:
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

    def _signal_if_drained(self) -> None:
        if self._is_draining and not self._connections:
            self._drained.set()

    async def _close_stalled_connections(self) -> None:
        interval = self._limits.write_timeout / _WRITE_CHECKS_PER_TIMEOUT
        while True:
            await trio.sleep(interval / _MILLISECONDS_PER_SECOND)
            now = trio.current_time()
            for connection in tuple(self._connections):
                connection.close_if_stalled(now)
