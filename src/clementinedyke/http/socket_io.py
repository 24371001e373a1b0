"""Reads and writes TCP streams with few trio checkpoints.

trio's stream methods yield to the scheduler in each call, even if the call did
not have to wait. A relay makes two calls for each chunk, and these checkpoints
were the largest part of its CPU time. The functions here yield once for each
read and only for those writes that must wait. Streams other than plain TCP,
such as TLS, use trio's methods.
"""

import os
import select
import socket
import struct
from functools import singledispatch

import trio

from clementinedyke.clock import Milliseconds

_KEEP_ALIVE_SECONDS = 1
#: A connection breaks if its peer's host sends no packet for this long: open
#: connections may go silent for good while new ones work. The limit leaves
#: time to learn a change over a new connection within 3 s, and peers may
#: pause for a second or so.
SILENCE_LIMIT: Milliseconds = 1900


async def open_tcp(host: str, port: int) -> trio.abc.Stream:
    """Open a connection that breaks when its peer's host is silent.

    :param host: IP address of the peer.
    :param port: TCP port of the peer.
    :raises OSError: if the peer cannot be reached.
    """
    transport = await connect_tcp(host, port)
    set_silence_limit(transport, SILENCE_LIMIT)
    return transport


async def connect_tcp(host: str, port: int) -> trio.SocketStream:
    """Open a connection.

    The resolver raises more than OSError for text that another writer left as
    an address: UnicodeError for a name that it can't encode, and ValueError or
    OverflowError for other malformed hosts and ports.

    :param host: IP address of the peer.
    :param port: TCP port of the peer.
    :raises OSError: if the peer cannot be reached.
    """
    try:
        return await trio.open_tcp_stream(host, port)
    except (ValueError, OverflowError) as error:
        raise OSError(f'{host!r} is no address: {error}') from error


async def receive_some(stream: trio.abc.Stream, max_bytes: int) -> bytes:
    """Return at least one byte, waiting if necessary; empty at the end.

    Only one task may read from a stream at a time. No byte is lost when the
    task is cancelled.

    :param stream: stream to read from.
    :param max_bytes: maximum number of bytes to return.
    :raises trio.BrokenResourceError: if the connection is broken.
    """
    if not isinstance(stream, trio.SocketStream):
        return bytes(await stream.receive_some(max_bytes))
    await trio.lowlevel.checkpoint_if_cancelled()
    received = read_nowait(stream, max_bytes)
    if received is not None:
        # Lets other tasks run if this stream always has bytes to read.
        await trio.lowlevel.cancel_shielded_checkpoint()
        return received
    while received is None:
        await trio.lowlevel.wait_readable(stream.socket)
        received = read_nowait(stream, max_bytes)
    return received


async def send_all(stream: trio.abc.Stream, payload: bytes) -> None:
    """Write all bytes and yield to the scheduler only to wait.

    Only one task may write to a stream at a time.

    :param stream: stream to write to.
    :param payload: bytes to write.
    :raises trio.BrokenResourceError: if the connection is broken.
    """
    sent = 0
    if isinstance(stream, trio.SocketStream):
        sent = _write_nowait(stream, payload)
    if sent < len(payload):
        await stream.send_all(memoryview(payload)[sent:])


def read_nowait(stream: trio.SocketStream, max_bytes: int) -> bytes | None:
    """Return the bytes that have arrived, or None if there are none yet.

    Empty bytes mean that the peer has closed the connection.

    :param stream: stream to read from.
    :param max_bytes: maximum number of bytes to return.
    :raises trio.BrokenResourceError: if the connection is broken.
    """
    try:
        return os.read(_get_descriptor(stream), max_bytes)
    except BlockingIOError:
        return None
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


def has_input(source: trio.SocketStream | trio.SocketListener) -> bool:
    """Return whether bytes, an end or a connection wait to be taken.

    :param source: stream or listener; closed ones have no input.
    """
    descriptor = source.socket.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


def get_transport(stream: trio.abc.Stream) -> trio.SocketStream:
    """Return the TCP connection below a stream.

    :param stream: TCP stream, or TLS stream over one.
    :raises TypeError: if the stream is neither.
    """
    if isinstance(stream, trio.SSLStream):
        return get_transport(stream.transport_stream)
    if isinstance(stream, trio.SocketStream):
        return stream
    raise TypeError(f'{type(stream).__name__} is not a TCP connection')


@singledispatch
def is_quiet(stream: trio.abc.Stream) -> bool:
    """Return whether nothing has arrived on an open connection.

    :param stream: stream that nobody reads from.
    """
    return is_quiet(get_transport(stream))


@is_quiet.register
def _is_socket_quiet(stream: trio.SocketStream) -> bool:
    try:
        return read_nowait(stream, 1) is None
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return False


@singledispatch
def set_reset_on_close(stream: trio.abc.Stream) -> None:
    """Make the kernel reset the connection and drop unsent bytes on close.

    :param stream: connection that is about to be closed.
    """
    set_reset_on_close(get_transport(stream))


@set_reset_on_close.register
def _set_socket_reset(transport: trio.SocketStream) -> None:
    try:
        transport.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    except trio.ClosedResourceError:
        return


def set_silence_limit(
    transport: trio.SocketStream, limit: Milliseconds
) -> None:
    """Break a connection whose peer's host sends no packet for a while.

    Keep-alive probes find out while the connection is idle. An unacknowledged
    write ends with the same limit, which counts in place of the number of
    probes (see tcp(7)).

    :param transport: open connection.
    :param limit: longest silence in ms, rounded up to a whole number of probes.
    """
    transport.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, _KEEP_ALIVE_SECONDS),
        (socket.TCP_KEEPINTVL, _KEEP_ALIVE_SECONDS),
        (socket.TCP_USER_TIMEOUT, limit),
    ):
        transport.setsockopt(socket.IPPROTO_TCP, option, setting)


def _write_nowait(stream: trio.SocketStream, payload: bytes) -> int:
    try:
        return os.write(_get_descriptor(stream), payload)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


def _get_descriptor(stream: trio.SocketStream) -> int:
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        raise trio.ClosedResourceError('the TCP stream is already closed')
    return descriptor
