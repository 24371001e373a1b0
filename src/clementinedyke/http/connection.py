"""Serves the requests of one HTTP connection and detects its closing."""

import socket
from collections.abc import Callable

import h11
import trio
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.http.memory import ConnectionMemory
from clementinedyke.http.message import (
    ConnectionInfo,
    ConnectionLimits,
    RequestError,
    RequestHandler,
    ResponseWriter,
    ServerRequest,
    create_shortage_error,
    write_error,
)
from clementinedyke.http.reader import RequestReader
from clementinedyke.http.socket_io import (
    get_transport,
    has_input,
    receive_some,
    send_all,
    set_reset_on_close,
)

_READ_SIZE = 65536
_MILLISECONDS_PER_SECOND = 1000
#: Maximum time for rejecting a connection, and for reading the caller's
#: remaining bytes before the socket is closed.
_LINGER_SECONDS = 1
_CLOSE_POLL_SECONDS = 0.25
#: States CLOSE and CLOSE_WAIT of the kernel's struct tcp_info.
_CLOSED_STATES = frozenset((7, 8))
_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class ServerConnection:
    """Serves the requests of one connection in order."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        limits: ConnectionLimits,
        is_draining: Callable[[], bool],
        memory: ConnectionMemory,
        turns: trio.Lock,
    ) -> None:
        """Create the connection.

        :param stream: accepted connection, wrapped in TLS if enabled.
        :param limits: size limits and timeouts of the server.
        :param is_draining: returns whether the server is draining.
        :param memory: memory of the connection.
        :param turns: held by the connection of the server that parses many
            chunks.
        """
        self._stream = stream
        self._limits = limits
        self._is_draining = is_draining
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._memory = memory
        memory.evict = self._drop_request
        self._connection_info = ConnectionInfo(memory)
        self._reader = RequestReader(
            self._protocol,
            stream,
            limits,
            self._send,
            self._connection_info,
            turns,
        )
        self._scope = trio.CancelScope()
        #: Scope of the handler while a request is handled.
        self._handler_scope: trio.CancelScope | None = None
        self._sending_since: float | None = None
        self._is_refused = False
        self._is_disconnected = False
        self._is_aborted = False

    @property
    def customer(self) -> str | None:
        """Customer that a handler set last, None if none was set."""
        return self._connection_info.customer

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for the next request."""
        return self._handler_scope is None and self._reader.is_idle

    @property
    def waiting_since(self) -> float | None:
        """Time since when the rest of a request is awaited, in trio time."""
        return self._reader.waiting_since

    def give_way(self, error: RequestError) -> None:
        """Close the connection, which waits for bytes of its caller.

        :param error: sent if a request has begun to arrive.
        """
        if self._reader.is_idle:
            self._reader.stop_waiting()
        else:
            self._reader.reject(error)

    def abort(self) -> None:
        """Close the connection without a response."""
        self._is_aborted = True
        self._scope.cancel()

    async def run(self, handler: RequestHandler) -> None:
        """Serve requests until the connection ends.

        :param handler: coroutine that responds to one request.
        """
        with self._scope:
            try:
                await self._serve(handler)
            except _CONNECTION_ERRORS:
                logging.debug('event=connection_lost')
            finally:
                await self._close()

    async def refuse(self, error: RequestError) -> None:
        """Send an error response and close the connection.

        :param error: reason for not serving the connection.
        """
        with trio.move_on_after(_LINGER_SECONDS):
            try:
                await self._refuse(error)
            except _CONNECTION_ERRORS:
                logging.debug('event=connection_lost')
        await self._close()

    def close_if_idle(self) -> None:
        """Close the connection if it is waiting for the next request.

        A request that has arrived and was not read yet is served.
        """
        if not has_input(get_transport(self._stream)):
            self._reader.stop_waiting()

    def close_if_stalled(self, now: float) -> None:
        """Close the connection if a write exceeds the write timeout.

        :param now: trio time in seconds.
        """
        started = self._sending_since
        if started is None:
            return
        if now - started > _to_seconds(self._limits.write_timeout):
            self._scope.cancel()

    async def _serve(self, handler: RequestHandler) -> None:
        is_reusable = True
        while is_reusable:
            try:
                request = await self._reader.receive_request()
            except RequestError as error:
                self._memory.end_request()
                await self._refuse(error)
                return
            if request is None:
                return
            await self._respond(handler, request)
            is_reusable = self._start_next_cycle()

    async def _respond(
        self, handler: RequestHandler, request: ServerRequest
    ) -> None:
        response = self._create_writer()
        async with trio.open_nursery() as nursery:
            self._handler_scope = nursery.cancel_scope
            nursery.start_soon(self._watch_for_disconnect, nursery.cancel_scope)
            await self._run_handler(handler, request, response)
            nursery.cancel_scope.cancel()
        self._handler_scope = None
        if self._memory.is_evicted and not response.is_started:
            await self._refuse(_create_eviction_error())

    async def _run_handler(
        self,
        handler: RequestHandler,
        request: ServerRequest,
        response: ResponseWriter,
    ) -> None:
        try:
            await handler(request, response)
        except _CONNECTION_ERRORS:
            logging.debug('event=connection_lost')
        except RequestError as error:
            if not response.is_started:
                await self._refuse(error)
        except Exception:
            logging.exception('event=handler_failed path=%s', request.path)
            if not response.is_started:
                failure = RequestError(
                    ResultCode.INTERNAL_ERROR, 'the request failed'
                )
                await self._refuse(failure)

    async def _watch_for_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes the connection.

        Reads ahead so that a close after a pipelined request is detected.
        Once ``max_pipelined_bytes`` are buffered, reading stops and the state
        of the socket is polled instead.
        """
        while self._reader.buffered < self._limits.max_pipelined_bytes:
            received = await _receive_or_close(self._stream)
            if not received:
                self._is_disconnected = True
                scope.cancel()
                return
            self._reader.add(received)
        while not _is_closed_by_peer(self._stream):
            await trio.sleep(_CLOSE_POLL_SECONDS)
        self._is_disconnected = True
        scope.cancel()

    def _drop_request(self) -> None:
        """Give up a request that was evicted from memory."""
        if self._handler_scope is None:
            self._reader.reject(_create_eviction_error())
        else:
            self._handler_scope.cancel()

    def _start_next_cycle(self) -> bool:
        self._memory.end_request()
        if self._is_disconnected or self._is_refused or self._is_draining():
            return False
        if self._memory.is_evicted:
            return False
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def _refuse(self, error: RequestError) -> None:
        self._is_refused = True
        if self._protocol.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            await write_error(self._create_writer(), error)

    def _create_writer(self) -> ResponseWriter:
        return ResponseWriter(
            self._protocol,
            self._send,
            self._is_last_response,
        )

    def _is_last_response(self) -> bool:
        if self._is_refused or self._connection_info.must_close:
            return True
        return self._is_draining()

    async def _send(self, payload: bytes) -> None:
        self._sending_since = trio.current_time()
        await send_all(self._stream, payload)
        self._sending_since = None

    async def _close(self) -> None:
        """Close the connection, with a reset after an incomplete response.

        After a regular close, a caller that reads until the end of the
        connection would treat an incomplete response as complete.
        """
        transport = get_transport(self._stream)
        is_broken = self._protocol.our_state in {h11.SEND_BODY, h11.ERROR}
        try:
            if is_broken or self._sending_since is not None:
                set_reset_on_close(transport)
            elif not (self._is_disconnected or self._is_aborted):
                await _linger(transport, self._limits.max_body_bytes)
        finally:
            self._memory.close()
            await trio.aclose_forcefully(self._stream)


def _create_eviction_error() -> RequestError:
    return create_shortage_error('other requests need the memory')


async def _linger(transport: trio.SocketStream, max_bytes: int) -> None:
    """Read remaining bytes from the caller before the socket is closed.

    If the socket is closed with unread bytes, the kernel resets the
    connection and the caller may lose a response that it has not read yet.
    """
    remaining = max_bytes
    with trio.move_on_after(_LINGER_SECONDS):
        try:
            await transport.send_eof()
        except _CONNECTION_ERRORS:
            return
        while remaining > 0:
            received = await _receive_or_close(transport)
            remaining -= len(received) or remaining


async def _receive_or_close(stream: trio.abc.Stream) -> bytes:
    try:
        return await receive_some(stream, _READ_SIZE)
    except _CONNECTION_ERRORS:
        return b''


def _is_closed_by_peer(stream: trio.abc.Stream) -> bool:
    transport = get_transport(stream)
    state = transport.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return bytes(state)[0] in _CLOSED_STATES


def _to_seconds(duration: Milliseconds) -> float:
    return duration / _MILLISECONDS_PER_SECOND
