"""Callers that send more than a server can hold, and never finish."""

import contextlib
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import chain, repeat
from pathlib import Path

import trio

#: Bytes of a body before its last ones, which never arrive.
BODY_BYTES = 1048566
_LEGAL_BYTES = 1048576
_HEAD = b'POST %b HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_PIECE = b'x' * 65536
_LOCAL = '127.0.0.1'
_LARGE_CHUNK = b'10000\r\n%b\r\n' % _PIECE
_SMALL_CHUNKS = b'2\r\nxx\r\n' * 4096
_SMALL_CHUNK_BYTES = 2 * 4096
_GET = b'GET /none HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r\r\n\r\n'
_FAR_OVER = 10**10
#: Callers send their first round at the same time for at most so long.
_ROUND_SECONDS = 8
_SLOW_BYTE_SECONDS = 1
_RETURN_SECONDS = 0.05


def compile_head(path: str, length: int = _LEGAL_BYTES) -> bytes:
    """Return the head of a request with a body of a size."""
    return _HEAD % path.encode() + b'Content-Length: %d\r\n\r\n' % length


def compile_chunked_head(path: str) -> bytes:
    """Return the head of a request with a chunked body."""
    return _HEAD % path.encode() + _CHUNKED


def send_whole(path: str) -> Iterator[bytes]:
    """Send a body in one piece, without its last bytes."""
    yield compile_head(path) + b'x' * BODY_BYTES


def send_pieces(path: str) -> Iterator[bytes]:
    """Send a body in pieces of 64 KiB, without its last bytes."""
    yield compile_head(path)
    yield from repeat(_PIECE, BODY_BYTES // len(_PIECE))


def send_large_chunks(path: str) -> Iterator[bytes]:
    """Send chunks of 64 KiB, but not the last one."""
    yield compile_chunked_head(path)
    yield from repeat(_LARGE_CHUNK, BODY_BYTES // len(_PIECE))


def send_small_chunks(path: str) -> Iterator[bytes]:
    """Send chunks of two bytes, but not the last ones."""
    yield compile_chunked_head(path)
    yield from repeat(_SMALL_CHUNKS, BODY_BYTES // _SMALL_CHUNK_BYTES)


def send_extended_chunks(path: str) -> Iterator[bytes]:
    """Send chunks of one byte with an extension, but not the last ones."""
    yield compile_chunked_head(path)
    yield from repeat(b'1;a=b\r\nx\r\n' * 4096, BODY_BYTES // 4096)


def announce_far_over(path: str) -> Iterator[bytes]:
    """Announce a body far over the limit and send it."""
    yield compile_head(path, _FAR_OVER)
    yield from repeat(_PIECE)


def send_far_over(path: str) -> Iterator[bytes]:
    """Send chunks without end."""
    yield compile_chunked_head(path)
    yield from repeat(_LARGE_CHUNK)


def send_trailers(path: str) -> Iterator[bytes]:
    """Send trailers without end."""
    yield b'%b1\r\nx\r\n0\r\n' % compile_chunked_head(path)
    yield from repeat(b'X-Filler: x\r\n' * 512)


def send_extension(path: str) -> Iterator[bytes]:
    """Send a chunk extension without end."""
    yield b'%b1;' % compile_chunked_head(path)
    yield from repeat(_PIECE)


def send_long_head(path: str) -> Iterator[bytes]:
    """Send a head without its end."""
    yield b'%bX-Filler: %b' % (_HEAD % path.encode(), b'x' * 15000)


def send_requests(path: str) -> Iterator[bytes]:
    """Send many requests in one segment whose answers nobody reads."""
    yield _GET * 400


@dataclass
class Crowd:
    """Callers that send the same, and come back whenever they are closed.

    ``pause`` is the time in seconds after each piece; ``is_half_closed`` says
    that a caller ends its sending side once it has sent everything.
    """

    address: tuple[str, int]
    compile_pieces: Callable[[str], Iterator[bytes]]
    size: int
    path: str = '/read/1'
    pause: float = 0
    is_half_closed: bool = False
    #: Address that the callers bind.
    source: str = _LOCAL
    #: Callers that have sent everything, or were closed, at least once.
    settled: set[int] = field(default_factory=set)

    async def run(self, nursery: trio.Nursery) -> None:
        """Start the callers and wait until each has sent what it sends."""
        for number in range(self.size):
            nursery.start_soon(self._run_caller, number)
        with trio.move_on_after(_ROUND_SECONDS):
            while len(self.settled) < self.size:
                await trio.sleep(_RETURN_SECONDS)

    async def _run_caller(self, number: int) -> None:
        while True:
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await self._run_connection(number)
            self.settled.add(number)
            await trio.sleep(_RETURN_SECONDS)

    async def _run_connection(self, number: int) -> None:
        connection = trio.socket.socket()
        await connection.bind((self.source, 0))
        await connection.connect(self.address)
        async with trio.SocketStream(connection) as stream:
            for piece in self.compile_pieces(self.path):
                await stream.send_all(piece)
                await trio.sleep(self.pause)
            self.settled.add(number)
            if self.is_half_closed:
                await stream.send_eof()
            await wait_until_closed(connection)


def send_slowly(path: str) -> Iterator[bytes]:
    """Send a body in single bytes."""
    return chain((compile_head(path),), repeat(b'x'))


async def wait_until_closed(connection: trio.socket.SocketType) -> None:
    """Wait until the peer has closed a connection, without reading it."""
    closed_states = {7, 8}
    while True:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        if bytes(info)[0] in closed_states:
            return
        await trio.sleep(_RETURN_SECONDS)


def read_peak_memory(process_id: int) -> int:
    """Return the peak of resident memory of a process in MB."""
    status = Path(f'/proc/{process_id}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) // 1024
    raise ValueError('the process has ended')


def count_descriptors(process_id: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{process_id}/fd').iterdir()))
