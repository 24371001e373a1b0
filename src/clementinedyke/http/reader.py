"""Reads requests from one connection of the HTTP server."""

import enum
import re
from collections.abc import Awaitable, Callable

import h11
import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode, get_details
from clementinedyke.http.message import (
    ConnectionInfo,
    ConnectionLimits,
    RequestError,
    ServerRequest,
)
from clementinedyke.http.socket_io import receive_some

_READ_SIZE = 65536
_MILLISECONDS_PER_SECOND = 1000
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
    ) -> None:
        """Create the reader.

        :param protocol: h11 state of the connection.
        :param stream: connection to read from.
        :param limits: size limits and timeouts of the server.
        :param send: writes bytes to the caller.
        """
        self._protocol = protocol
        self._stream = stream
        self._limits = limits
        self._send = send
        self._connection_info = ConnectionInfo()
        self._scope = trio.CancelScope()
        self._stage = _Stage.IDLE

    @property
    def customer(self) -> str | None:
        """Customer that a handler set last, None if none was set."""
        return self._connection_info.customer

    @property
    def must_close(self) -> bool:
        """Whether a handler asked to close the connection."""
        return self._connection_info.must_close

    def stop_waiting(self) -> None:
        """Stop waiting for the next request if none has begun."""
        if self._stage is _Stage.IDLE:
            self._scope.cancel()

    async def receive_request(self) -> ServerRequest | None:
        """Return the next request, or None if no further request arrives.

        None means that the caller closed the connection, that the idle
        timeout expired or that :meth:`stop_waiting` was called.

        :raises RequestError: if the request is malformed, too large or too
            slow; no further request can be read from the connection.
        """
        # One cancel scope whose deadline is moved for each stage: a scope per
        # stage took a tenth of the CPU time of a short request.
        self._scope = trio.CancelScope()
        with self._scope:
            return await self._receive_stages()
        if self._stage is _Stage.IDLE:
            return None
        raise RequestError(
            ResultCode.REQUEST_TIMEOUT,
            f'the {self._stage.value} of the request did not arrive in time',
        )

    async def _receive_stages(self) -> ServerRequest | None:
        self._start_stage(_Stage.IDLE, self._limits.idle_timeout)
        if not self._protocol.trailing_data[0]:
            await self._fill_buffer()
        self._start_stage(_Stage.HEADERS, self._limits.header_timeout)
        head = await self._receive_event(is_head=True)
        if not isinstance(head, h11.Request):
            return None
        _check_framing(head, self._limits.max_body_bytes)
        self._start_stage(_Stage.BODY, self._limits.receive_timeout)
        body = await self._receive_body()
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

    async def _receive_body(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self._receive_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b''.join(parts)
            else:
                raise trio.BrokenResourceError(
                    'connection closed before the end of a request body'
                )
            if size > self._limits.max_body_bytes:
                raise _compile_size_error(self._limits.max_body_bytes)

    async def _receive_event(self, *, is_head: bool = False) -> h11.Event:
        while True:
            if is_head:
                _check_header_lines(
                    self._protocol.trailing_data[0],
                    self._limits.max_header_bytes,
                )
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise _compile_protocol_error(error) from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._send_continue_if_expected()
            await self._fill_buffer()

    async def _fill_buffer(self) -> None:
        received = await receive_some(self._stream, _READ_SIZE)
        self._protocol.receive_data(received)

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


def _check_framing(head: h11.Request, max_body_bytes: int) -> None:
    """Reject ambiguous body lengths and bodies that are too large."""
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
    if length is not None and int(length) > max_body_bytes:
        raise _compile_size_error(max_body_bytes)


def _compile_size_error(max_body_bytes: int) -> RequestError:
    return RequestError(
        ResultCode.BODY_TOO_LARGE, f'body is over {max_body_bytes} bytes'
    )


def _compile_protocol_error(error: h11.RemoteProtocolError) -> RequestError:
    status = error.error_status_hint
    if status == get_details(ResultCode.HEADERS_TOO_LARGE).status:
        return RequestError(ResultCode.HEADERS_TOO_LARGE, str(error))
    return RequestError(ResultCode.REQUEST_MALFORMED, str(error))
