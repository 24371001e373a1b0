"""HTTP/1.1 client on trio and h11 with a connection pool for one address."""

import enum
import ipaddress
import math
import re
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    Sequence,
)
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from ssl import SSLContext
from types import TracebackType

import h11
import trio
from absl import logging

from clementinedyke.clock import Milliseconds
from clementinedyke.decimals import parse_decimal
from clementinedyke.exceptions import (
    AnswerLostError,
    ConnectionDroppedError,
    ConnectionRefusedByPeerError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.idle_time_limit import IdleTimeLimit
from clementinedyke.http.lost_connection import LostConnection, discard_loss
from clementinedyke.http.memory import ConnectionMemory
from clementinedyke.http.socket_io import (
    is_quiet,
    open_tcp,
    receive_some,
    send_all,
    set_reset_on_close,
)

#: Pairs of header name and value, as sent on the wire.
Headers = Sequence[tuple[bytes, bytes]]

_READ_SIZE = 65536
MAX_PORT = 65535
MAX_IDLE_CONNECTIONS = 64
_MILLISECONDS_PER_SECOND = 1000
DEFAULT_CONNECT_TIMEOUT: Milliseconds = 1000
#: Time for which the port of a process that has ended may accept connections
#: after one of its connections was closed: the kernel closes the sockets of a
#: process one after the other, the port last.
PORT_CLOSING_TIME: Milliseconds = 50
#: Largest response body that is kept in memory, unless the caller sets another
#: limit. A faulty peer may send bytes without end.
MAX_BODY_BYTES = 8388608
#: Bodies of requests up to this size are sent with the head in one write;
#: joining larger ones would copy them.
_MAX_JOINED_BYTES = 65536
#: Responses with a status below 200 before the final one; few peers send any.
_MAX_INTERIM_RESPONSES = 16
#: Bytes and time up to which an unused body is read so that its connection can
#: be kept.
_MAX_DISCARDED_BYTES = 65536
_DISCARD_TIMEOUT: Milliseconds = 100
#: A peer that dropped an idle connection answers the next request with an
#: immediate reset. A later reset means that it failed during processing.
_RESET_WINDOW: Milliseconds = 100
#: Idle connections are discarded this long before the timeout that the peer
#: announced, so that no request is sent while the peer closes.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
#: A request that waited this long without an answer, and then failed, casts
#: doubt on all connections that were idle meanwhile: open ones may go silent
#: together, and each would cost another such wait.
_UNANSWERED_TIME: Milliseconds = 500
#: Longest announced timeout in seconds that is looked at.
_MAX_KEEP_ALIVE = 10**9
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')
_CONNECTION_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    h11.RemoteProtocolError,
)
#: Largest status of HTTP (RFC 9110, section 15); h11 accepts up to 999.
_MAX_STATUS = 599
#: Statuses of responses that never have a body.
_BODILESS_STATUSES = frozenset((204, 304))
#: States of the peer in which its response is complete.
_COMPLETE_STATES = frozenset((h11.DONE, h11.MUST_CLOSE, h11.CLOSED))


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port of a peer."""

    host: str
    port: int

    @property
    def is_reachable(self) -> bool:
        """Whether a host can have this address: an IP address and a port.

        An address with a zone id has a meaning on the host of its writer only.
        """
        try:
            parsed = ipaddress.ip_address(self.host)
        except ValueError:
            return False
        if getattr(parsed, 'scope_id', None) is not None:
            return False
        is_of_host = not (parsed.is_unspecified or parsed.is_multicast)
        return is_of_host and 0 < self.port <= MAX_PORT

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse an address of the form ``IP:PORT``.

        :param text: for example ``127.0.0.1:8080``.
        :raises ValueError: if the IP address or the port number is missing.
        """
        host, _, digits = text.rpartition(':')
        port = parse_decimal(digits, MAX_PORT)
        if not host or port is None:
            raise ValueError(f'address {text!r} is not of the form IP:PORT')
        return cls(host=host, port=port)

    def __str__(self) -> str:
        """Return the address as ``IP:PORT``."""
        return f'{self.host}:{self.port}'


class Framing(enum.Enum):
    """How the end of a response body is marked (RFC 9112, section 6.3)."""

    #: A number of bytes, which is 0 for statuses without a body.
    LENGTH = 'length'
    CHUNKED = 'chunked'
    #: The end of the connection, which a peer that fails also causes.
    CONNECTION = 'connection'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''
    #: Charged with copies of the body, None if they are not accounted for.
    memory: ConnectionMemory | None = field(
        default=None, compare=False, repr=False
    )


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its complete body."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits of the time in which a body arrives, in milliseconds.

    A body may take long on a narrow link: ``idle_timeout`` limits the time
    between two parts of it, and ``total_timeout`` that of all of it.
    """

    idle_timeout: Milliseconds
    total_timeout: Milliseconds

    def start(self, scope: trio.CancelScope) -> Callable[[], None]:
        """Apply the limits to a scope and return what records progress.

        :param scope: scope in which the body is received.
        """
        now = trio.current_time()
        latest = now + self.total_timeout / _MILLISECONDS_PER_SECOND

        def record_progress() -> None:  # noqa: WPS430
            idle = self.idle_timeout / _MILLISECONDS_PER_SECOND
            scope.deadline = min(trio.current_time() + idle, latest)

        record_progress()
        return record_progress


@dataclass(slots=True)
class _Connection:
    stream: trio.abc.Stream
    protocol: h11.Connection = field(
        default_factory=lambda: h11.Connection(h11.CLIENT)
    )
    is_response_complete: bool = False
    #: trio time in seconds after which the peer may close it if it is idle.
    usable_until: float = math.inf
    #: trio time in seconds at which its last response ended; infinite while
    #: none has.
    idle_since: float = math.inf
    #: Idle time before the current request, None for the first request.
    idle_time: Milliseconds | None = None
    #: trio time in seconds at which the peer last sent anything.
    received_at: float = field(default_factory=trio.current_time)
    #: trio time in seconds at which the last request was sent.
    sent_at: float = field(default_factory=trio.current_time)

    @property
    def is_unanswered(self) -> bool:
        """Whether a request has waited long for bytes of its response."""
        waited = trio.current_time() - max(self.received_at, self.sent_at)
        return waited * _MILLISECONDS_PER_SECOND >= _UNANSWERED_TIME

    async def receive_event(self) -> h11.Event:
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._fill_buffer()

    async def receive_data(self) -> list[bytes]:
        """Return the body chunks that have arrived, waiting for at least one.

        An empty list means that the body has ended.
        """
        parts = [] if self.is_response_complete else self._parse_data()
        while not parts and not self.is_response_complete:
            await self._fill_buffer()
            parts = self._parse_data()
        return parts

    async def send(self, request: HttpRequest, authority: str) -> None:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=_compile_headers(request, authority),
        )
        parts = [self.protocol.send(head) or b'']
        if request.body:
            parts.append(self.protocol.send(h11.Data(data=request.body)) or b'')
        parts.append(self.protocol.send(h11.EndOfMessage()) or b'')
        self.is_response_complete = False
        self.sent_at = trio.current_time()
        if len(request.body) <= _MAX_JOINED_BYTES:
            parts = [b''.join(parts)]
        for part in parts:
            if part:
                await send_all(self.stream, part)

    def describe_loss(self) -> LostConnection:
        silence = trio.current_time() - self.received_at
        return LostConnection(
            self.idle_time, int(silence * _MILLISECONDS_PER_SECOND)
        )

    def _parse_data(self) -> list[bytes]:
        parts: list[bytes] = []
        while True:
            event = self.protocol.next_event()
            if isinstance(event, h11.Data):
                parts.append(event.data)
                continue
            self.is_response_complete = isinstance(event, h11.EndOfMessage)
            if isinstance(event, h11.ConnectionClosed) and not parts:
                raise trio.BrokenResourceError(
                    'connection closed before the end of the response'
                )
            return parts

    async def _fill_buffer(self) -> None:
        received = await receive_some(self.stream, _READ_SIZE)
        if received:
            self.received_at = trio.current_time()
        self.protocol.receive_data(received)


class ResponseStream:
    """A response whose headers have arrived and whose body is streamed."""

    def __init__(self, head: h11.Response, connection: _Connection) -> None:
        """Create the stream; called by :class:`HttpClient` only."""
        self._connection = connection
        self._status = int(head.status_code)
        #: Header names in lower case and their values.
        self.headers: Headers = list(head.headers)
        #: How the end of the body is marked.
        self.framing = _get_framing(self._status, dict(self.headers))
        #: Host that forwarded the response, None if it came directly.
        self.relay: str | None = None
        #: Whether the connection carried no request before. An answer on one
        #: that did may be a late copy of an earlier answer.
        self.is_first = connection.idle_time is None
        #: Number of body chunks received so far, as the peer sent them.
        self.chunk_count = 0

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self._status

    async def receive_available(self) -> bytes:
        """Return the body bytes that have arrived; empty at the end.

        Waits for at least one byte. Chunks that have already arrived are
        joined, so that a relay forwards them in one write.

        :raises AnswerLostError: if the connection breaks before the end.
        """
        try:
            parts = await self._connection.receive_data()
        except _CONNECTION_ERRORS as error:
            raise AnswerLostError(f'connection lost: {error}') from error
        self.chunk_count += len(parts)
        return b''.join(parts)

    async def receive_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body bytes as they arrive, until the body ends.

        :raises AnswerLostError: if the connection breaks before the end.
        """
        while True:
            received = await self.receive_available()
            if not received:
                return
            yield received

    async def receive_body(
        self,
        max_bytes: int = MAX_BODY_BYTES,
        record_progress: Callable[[], object] = bool,
        record_size: Callable[[int], object] = bool,
    ) -> bytes:
        """Return the remaining body.

        :param max_bytes: largest size of the body.
        :param record_progress: called with each part that arrives.
        :param record_size: called with the number of bytes received so far; may
            raise the error below.
        :raises AnswerLostError: if the connection breaks before the end, or if
            the body is larger.
        """
        parts: list[bytes] = []
        size = 0
        async for chunk in self.receive_chunks():
            record_progress()
            size += len(chunk)
            if size > max_bytes:
                raise AnswerLostError(f'body of more than {max_bytes} bytes')
            record_size(size)
            parts.append(chunk)
        return b''.join(parts)

    async def discard_body(self) -> None:
        """Read a body that is not used, unless it is long or slow.

        The connection can be kept only if the body was read to its end.
        """
        with trio.move_on_after(_DISCARD_TIMEOUT / _MILLISECONDS_PER_SECOND):
            try:
                await self.receive_body(_MAX_DISCARDED_BYTES)
            except AnswerLostError as error:
                logging.debug('event=body_not_discarded error=%s', error)


class HttpClient:
    """Client for one address that supports concurrent requests."""

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
        :param ssl_context: enables TLS if given.
        :param connect_timeout: timeout for opening a connection, including
            the TLS handshake, in milliseconds.
        :param max_idle: maximum number of idle connections in the pool.
        :param idle_limit: idle time limit for pooled connections, which may
            be shared with other clients; None for a limit of its own.
        """
        self._max_idle = max_idle
        self._idle_limit = idle_limit or IdleTimeLimit()
        self._address = address
        self._ssl_context = ssl_context
        self._connect_timeout = connect_timeout
        self._idle: list[_Connection] = []
        #: Connections that have been idle since before are not used again, in
        #: trio time.
        self._trusted_since = -math.inf
        #: Opens the connections, to which TLS is added.
        self.open_transport: Callable[
            [str, int], Awaitable[trio.abc.Stream]
        ] = open_tcp
        #: Called when a connection is lost before its response ended.
        self.record_loss: Callable[[LostConnection], None] = discard_loss

    @property
    def address(self) -> Address:
        """Address of the peer."""
        return self._address

    @property
    def has_idle(self) -> bool:
        """Whether the pool has an idle connection."""
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
        self, request: HttpRequest, *, needs_new: bool = False
    ) -> AsyncIterator[ResponseStream]:
        """Send a request and yield its response as a stream.

        The connection returns to the pool if the response body was read to
        its end and is closed otherwise.

        :param request: request with its complete body.
        :param needs_new: whether the request must have a connection that
            carried none before.
        :raises PeerUnavailableError: if no connection could be opened and
            nothing was sent.
        :raises AnswerLostError: if the connection broke after sending began.
        :raises ConnectionDroppedError: if the peer probably dropped the
            connection while it was idle.
        """
        if needs_new:
            connection = _Connection(await self._connect())
        else:
            connection = await self._acquire_connection()
        try:
            yield await self._exchange_checking_reset(connection, request)
        except AnswerLostError:
            if connection.is_unanswered:
                self._distrust_idle()
            self.record_loss(connection.describe_loss())
            raise
        except trio.Cancelled:
            self.record_loss(connection.describe_loss())
            raise
        finally:
            await self._release_connection(connection)

    async def request(
        self,
        request: HttpRequest,
        timeout: Milliseconds,
        body_limits: BodyLimits | None = None,
        *,
        doubts_idle: bool = False,
    ) -> HttpResponse:
        """Send a request and return the complete response.

        :param request: request with its complete body.
        :param timeout: timeout for the whole exchange, in milliseconds.
        :param body_limits: if given, the timeout ends with the head of the
            response, and these limits apply to its body.
        :param doubts_idle: whether connections that have been idle may have
            gone silent, so that they are not used.
        :raises PeerUnavailableError: if no connection could be opened and
            nothing was sent.
        :raises AnswerLostError: if no complete response arrived in time.
        """
        if doubts_idle:
            self._distrust_idle()
        with trio.move_on_after(timeout / _MILLISECONDS_PER_SECOND) as scope:
            async with self.open_response(request) as response:
                record_progress: Callable[[], object] = bool
                if body_limits is not None:
                    record_progress = body_limits.start(scope)
                body = await response.receive_body(
                    record_progress=record_progress
                )
                return HttpResponse(response.status, response.headers, body)
        self._distrust_idle()
        raise AnswerLostError(
            f'{request.method} {request.target} at {self._address}: '
            f'no complete response within {timeout} ms'
        )

    async def check_listening(self) -> bool | None:
        """Open a connection and return whether a process listens.

        None if the peer did not answer in time, so that it is unknown.
        """
        try:
            stream = await self._connect()
        except ConnectionRefusedByPeerError:
            return False
        except PeerUnavailableError:
            return None
        await trio.aclose_forcefully(stream)
        return True

    async def _exchange_checking_reset(
        self, connection: _Connection, request: HttpRequest
    ) -> ResponseStream:
        """Send a request and classify a reset that follows it.

        An immediate reset on a pooled connection is reported as a connection
        that the peer dropped while it was idle.
        """
        sent_at = _get_now()
        try:
            return await self._exchange(connection, request)
        except AnswerLostError as error:
            now = _get_now()
            is_reset = now - sent_at <= _RESET_WINDOW
            if not is_reset or not self._idle_limit.record_reset(
                connection.idle_time, now
            ):
                raise
            raise ConnectionDroppedError(
                f'{error} (connection idle for {connection.idle_time} ms)'
            ) from error

    async def _exchange(
        self, connection: _Connection, request: HttpRequest
    ) -> ResponseStream:
        try:
            await connection.send(request, str(self._address))
        except h11.LocalProtocolError as error:
            # A text from another source, such as a name in a configuration,
            # can't be sent in a header.
            raise PeerUnavailableError(
                f'request to {self._address} cannot be sent: {error}'
            ) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise AnswerLostError(
                f'sending to {self._address} failed: {error}'
            ) from error
        for _ in range(_MAX_INTERIM_RESPONSES):
            event = await _receive_event(connection)
            if isinstance(event, h11.Response):
                return self._create_response(event, connection)
            if not isinstance(event, h11.InformationalResponse):
                raise ProtocolError(f'{self._address} sent no response head')
        raise ProtocolError(f'{self._address} sent only interim responses')

    def _create_response(
        self, head: h11.Response, connection: _Connection
    ) -> ResponseStream:
        if head.status_code > _MAX_STATUS:
            raise ProtocolError(
                f'{self._address} sent status {head.status_code}'
            )
        connection.usable_until = _get_usable_until(head)
        return ResponseStream(head, connection)

    def _distrust_idle(self) -> None:
        """Use no connection again that may have gone silent."""
        moment = _UNANSWERED_TIME / _MILLISECONDS_PER_SECOND
        self._trusted_since = trio.current_time() - moment

    async def _acquire_connection(self) -> _Connection:
        now = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_since < self._trusted_since:
                # Those below it have been idle for longer.
                await trio.aclose_forcefully(connection.stream)
                await self.close()
                break
            idle_seconds = now - connection.idle_since
            connection.idle_time = int(idle_seconds * _MILLISECONDS_PER_SECOND)
            is_within_limit = (
                connection.idle_time <= self._idle_limit.get_limit(_get_now())
            )
            if is_within_limit and _is_usable(connection):
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
            failure = (
                ConnectionRefusedByPeerError
                if _is_refusal(error)
                else PeerUnavailableError
            )
            raise failure(
                f'{self._address} cannot be reached: {error}'
            ) from error

    async def _open_stream(self) -> trio.abc.Stream:
        transport = await self.open_transport(
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
        # Done here so that a failed handshake counts as a failed connection
        # attempt, in which no request was sent.
        try:
            await stream.do_handshake()
        except BaseException:
            await trio.aclose_forcefully(transport)
            raise
        return stream

    async def _release_connection(self, connection: _Connection) -> None:
        protocol = connection.protocol
        # Bytes after the response would be parsed as the next response.
        is_reusable = (
            protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
            and not protocol.trailing_data[0]
        )
        if is_reusable and len(self._idle) < self._max_idle:
            protocol.start_next_cycle()
            connection.idle_since = trio.current_time()
            self._idle.append(connection)
            return
        if protocol.their_state not in _COMPLETE_STATES:
            # A regular close would still deliver a request that waits in the
            # link after it was given up.
            set_reset_on_close(connection.stream)
        await trio.aclose_forcefully(connection.stream)


def _get_framing(status: int, fields: Mapping[bytes, bytes]) -> Framing:
    if b'transfer-encoding' in fields:
        return Framing.CHUNKED
    if b'content-length' in fields or status in _BODILESS_STATUSES:
        return Framing.LENGTH
    return Framing.CONNECTION


def _get_now() -> Milliseconds:
    return int(trio.current_time() * _MILLISECONDS_PER_SECOND)


def _compile_headers(
    request: HttpRequest, authority: str
) -> list[tuple[bytes, bytes]]:
    """Return the headers with Host and Content-Length added.

    An existing Host header is kept, since a relay forwards it unchanged.
    """
    has_host = any(name.lower() == b'host' for name, _ in request.headers)
    host = [] if has_host else [(b'Host', authority.encode())]
    length = (b'Content-Length', str(len(request.body)).encode())
    return [*host, length, *request.headers]


def _get_usable_until(head: h11.Response) -> float:
    """Return the trio time in seconds until which the connection is usable.

    It follows from the peer's Keep-Alive header and is infinite without one.
    """
    for name, content in head.headers:
        found = _KEEP_ALIVE.search(content) if name == b'keep-alive' else None
        if found is not None:
            seconds = parse_decimal(found.group(1).decode(), _MAX_KEEP_ALIVE)
            if seconds is not None:
                timeout = seconds - _KEEP_ALIVE_MARGIN_SECONDS
                return trio.current_time() + timeout
    return math.inf


def _is_refusal(error: Exception) -> bool:
    """Return whether no process listened at any of the peer's addresses.

    trio raises a general OSError with the actual errors as its cause.
    """
    cause = error.__cause__
    return isinstance(cause, BaseExceptionGroup) and all(
        isinstance(attempt, ConnectionRefusedError)
        for attempt in cause.exceptions
    )


async def _receive_event(connection: _Connection) -> h11.Event:
    try:
        event = await connection.receive_event()
    except _CONNECTION_ERRORS as error:
        raise AnswerLostError(f'connection lost: {error}') from error
    if isinstance(event, h11.ConnectionClosed):
        raise AnswerLostError('connection closed before the response ended')
    return event


def _is_usable(connection: _Connection) -> bool:
    """Return whether the peer has neither closed nor sent unexpected bytes.

    A request on a pooled connection that the peer has closed would have an
    unknown outcome although it was never processed.
    """
    if trio.current_time() >= connection.usable_until:
        return False
    return is_quiet(connection.stream)
