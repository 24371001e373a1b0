"""HTTP/1.1 server on trio and h11."""

import math
from collections import Counter
from functools import partial
from ssl import SSLContext

import trio
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.http.connection import ServerConnection
from clementinedyke.http.memory import MemoryAccount
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
#: If all connections are of one address, such as a load balancer's, one gives
#: way that has waited this long for the rest of a request. A request of 100 KB
#: takes 0.2 s on the narrowest link.
_MIN_WAIT_SECONDS = 2


class HttpServer:
    """Serves HTTP connections with one request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: ConnectionLimits | None = None,
        ssl_context: SSLContext | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create a server.

        :param handler: coroutine that responds to one request.
        :param limits: size limits and timeouts; None for the defaults.
        :param ssl_context: enables TLS if given.
        :param memory: account of the process; None for one of the server's
            own.
        """
        self._memory = memory or MemoryAccount()
        self._turns = trio.Lock()
        #: Open connections by the address of their caller.
        self._addresses: Counter[str] = Counter()
        self._handler = handler
        self._limits = limits or ConnectionLimits()
        self._ssl_context = ssl_context
        #: Open connections with the addresses of their callers.
        self._connections: dict[ServerConnection, str] = {}
        #: Connections that were closed in favour of others.
        self._closing: set[ServerConnection] = set()
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
        address = _get_address(transport)
        memory = self._memory.open_connection(address)
        connection = ServerConnection(
            self._wrap_stream(transport),
            self._limits,
            lambda: self._is_draining,
            memory,
            self._turns,
        )
        is_full = len(self._connections) >= self._limits.max_connections
        if is_full and not self._make_room(address):
            await self._refuse(connection, transport)
            memory.close()
            return
        self._connections[connection] = address
        self._addresses[address] += 1
        try:
            await connection.run(self._handler)
        finally:
            self._discard(connection)
            self._signal_if_drained()

    def _make_room(self, address: str) -> bool:
        """Close a connection in favour of a new one of an address."""
        connection = self._select_connection(address)
        if connection is None:
            return False
        self._discard(connection)
        if len(self._closing) >= _MAX_REFUSALS:
            connection.abort()
        else:
            connection.give_way(self._create_limit_error())
        self._closing.add(connection)
        return True

    def _select_connection(self, address: str) -> ServerConnection | None:
        """Return the connection that gives way, None if none does.

        The address that has most connections gives way to one that has fewer.
        """
        busiest, most = max(self._addresses.items(), key=lambda entry: entry[1])
        if self._addresses[address] < most:
            waiting = self._list_waiting(busiest, math.inf)
            candidates = waiting or self._list_idle(busiest)
        else:
            latest = trio.current_time() - _MIN_WAIT_SECONDS
            candidates = self._list_waiting(address, latest)
        return min(candidates, key=_get_wait_start, default=None)

    def _list_waiting(
        self, address: str, latest: float
    ) -> list[ServerConnection]:
        """Return connections that have waited since before a time."""
        return [
            connection
            for connection, other in self._connections.items()
            if other == address
            and connection.waiting_since is not None
            and connection.waiting_since < latest
        ]

    def _list_idle(self, address: str) -> list[ServerConnection]:
        return [
            connection
            for connection, other in self._connections.items()
            if other == address and connection.is_idle
        ]

    def _discard(self, connection: ServerConnection) -> None:
        """Stop counting a connection, unless that was done before."""
        self._closing.discard(connection)
        address = self._connections.pop(connection, None)
        if address is None:
            return
        self._addresses[address] -= 1
        if not self._addresses[address]:
            self._addresses.pop(address)

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
        try:
            await connection.refuse(self._create_limit_error())
        finally:
            self._refusals -= 1

    def _create_limit_error(self) -> RequestError:
        return RequestError(
            ResultCode.CONNECTION_LIMIT,
            f'more than {self._limits.max_connections} connections',
            retry_after=_REFUSED_RETRY_AFTER,
        )

    def _signal_if_drained(self) -> None:
        if self._is_draining and not self._connections:
            self._drained.set()

    async def _close_stalled_connections(self) -> None:
        interval = self._limits.write_timeout / _WRITE_CHECKS_PER_TIMEOUT
        while True:
            await trio.sleep(interval / _MILLISECONDS_PER_SECOND)
            now = trio.current_time()
            for connection in (*self._connections, *self._closing):
                connection.close_if_stalled(now)


def _get_address(transport: trio.SocketStream) -> str:
    """Return the IP address of a caller, empty if it has left."""
    try:
        return str(transport.socket.getpeername()[0])
    except OSError:
        return ''


def _get_wait_start(connection: ServerConnection) -> float:
    return connection.waiting_since or 0
