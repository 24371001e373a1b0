"""Reads requests from one connection of the HTTP server."""

import enum
import re
from collections.abc import Awaitable, Callable

import h11
import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode, get_details
from clementinedyke.exceptions import MemoryShortError
from clementinedyke.http.body import BodyBuffer, create_size_error
from clementinedyke.http.chunks import ChunkJoiner
from clementinedyke.http.message import (
    ConnectionInfo,
    ConnectionLimits,
    RequestError,
    ServerRequest,
    create_shortage_error,
)
from clementinedyke.http.socket_io import receive_some

_READ_SIZE = 65536
_MILLISECONDS_PER_SECOND = 1000
#: Chunks that a connection may parse at once. Chunks of 1 KB and more arrive
#: in smaller numbers.
FREE_CHUNKS = 64
#: Chunks that one connection of a server parses while the others with as many
#: wait: about 1 ms.
CHUNKS_PER_TURN = 1024
_BARE_LINE_FEED = re.compile(rb'(?<!\r)\n')
_HEAD_END = b'\r\n\r\n'


class _Stage(enum.Enum):
    IDLE = 'beginning'
    HEADERS = 'headers'
    BODY = 'body'


class RequestReader:
    """Receives requests and enforces size limits and timeouts."""

    def __init__(
        self,
        protocol: h11.Connection,
        stream: trio.abc.Stream,
        limits: ConnectionLimits,
        send: Callable[[bytes], Awaitable[None]],
        connection_info: ConnectionInfo,
        turns: trio.Lock,
    ) -> None:
        """Create the reader.

        :param protocol: h11 state of the connection.
        :param stream: connection to read from.
        :param limits: size limits and timeouts of the server.
        :param send: writes bytes to the caller.
        :param connection_info: state and memory of the connection.
        :param turns: held by the connection of the server that parses many
            chunks.
        """
        self._protocol = protocol
        self._stream = stream
        self._limits = limits
        self._send = send
        self._connection_info = connection_info
        self._turns = turns
        self._scope = trio.CancelScope()
        self._stage = _Stage.IDLE
        #: Bytes that the parser has not got yet.
        self._received = b''
        self._rejection: RequestError | None = None
        self._body: BodyBuffer | None = None
        #: trio time in seconds since when the rest of a request is awaited.
        self.waiting_since: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no byte of the next request has arrived."""
        return self._stage is _Stage.IDLE

    @property
    def buffered(self) -> int:
        """Number of bytes that have arrived and were not parsed."""
        return len(self._received)

    def add(self, received: bytes) -> None:
        """Keep bytes that arrived while a request was handled.

        :param received: bytes of the next requests.
        """
        self._received += received

    def stop_waiting(self) -> None:
        """Stop waiting for the next request if none has begun."""
        if self._stage is _Stage.IDLE:
            self._scope.cancel()

    def reject(self, error: RequestError) -> None:
        """Stop receiving the request that has begun.

        :param error: reason for the caller.
        """
        self._rejection = error
        if self._body is not None:
            self._body.clear()
        self._scope.cancel()

    async def receive_request(self) -> ServerRequest | None:
        """Return the next request, or None if no further request arrives.

        None means that the caller closed the connection, that the idle
        timeout expired or that :meth:`stop_waiting` was called.

        :raises RequestError: if the request is malformed, too large, too slow
            or rejected; no further request can be read from the connection.
        """
        # One cancel scope whose deadline is moved for each stage: a scope per
        # stage took a tenth of the CPU time of a short request.
        self._scope = trio.CancelScope()
        try:
            with self._scope:
                return await self._receive_stages()
        except MemoryShortError as error:
            raise create_shortage_error(str(error)) from error
        finally:
            self.waiting_since = None
        if self._rejection is not None:
            raise self._rejection
        if self._stage is _Stage.IDLE:
            return None
        raise RequestError(
            ResultCode.REQUEST_TIMEOUT,
            f'the {self._stage.value} of the request did not arrive in time',
        )

    async def _receive_stages(self) -> ServerRequest | None:
        self._start_stage(_Stage.IDLE, self._limits.idle_timeout)
        if not self._received:
            await self._read()
        self._start_stage(_Stage.HEADERS, self._limits.header_timeout)
        self.waiting_since = trio.current_time()
        head = await self._receive_head()
        if not isinstance(head, h11.Request):
            return None
        length = _check_framing(head, self._limits.max_body_bytes)
        self._start_stage(_Stage.BODY, self._limits.receive_timeout)
        body = await self._receive_body(length)
        path, _, query = head.target.decode('latin-1').partition('?')
        return ServerRequest(
            method=head.method.decode('ascii'),
            path=path,
            query=query,
            headers=list(head.headers),
            body=body,
            connection=self._connection_info,
        )

    def _start_stage(self, stage: _Stage, timeout: Milliseconds) -> None:
        self._stage = stage
        seconds = timeout / _MILLISECONDS_PER_SECOND
        self._scope.deadline = trio.current_time() + seconds

    async def _receive_head(self) -> h11.Event:
        """Parse a head; the parser gets nothing of what follows it."""
        event = self._parse_head()
        while event is h11.NEED_DATA:
            await self._read()
            event = self._parse_head()
        return event  # type: ignore[return-value]

    def _parse_head(self) -> h11.Event | type[h11.NEED_DATA]:
        parsed = self._protocol.trailing_data[0]
        received = parsed + self._received
        _check_header_lines(received, self._limits.max_header_bytes)
        end = received.find(_HEAD_END)
        end = len(received) if end < 0 else end + len(_HEAD_END)
        self._feed(end - len(parsed))
        return self._parse()

    async def _receive_body(self, length: int | None) -> bytes:
        memory = self._connection_info.memory
        body = BodyBuffer(memory.begin_request(), self._limits.max_body_bytes)
        self._body = body
        try:
            if length is None:
                await self._receive_chunks(body)
            else:
                await self._receive_length(body, length)
            memory.complete_body()
            return body.join()
        finally:
            # The frames of an error and the objects of a connection refer to
            # each other, so that they stay until the next garbage collection.
            body.clear()

    async def _receive_length(self, body: BodyBuffer, length: int) -> None:
        left = length
        while True:
            fed = min(left, len(self._received))
            left -= fed
            self._feed(fed)
            if self._parse_body(body):
                return
            await self._read()

    async def _receive_chunks(self, body: BodyBuffer) -> None:
        joiner = ChunkJoiner(self._limits.max_header_bytes)
        while True:
            joiner.add(self._received)
            self._received = b''
            if await self._parse_chunks(joiner, body):
                self._received = joiner.rest
                return
            await self._read()

    async def _parse_chunks(
        self, joiner: ChunkJoiner, body: BodyBuffer
    ) -> bool:
        """Parse what has arrived; return whether the body has ended.

        Bodies in small chunks are parsed by turns, one connection at a time,
        so that other tasks run in between.
        """
        self._feed_bytes(joiner.take(FREE_CHUNKS))
        if self._parse_body(body):
            return True
        while not joiner.needs_input:
            async with self._turns:
                self._check_rejection()
                self._feed_bytes(joiner.take(CHUNKS_PER_TURN))
                if self._parse_body(body):
                    return True
        return False

    def _parse_body(self, body: BodyBuffer) -> bool:
        """Move parsed bytes to the body; return whether it has ended."""
        while True:
            event = self._parse()
            if isinstance(event, h11.Data):
                body.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif event is h11.NEED_DATA:
                return False
            else:
                raise trio.BrokenResourceError(
                    'connection closed before the end of a request body'
                )

    def _parse(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._protocol.next_event()  # type: ignore[return-value]
        except h11.RemoteProtocolError as error:
            raise _compile_protocol_error(error) from error

    def _feed(self, size: int) -> None:
        """Pass the first received bytes on to the parser."""
        self._feed_bytes(self._received[:size])
        self._received = self._received[size:]

    def _feed_bytes(self, taken: bytes) -> None:
        # Without bytes, the parser would take it for the end of the connection.
        if taken:
            self._protocol.receive_data(taken)

    async def _read(self) -> None:
        """Wait for further bytes or for the end of the connection."""
        await self._send_continue_if_expected()
        received = await receive_some(self._stream, _READ_SIZE)
        self._check_rejection()
        if received:
            self._received += received
        else:
            self._protocol.receive_data(received)

    def _check_rejection(self) -> None:
        """Stop if the request was rejected while this task waited."""
        if self._rejection is not None:
            raise self._rejection

    async def _send_continue_if_expected(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            payload = self._protocol.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            await self._send(payload or b'')


def _check_header_lines(received: bytes, max_header_bytes: int) -> None:
    """Reject oversized headers and header lines that end in a bare LF.

    A load balancer may split such lines differently and see another request
    than this server (request smuggling). The size is checked here because
    h11 applies its own limit to incomplete headers only.
    """
    head, _, _ = received.partition(_HEAD_END)
    if _BARE_LINE_FEED.search(head):
        raise RequestError(
            ResultCode.REQUEST_MALFORMED, 'a header line ends without CR LF'
        )
    if len(head) > max_header_bytes:
        raise RequestError(
            ResultCode.HEADERS_TOO_LARGE,
            f'headers are over {max_header_bytes} bytes',
        )


def _check_framing(head: h11.Request, max_body_bytes: int) -> int | None:
    """Reject ambiguous body lengths and bodies that are too large.

    :return: length of the body, None for one in chunks.
    """
    framing = dict(head.headers)
    length = framing.get(b'content-length')
    is_chunked = b'transfer-encoding' in framing
    if is_chunked and length is not None:
        raise RequestError(
            ResultCode.REQUEST_MALFORMED,
            'both Transfer-Encoding and Content-Length are given',
        )
    if is_chunked and head.http_version < b'1.1':
        raise RequestError(
            ResultCode.REQUEST_MALFORMED, 'HTTP/1.0 has no Transfer-Encoding'
        )
    if is_chunked:
        return None
    size = int(length or 0)
    if size > max_body_bytes:
        raise create_size_error(max_body_bytes)
    return size


def _compile_protocol_error(error: h11.RemoteProtocolError) -> RequestError:
    status = error.error_status_hint
    if status == get_details(ResultCode.HEADERS_TOO_LARGE).status:
        return RequestError(ResultCode.HEADERS_TOO_LARGE, str(error))
    return RequestError(ResultCode.REQUEST_MALFORMED, str(error))
