"""HTTP/1.1 server on trio and h11."""

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from ssl import SSLContext
from typing import Any, Protocol

import h11
import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode, get_details
from clementinedyke.http_client import Headers

_READ_SIZE = 65536
_MILLISECONDS_PER_SECOND = 1000
_JSON_TYPE = (b'Content-Type', b'application/json')


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection; sizes in bytes, times in milliseconds."""

    max_header_bytes: int = 32768
    max_body_bytes: int = 8388608
    idle_timeout: Milliseconds = 75000
    receive_timeout: Milliseconds = 15000


class RequestError(Exception):
    """A request that cannot be read; carries its result code."""

    def __init__(self, code: ResultCode, message: str) -> None:
        """Create the error.

        :param code: numbered result code.
        :param message: text for the caller.
        """
        super().__init__(message)
        self.code = code


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A received request with its whole body."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes

    def get_header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None.

        :param name: header name in lower case.
        """
        for key, content in self.headers:
            if key == name:
                return content.decode('latin-1')
        return None


class ResponseWriter:
    """Writes one response; headers first, then body chunks."""

    def __init__(
        self, protocol: h11.Connection, stream: trio.abc.Stream
    ) -> None:
        """Create the writer; called by :class:`HttpServer` only."""
        self._protocol = protocol
        self._stream = stream

    @property
    def is_started(self) -> bool:
        """Whether a response head was written."""
        return self._protocol.our_state is not h11.SEND_RESPONSE

    async def send_head(self, status: int, headers: Headers) -> None:
        """Write the status line and headers.

        :param status: HTTP status code.
        :param headers: header names and values.
        """
        await self._send(
            h11.Response(status_code=status, headers=list(headers))
        )

    async def send_chunk(self, body: bytes) -> None:
        """Write a part of the body.

        :param body: bytes as they go to the caller.
        """
        await self._send(h11.Data(data=body))

    async def end(self) -> None:
        """Finish the response."""
        await self._send(h11.EndOfMessage())

    async def send_whole(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Write a response with its whole body.

        :param status: HTTP status code.
        :param headers: headers without Content-Length.
        :param body: whole body.
        """
        length = (b'Content-Length', str(len(body)).encode())
        await self.send_head(status, [*headers, length])
        if body:
            await self.send_chunk(body)
        await self.end()

    async def send_json(
        self, status: int, content: Any, headers: Headers = ()
    ) -> None:
        """Write a JSON response.

        :param status: HTTP status code.
        :param content: JSON-serialisable object.
        :param headers: additional headers.
        """
        body = json.dumps(content).encode()
        await self.send_whole(status, [_JSON_TYPE, *headers], body)

    async def _send(self, event: h11.Event) -> None:
        payload = self._protocol.send(event)
        if payload:
            await self._stream.send_all(payload)


RequestHandler = Callable[[ServerRequest, ResponseWriter], Awaitable[None]]


class ErrorWriter(Protocol):
    """Writes the refusal of a request that could not be read."""

    async def __call__(
        self, response: ResponseWriter, error: RequestError
    ) -> None:
        """Write a whole response for the error."""


def compile_error_body(code: ResultCode, message: str) -> Mapping[str, Any]:
    """Return the JSON object of a refusal.

    :param code: numbered result code.
    :param message: text for the caller.
    """
    execution = get_details(code).execution.value
    return {'error': {'message': message, 'type': execution, 'code': int(code)}}


async def write_error(response: ResponseWriter, error: RequestError) -> None:
    """Write the refusal of a request.

    :param response: writer whose head was not sent yet.
    :param error: what is wrong with the request.
    """
    await response.send_json(
        get_details(error.code).status,
        compile_error_body(error.code, str(error)),
        [(b'Clementinedyke-Result', str(int(error.code)).encode())],
    )


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
        :param limits: limits of a connection.
        :param ssl_context: serves TLS when given.
        """
        self._handler = handler
        self._limits = limits or ConnectionLimits()
        self._ssl_context = ssl_context

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled.

        :param host: IP number to bind.
        :param port: TCP port, 0 for a free one.
        :param task_status: started with the port that was bound.
        """
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = int(listeners[0].socket.getsockname()[1])
        task_status.started(bound)
        await trio.serve_listeners(self.serve_stream, listeners)

    async def serve_stream(self, transport: trio.SocketStream) -> None:
        """Serve one connection until it ends.

        :param transport: accepted connection.
        """
        stream: trio.abc.Stream = transport
        if self._ssl_context is not None:
            stream = trio.SSLStream(
                transport,
                self._ssl_context,
                server_side=True,
                https_compatible=True,
            )
        connection = _ServerConnection(stream, self._limits)
        try:
            await connection.run(self._handler)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            await trio.aclose_forcefully(stream)


class _ServerConnection:
    def __init__(
        self, stream: trio.abc.Stream, limits: ConnectionLimits
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )

    async def run(self, handler: RequestHandler) -> None:
        while True:
            try:
                request = await self._receive_request()
            except RequestError as error:
                await self._refuse(error)
                return
            if request is None:
                return
            response = ResponseWriter(self._protocol, self._stream)
            await handler(request, response)
            if not self._prepare_next():
                return

    def _prepare_next(self) -> bool:
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def _refuse(self, error: RequestError) -> None:
        if self._protocol.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            writer = ResponseWriter(self._protocol, self._stream)
            await write_error(writer, error)

    async def _receive_request(self) -> ServerRequest | None:
        head = await self._receive_head()
        if head is None:
            return None
        with trio.move_on_after(_seconds(self._limits.receive_timeout)):
            body = await self._receive_body()
            path, _, query = head.target.decode('latin-1').partition('?')
            return ServerRequest(
                method=head.method.decode('ascii'),
                path=path,
                query=query,
                headers=list(head.headers),
                body=body,
            )
        raise RequestError(
            ResultCode.REQUEST_TIMEOUT,
            f'body not received within {self._limits.receive_timeout} ms',
        )

    async def _receive_head(self) -> h11.Request | None:
        with trio.move_on_after(_seconds(self._limits.idle_timeout)):
            event = await self._receive_event()
            return event if isinstance(event, h11.Request) else None
        return None

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
                raise trio.BrokenResourceError('connection closed in a body')
            if size > self._limits.max_body_bytes:
                raise RequestError(
                    ResultCode.BODY_TOO_LARGE,
                    f'body is over {self._limits.max_body_bytes} bytes',
                )

    async def _receive_event(self) -> h11.Event:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise _translate(error) from error
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            await self._answer_expectation()
            received = await self._stream.receive_some(_READ_SIZE)
            self._protocol.receive_data(bytes(received))

    async def _answer_expectation(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            payload = self._protocol.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            await self._stream.send_all(payload or b'')


def _translate(error: h11.RemoteProtocolError) -> RequestError:
    status = error.error_status_hint
    if status == get_details(ResultCode.HEADERS_TOO_LARGE).status:
        return RequestError(ResultCode.HEADERS_TOO_LARGE, str(error))
    return RequestError(ResultCode.REQUEST_MALFORMED, str(error))


def _seconds(duration: Milliseconds) -> float:
    return duration / _MILLISECONDS_PER_SECOND
