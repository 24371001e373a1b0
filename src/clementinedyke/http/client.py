"""HTTP/1.1 client on trio and h11 with a pool of connections to one address."""

import math
import re
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from ssl import SSLContext
from types import TracebackType

import h11
import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.exceptions import (
    AnswerLostError,
    ConnectionDroppedError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.idle_time_limit import IdleTimeLimit
from clementinedyke.http.socket_io import read_nowait, receive_some, send_all

#: Header names and values as they stand on the wire.
Headers = Sequence[tuple[bytes, bytes]]

_READ_SIZE = 65536
MAX_IDLE_CONNECTIONS = 64
_MILLISECONDS_PER_SECOND = 1000
DEFAULT_CONNECT_TIMEOUT: Milliseconds = 1000
#: A peer that has dropped a connection resets it as soon as something is sent;
#: a reset that comes later ends work that was going on.
_DROP_TIME: Milliseconds = 100
#: A kept connection is given up so long before its peer would close it.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')
_LOST = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@dataclass(frozen=True, slots=True)
class Address:
    """IP number and TCP port of a peer."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Return the address written as ``IP:PORT``.

        :param text: for example ``127.0.0.1:8080``.
        :raises ValueError: if the text has no port number.
        """
        host, _, port = text.rpartition(':')
        if not host or not port.isdigit():
            raise ValueError(f'address {text!r} is not of the form IP:PORT')
        return cls(host=host, port=int(port))

    def __str__(self) -> str:
        """Return the address as ``IP:PORT``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its whole body."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its whole body."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class _Connection:
    stream: trio.abc.Stream
    protocol: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT)
    )
    is_ended: bool = False
    #: trio time in seconds after which the peer may close it while idle.
    usable_until: float = math.inf
    #: trio time in seconds at which its last response ended.
    rested_since: float = math.inf
    #: How long it rested before its present request, None for the first one.
    idle_time: Milliseconds | None = None

    async def receive_event(self) -> h11.Event:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._fill()

    async def receive_data(self) -> list[bytes]:
        """Return all body chunks received so far, at least one.

        An empty list is the end of the body.
        """
        parts = [] if self.is_ended else self._take_data()
        while not parts and not self.is_ended:
            await self._fill()
            parts = self._take_data()
        return parts

    async def send(self, request: HttpRequest, authority: str) -> None:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=_compile_headers(request, authority),
        )
        parts = [self.protocol.send(head)]
        if request.body:
            parts.append(self.protocol.send(h11.Data(data=request.body)))
        parts.append(self.protocol.send(h11.EndOfMessage()))
        self.is_ended = False
        payload = b''.join(part or b'' for part in parts)
        await send_all(self.stream, payload)

    def _take_data(self) -> list[bytes]:
        parts: list[bytes] = []
        while True:
            event = self.protocol.next_event()
            if isinstance(event, h11.Data):
                parts.append(event.data)
                continue
            self.is_ended = isinstance(event, h11.EndOfMessage)
            if isinstance(event, h11.ConnectionClosed) and not parts:
                raise trio.BrokenResourceError('closed in a response')
            return parts

    async def _fill(self) -> None:
        received = await receive_some(self.stream, _READ_SIZE)
        self.protocol.receive_data(received)


class ResponseStream:
    """A response whose head has arrived and whose body is still read."""

    def __init__(self, head: h11.Response, connection: _Connection) -> None:
        """Create the stream; called by :class:`HttpClient` only."""
        self._head = head
        self._connection = connection
        #: Number of body chunks received so far, as the peer sent them.
        self.chunk_count = 0

    @property
    def status(self) -> int:
        """HTTP status code."""
        return int(self._head.status_code)

    @property
    def headers(self) -> Headers:
        """Header names in lower case and their values."""
        return list(self._head.headers)

    async def receive_available(self) -> bytes:
        """Return all body bytes that have arrived; empty at the end.

        Waits for at least one byte. Chunks that are already received come as
        one value, so that a relay writes them at once.

        :raises AnswerLostError: if the connection breaks before the end.
        """
        try:
            parts = await self._connection.receive_data()
        except _LOST as error:
            raise AnswerLostError(f'connection lost: {error}') from error
        self.chunk_count += len(parts)
        return b''.join(parts)

    async def receive_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in parts as they arrive.

        :raises AnswerLostError: if the connection breaks before the end.
        """
        while True:
            received = await self.receive_available()
            if not received:
                return
            yield received

    async def receive_body(self) -> bytes:
        """Return the rest of the body.

        :raises AnswerLostError: if the connection breaks before the end.
        """
        parts = [chunk async for chunk in self.receive_chunks()]
        return b''.join(parts)


class HttpClient:
    """Client of one address; several requests may run at the same time."""

    def __init__(
        self,
        address: Address,
        ssl_context: SSLContext | None = None,
        connect_timeout: Milliseconds = DEFAULT_CONNECT_TIMEOUT,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        idle_limit: IdleTimeLimit | None = None,
    ) -> None:
        """Create a client; no connection is opened yet.

        :param address: peer to connect to.
        :param ssl_context: uses TLS when given.
        :param connect_timeout: longest wait for a connection in milliseconds.
        :param max_idle: connections that are kept for later requests.
        :param rest: bounds how long kept connections rest; None for a limit
            of this client's own.
        """
        self._max_idle = max_idle
        self._rest = idle_limit or IdleTimeLimit()
        self._address = address
        self._ssl_context = ssl_context
        self._connect_timeout = connect_timeout
        self._idle: list[_Connection] = []

    @property
    def address(self) -> Address:
        """Address of the peer."""
        return self._address

    @property
    def has_idle(self) -> bool:
        """Whether a connection waits for the next request."""
        return bool(self._idle)

    async def __aenter__(self) -> 'HttpClient':
        """Return the client itself."""
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all idle connections."""
        await self.close()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop().stream)

    @asynccontextmanager
    async def open_response(
        self, request: HttpRequest
    ) -> AsyncIterator[ResponseStream]:
        """Send a request and give its response as a stream.

        The connection is kept for later requests if the body was read to its
        end, and closed otherwise.

        :param request: request with its whole body.
        :raises PeerUnavailableError: if no connection could be opened, so that
            nothing was sent.
        :raises AnswerLostError: if the connection broke after sending began.
        :raises ConnectionDroppedError: if the peer seems to have dropped the
            connection before.
        """
        connection = await self._take_connection()
        try:
            yield await self._exchange_kept(connection, request)
        finally:
            await self._put_back(connection)

    async def request(
        self, request: HttpRequest, timeout: Milliseconds
    ) -> HttpResponse:
        """Send a request and return the whole response.

        :param request: request with its whole body.
        :param timeout: longest time for the whole exchange, in milliseconds.
        :raises PeerUnavailableError: if nothing was sent.
        :raises AnswerLostError: if no whole response arrived in time.
        """
        with trio.move_on_after(timeout / _MILLISECONDS_PER_SECOND):
            async with self.open_response(request) as response:
                body = await response.receive_body()
                return HttpResponse(response.status, response.headers, body)
        raise AnswerLostError(
            f'{request.method} {request.target} at {self._address}: '
            f'no answer within {timeout} ms'
        )

    async def _exchange_kept(
        self, connection: _Connection, request: HttpRequest
    ) -> ResponseStream:
        """Send a request, and learn if its connection had been dropped."""
        sent_at = _get_now()
        try:
            return await self._exchange(connection, request)
        except AnswerLostError as error:
            now = _get_now()
            is_reset = now - sent_at <= _DROP_TIME
            if not is_reset or not self._rest.record_reset(
                connection.idle_time, now
            ):
                raise
            raise ConnectionDroppedError(
                f'{error} after a rest of {connection.idle_time} ms'
            ) from error

    async def _exchange(
        self, connection: _Connection, request: HttpRequest
    ) -> ResponseStream:
        try:
            await connection.send(request, str(self._address))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise AnswerLostError(f'{self._address}: {error}') from error
        while True:
            event = await _receive_or_lose(connection)
            if isinstance(event, h11.Response):
                connection.usable_until = _get_usable_until(event)
                return ResponseStream(event, connection)
            if not isinstance(event, h11.InformationalResponse):
                raise ProtocolError(f'{self._address}: no response head')

    async def _take_connection(self) -> _Connection:
        now = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            passed = now - connection.rested_since
            connection.idle_time = int(passed * _MILLISECONDS_PER_SECOND)
            is_fresh = connection.idle_time <= self._rest.get_limit(_get_now())
            if is_fresh and _is_usable(connection):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return _Connection(await self._connect())

    async def _connect(self) -> trio.abc.Stream:
        try:
            with trio.fail_after(
                self._connect_timeout / _MILLISECONDS_PER_SECOND
            ):
                return await self._open_stream()
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            raise PeerUnavailableError(
                f'{self._address} cannot be reached: {error}'
            ) from error

    async def _open_stream(self) -> trio.abc.Stream:
        transport = await trio.open_tcp_stream(
            self._address.host, self._address.port
        )
        if self._ssl_context is None:
            return transport
        stream = trio.SSLStream(
            transport,
            self._ssl_context,
            server_hostname=self._address.host,
            https_compatible=True,
        )
        # The handshake belongs to connecting: if it fails, nothing was sent.
        try:
            await stream.do_handshake()
        except BaseException:
            await trio.aclose_forcefully(transport)
            raise
        return stream

    async def _put_back(self, connection: _Connection) -> None:
        protocol = connection.protocol
        # Bytes after the response would be taken as the next response.
        finished = (
            protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and not protocol.trailing_data[0]
        )
        if finished and len(self._idle) < self._max_idle:
            protocol.start_next_cycle()
            connection.rested_since = trio.current_time()
            self._idle.append(connection)
            return
        await trio.aclose_forcefully(connection.stream)


def _get_now() -> Milliseconds:
    return int(trio.current_time() * _MILLISECONDS_PER_SECOND)


def _compile_headers(
    request: HttpRequest, authority: str
) -> list[tuple[bytes, bytes]]:
    """Return the headers with the two that HTTP/1.1 asks for.

    A request that names its host keeps it: a relay passes it on unchanged.
    """
    named = any(name.lower() == b'host' for name, _ in request.headers)
    host = [] if named else [(b'Host', authority.encode())]
    length = (b'Content-Length', str(len(request.body)).encode())
    return [*host, length, *request.headers]


def _get_usable_until(head: h11.Response) -> float:
    """Return until when the connection may be kept, in trio seconds."""
    for name, content in head.headers:
        found = _KEEP_ALIVE.search(content) if name == b'keep-alive' else None
        if found is not None:
            timeout = int(found.group(1)) - _KEEP_ALIVE_MARGIN_SECONDS
            return trio.current_time() + timeout
    return math.inf


async def _receive_or_lose(connection: _Connection) -> h11.Event:
    try:
        event = await connection.receive_event()
    except _LOST as error:
        raise AnswerLostError(f'connection lost: {error}') from error
    if isinstance(event, h11.ConnectionClosed):
        raise AnswerLostError('connection closed before the response ended')
    return event


def _is_usable(connection: _Connection) -> bool:
    """Tell whether the peer has neither closed nor written unasked.

    A pooled connection that the peer closed would turn the next request into
    one with an unknown outcome although nothing ran.
    """
    if trio.current_time() >= connection.usable_until:
        return False
    stream = connection.stream
    if isinstance(stream, trio.SSLStream):
        stream = stream.transport_stream
    if not isinstance(stream, trio.SocketStream):
        return True
    try:
        return read_nowait(stream, 1) is None
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return False
