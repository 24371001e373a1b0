"""Requests, responses and refusals of the HTTP server."""

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
from clementinedyke.http.client import Headers

_JSON_TYPE = (b'Content-Type', b'application/json')
_MILLISECONDS_PER_SECOND = 1000
#: Refusals with these statuses always tell when to come back.
_RETRY_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
_DEFAULT_RETRY_AFTER: Milliseconds = 1000
_CLOSE = (b'Connection', b'close')


@dataclass(slots=True)
class ConnectionLimits:
    """Limits of a server; sizes in bytes, times in milliseconds.

    They may be changed while the server runs; what has begun to wait keeps
    its limit.

    ``idle_timeout`` bounds the time between two requests, ``header_timeout``
    the time from the first byte of a request to the end of its headers,
    ``receive_timeout`` the time for its body, and ``write_timeout`` the time
    that one write (at most 64 KiB in the relay) may take at a slow reader.
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
    """A request that is refused; carries its result code."""

    def __init__(
        self,
        code: ResultCode,
        message: str,
        retry_after: Milliseconds | None = None,
    ) -> None:
        """Create the error.

        :param code: numbered result code.
        :param message: text for the caller.
        :param retry_after: when the caller should come back, in milliseconds.
        """
        super().__init__(message)
        self.code = code
        self.retry_after = retry_after


class ConnectionInfo:
    """What a handler knows and notes about the connection of a request."""

    def __init__(self) -> None:
        """Create the information of a new connection."""
        self.customer: str | None = None
        #: Set by a handler whose response is the last of the connection.
        self.must_close = False


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A received request with its whole body."""

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
    """Writes one response; headers first, then body chunks."""

    def __init__(
        self,
        protocol: h11.Connection,
        send: Callable[[bytes], Awaitable[None]],
        must_close: Callable[[], bool],
    ) -> None:
        """Create the writer; called by the server only.

        :param protocol: state of the connection.
        :param send: writes bytes to the caller.
        :param must_close: whether this is the last response.
        """
        self._protocol = protocol
        self._send = send
        self._must_close = must_close

    @property
    def is_started(self) -> bool:
        """Whether a response head was written."""
        return self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}

    async def send_head(
        self,
        status: int,
        headers: Headers,
        body: bytes = b'',
        *,
        is_complete: bool = False,
    ) -> None:
        """Write the status line and headers, and the body's beginning.

        :param status: HTTP status code.
        :param headers: header names and values.
        :param body: first body bytes, sent in the same write.
        :param is_complete: whether the response ends with this write.
        """
        payload = self._encode_head(status, headers)
        if body:
            payload += self._encode(h11.Data(data=body))
        if is_complete:
            payload += self._encode(h11.EndOfMessage())
        await self._send(payload)

    async def send_chunk(self, body: bytes) -> None:
        """Write a part of the body.

        :param body: bytes as they go to the caller.
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
        """Write a response with its whole body in one write.

        :param status: HTTP status code.
        :param headers: headers without Content-Length.
        :param body: whole body.
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
        await self.send_response(status, [_JSON_TYPE, *headers], body)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        sent = list(headers)
        if self._must_close():
            sent.append(_CLOSE)
        return self._encode(h11.Response(status_code=status, headers=sent))

    def _encode(self, event: h11.Event) -> bytes:
        return self._protocol.send(event) or b''


RequestHandler = Callable[[ServerRequest, ResponseWriter], Awaitable[None]]


def create_request_id() -> str:
    """Return a new identity of a request: 32 hexadecimal digits."""
    return uuid.uuid4().hex


def compile_result_headers(code: ResultCode, request_id: str) -> Headers:
    """Return the two headers that every response to a caller carries.

    :param code: numbered result code.
    :param request_id: identity of the request.
    """
    return [
        (b'Clementinedyke-Request-Id', request_id.encode()),
        (b'Clementinedyke-Result', str(int(code)).encode()),
    ]


def compile_error_body(code: ResultCode, message: str) -> Mapping[str, Any]:
    """Return the JSON object of a refusal.

    :param code: numbered result code.
    :param message: text for the caller.
    """
    execution = get_details(code).execution.value
    return {'error': {'message': message, 'type': execution, 'code': int(code)}}


async def write_error(
    response: ResponseWriter,
    error: RequestError,
    request_id: str | None = None,
) -> None:
    """Write the refusal of a request.

    :param response: writer whose head was not sent yet.
    :param error: what is wrong with the request.
    :param request_id: identity of the request, if it has one.
    """
    headers = list(
        compile_result_headers(error.code, request_id or create_request_id())
    )
    status = get_details(error.code).status
    retry_after = error.retry_after
    if retry_after is None and status in _RETRY_STATUSES:
        retry_after = _DEFAULT_RETRY_AFTER
    if retry_after is not None:
        # Retry-After is in whole seconds; rounded up so as not to be early.
        seconds = math.ceil(retry_after / _MILLISECONDS_PER_SECOND)
        headers.append((b'Retry-After', str(seconds).encode()))
    await response.send_json(
        status,
        compile_error_body(error.code, str(error)),
        headers,
    )
