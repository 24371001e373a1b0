"""HTTP exchange on a dedicated connection with bounded late delivery.

Orders and usage reports go to targets that may ignore the fence. If such an
exchange ends without an answer, its bytes must not arrive much later.
"""

import socket

import h11
import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.client import Address, HttpRequest, HttpResponse
from clementinedyke.http.socket_io import connect_tcp

#: The kernel drops data that stays unacknowledged for longer.
USER_TIMEOUT: Milliseconds = 5000

_CONNECT_TIMEOUT: Milliseconds = 1000
_MILLISECONDS_PER_SECOND = 1000
_READ_SIZE = 65536
#: Largest body of a response and number of responses before it. Answers to
#: orders and reports have less than 1 KB; a faulty peer may send without end.
_MAX_BODY_BYTES = 65536
_MAX_INTERIM_RESPONSES = 16
#: ``struct linger``, enabled with time 0: closing drops the send buffer and
#: resets the connection.
_LINGER_ABORT = b'\1\0\0\0\0\0\0\0'


async def exchange_once(
    address: Address, request: HttpRequest, timeout: Milliseconds
) -> HttpResponse:
    """Send a request on a new connection and return the whole response.

    :param address: peer to connect to.
    :param request: request with its whole body.
    :param timeout: maximum wait for the response in milliseconds.
    :raises PeerUnavailableError: if nothing was sent.
    :raises AnswerLostError: if the request may have arrived or may still
        arrive.
    """
    stream = await _connect(address)
    try:
        with trio.fail_after(timeout / _MILLISECONDS_PER_SECOND):
            return await _exchange(stream, address, request)
    except (trio.TooSlowError, trio.BrokenResourceError) as error:
        raise AnswerLostError(f'{address}: {error!r}') from error
    except h11.RemoteProtocolError as malformed:
        raise AnswerLostError(f'{address}: {malformed}') from malformed
    finally:
        await trio.aclose_forcefully(stream)


async def _connect(address: Address) -> trio.SocketStream:
    try:
        with trio.fail_after(_CONNECT_TIMEOUT / _MILLISECONDS_PER_SECOND):
            stream = await connect_tcp(address.host, address.port)
    except (OSError, trio.TooSlowError) as error:
        raise PeerUnavailableError(
            f'{address} cannot be reached: {error}'
        ) from error
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ABORT)
    return stream


async def _exchange(
    stream: trio.SocketStream, address: Address, request: HttpRequest
) -> HttpResponse:
    protocol = h11.Connection(h11.CLIENT)
    headers = [
        (b'Host', str(address).encode()),
        (b'Content-Length', str(len(request.body)).encode()),
        (b'Connection', b'close'),
        *request.headers,
    ]
    head = h11.Request(
        method=request.method, target=request.target, headers=headers
    )
    parts = [
        protocol.send(head),
        protocol.send(h11.Data(data=request.body)),
        protocol.send(h11.EndOfMessage()),
    ]
    await stream.send_all(b''.join(part or b'' for part in parts))
    return await _receive(stream, protocol)


async def _receive(
    stream: trio.SocketStream, protocol: h11.Connection
) -> HttpResponse:
    head = await _receive_head(stream, protocol)
    parts: list[bytes] = []
    size = 0
    while True:
        event = await _receive_event(stream, protocol)
        if isinstance(event, h11.EndOfMessage):
            return HttpResponse(int(head.status_code), (), b''.join(parts))
        if isinstance(event, h11.Data):
            size += len(event.data)
            parts.append(bytes(event.data))
        if size > _MAX_BODY_BYTES:
            raise AnswerLostError(f'body of more than {_MAX_BODY_BYTES} bytes')


async def _receive_head(
    stream: trio.SocketStream, protocol: h11.Connection
) -> h11.Response:
    for _ in range(_MAX_INTERIM_RESPONSES):
        event = await _receive_event(stream, protocol)
        if isinstance(event, h11.Response):
            return event
    raise AnswerLostError('only interim responses')


async def _receive_event(
    stream: trio.SocketStream, protocol: h11.Connection
) -> h11.Event:
    event = protocol.next_event()
    while event is h11.NEED_DATA:
        received = await stream.receive_some(_READ_SIZE)
        protocol.receive_data(bytes(received))
        event = protocol.next_event()
    if isinstance(event, h11.ConnectionClosed):
        raise AnswerLostError(
            'connection closed before the end of the response'
        )
    return event  # type: ignore[return-value]
