"""Requests, responses and error responses of the HTTP server."""

import json
import math
import uuid
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import h11

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode, get_details
from clementinedyke.exceptions import MemoryShortError
from clementinedyke.http.client import Headers
from clementinedyke.http.memory import ConnectionMemory, MemoryAccount

_JSON_CONTENT_TYPE = (b'Content-Type', b'application/json')
_MILLISECONDS_PER_SECOND = 1000
#: Error responses with these statuses always have a Retry-After header.
_RETRY_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
_DEFAULT_RETRY_AFTER: Milliseconds = 1000
_CLOSE_HEADER = (b'Connection', b'close')
#: Bodies that stop short of their end are given up within some seconds.
_SHORTAGE_RETRY_AFTER: Milliseconds = 1000
#: Bodies of responses up to this size are sent with the head in one write;
#: joining larger ones would copy them.
_MAX_JOINED_BYTES = 65536


@dataclass(slots=True)
class ConnectionLimits:
    """Limits of a server; sizes in bytes, times in milliseconds.

    They may be changed while the server runs. A wait that has begun keeps
    its timeout.

    ``idle_timeout`` limits the time between two requests, ``header_timeout``
    the time from the first byte of a request to the end of its headers,
    ``receive_timeout`` the time for its body, and ``write_timeout`` the time
    of one write (at most 64 KiB in the relay) to a caller that reads slowly.
    """

    max_header_bytes: int = 32768
    max_body_bytes: int = 8388608
    max_pipelined_bytes: int = 65536
    max_connections: int = 4096
    idle_timeout: Milliseconds = 75000
    header_timeout: Milliseconds = 10000
    receive_timeout: Milliseconds = 15000
    write_timeout: Milliseconds = 20000


class RequestError(Exception):
    """A request is rejected with a result code."""

    def __init__(
        self,
        code: ResultCode,
        message: str,
        retry_after: Milliseconds | None = None,
    ) -> None:
        """Create the error.

        :param code: result code of the error response.
        :param message: text for the caller.
        :param retry_after: time after which the caller may retry, in
            milliseconds; None if unknown.
        """
        super().__init__(message)
        self.code = code
        self.retry_after = retry_after


class ConnectionInfo:
    """State of a connection that its request handlers read and set."""

    def __init__(self, memory: ConnectionMemory | None = None) -> None:
        """Create the state of a new connection.

        :param memory: memory of the connection; None for one that shares its
            account with no other.
        """
        self._customer: str | None = None
        self.memory = memory or MemoryAccount().open_connection('')
        #: Set by a handler to close the connection after its response.
        self.must_close = False

    @property
    def customer(self) -> str | None:
        """Customer of the last request, None if unknown."""
        return self._customer

    @customer.setter
    def customer(self, name: str | None) -> None:
        self._customer = name
        if name is not None:
            self.memory.owner = name

    def pass_on(self) -> None:
        """Record that the current request is about to be sent.

        :raises RequestError: if it has been evicted from memory, so that it
            must not be sent.
        """
        try:
            self.memory.pass_on()
        except MemoryShortError as error:
            raise create_shortage_error(str(error)) from error


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A received request with its complete body."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes
    connection: ConnectionInfo = field(default_factory=ConnectionInfo)

    def get_header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None.

        :param name: header name in lower case.
        """
        for key, content in self.headers:
            if key == name:
                return content.decode('latin-1')
        return None


class ResponseWriter:
    """Writes one response: the headers, then the body in chunks."""

    def __init__(
        self,
        protocol: h11.Connection,
        send: Callable[[bytes], Awaitable[None]],
        must_close: Callable[[], bool],
    ) -> None:
        """Create the writer; called by the server only.

        :param protocol: h11 state of the connection.
        :param send: writes bytes to the caller.
        :param must_close: returns whether the connection closes after this
            response.
        """
        self._protocol = protocol
        self._send = send
        self._must_close = must_close

    @property
    def is_started(self) -> bool:
        """Whether the status line and headers have been written."""
        return self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    async def send_head(
        self,
        status: int,
        headers: Headers,
        body: bytes = b'',
        *,
        is_complete: bool = False,
    ) -> None:
        """Write the status line, the headers and the start of the body.

        :param status: HTTP status code.
        :param headers: header names and values.
        :param body: first bytes of the body, sent in the same write.
        :param is_complete: whether the response ends with this write.
        """
        payload = self._encode_head(status, headers)
        if len(body) > _MAX_JOINED_BYTES:
            await self._send(payload)
            payload = self._encode(h11.Data(data=body))
        elif body:
            payload += self._encode(h11.Data(data=body))
        if is_complete:
            end = self._encode(h11.EndOfMessage())
            payload = payload + end if end else payload
        await self._send(payload)

    async def send_chunk(self, body: bytes) -> None:
        """Write a part of the body.

        :param body: bytes before any chunked encoding.
        """
        payload = self._encode(h11.Data(data=body))
        if payload:
            await self._send(payload)

    async def end(self) -> None:
        """Finish the response."""
        payload = self._encode(h11.EndOfMessage())
        if payload:
            await self._send(payload)

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Write a complete response in one write.

        :param status: HTTP status code.
        :param headers: headers without Content-Length, which is added.
        :param body: complete body.
        """
        length = (b'Content-Length', str(len(body)).encode())
        await self.send_head(status, [*headers, length], body, is_complete=True)

    async def send_json(
        self, status: int, content: Any, headers: Headers = ()
    ) -> None:
        """Write a JSON response.

        :param status: HTTP status code.
        :param content: JSON-serialisable object.
        :param headers: additional headers.
        """
        body = json.dumps(content).encode()
        await self.send_response(status, [_JSON_CONTENT_TYPE, *headers], body)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        sent = list(headers)
        if self._must_close():
            sent.append(_CLOSE_HEADER)
        return self._encode(h11.Response(status_code=status, headers=sent))

    def _encode(self, event: h11.Event) -> bytes:
        return self._protocol.send(event) or b''


RequestHandler = Callable[[ServerRequest, ResponseWriter], Awaitable[None]]


def create_shortage_error(message: str) -> RequestError:
    """Return the error for a request that was refused for lack of memory.

    :param message: text for the caller.
    """
    return RequestError(ResultCode.MEMORY_SHORT, message, _SHORTAGE_RETRY_AFTER)


def create_request_id() -> str:
    """Return a random request id of 32 hexadecimal digits."""
    return uuid.uuid4().hex


def compile_result_headers(code: ResultCode, request_id: str) -> Headers:
    """Return the request id and result headers of a response to a caller.

    :param code: result code of the response.
    :param request_id: id of the request.
    """
    return [
        (b'Clementinedyke-Request-Id', request_id.encode()),
        (b'Clementinedyke-Result', str(int(code)).encode()),
    ]


def compile_error_body(code: ResultCode, message: str) -> Mapping[str, Any]:
    """Return the JSON object of an error response.

    :param code: result code of the response.
    :param message: text for the caller.
    """
    execution = get_details(code).execution.value
    return {'error': {'message': message, 'type': execution, 'code': int(code)}}


async def write_error(
    response: ResponseWriter,
    error: RequestError,
    request_id: str | None = None,
) -> None:
    """Write the error response to a rejected request.

    :param response: writer that has not started its response.
    :param error: reason for the rejection.
    :param request_id: id of the request; None creates one.
    """
    headers = list(
        compile_result_headers(error.code, request_id or create_request_id())
    )
    status = get_details(error.code).status
    retry_after = error.retry_after
    if retry_after is None and status in _RETRY_STATUSES:
        retry_after = _DEFAULT_RETRY_AFTER
    if retry_after is not None:
        # Retry-After has whole seconds: rounded up, so that no caller retries
        # too early.
        seconds = math.ceil(retry_after / _MILLISECONDS_PER_SECOND)
        headers.append((b'Retry-After', str(seconds).encode()))
    await response.send_json(
        status,
        compile_error_body(error.code, str(error)),
        headers,
    )
