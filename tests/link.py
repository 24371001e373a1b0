"""TCP link between two loopback ports that can be cut in several ways."""

import ctypes
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from clementinedyke.http.client import Address

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
#: ``struct sock_filter`` of one instruction: accept 0 bytes of each packet.
_DROP_ALL = struct.pack('HBBI', 6, 0, 0, 0)
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_READ_SIZE = 65536
_BACKLOG = 64


class Link:
    """Forwards connections to a target until it is cut.

    A hanging connection loses its packets before the kernel sees them, as in a
    network partition: the peer gets neither acknowledgements nor a reset.
    """

    def __init__(self, target: Address) -> None:
        """Create a link that is not listening yet."""
        self._target = target
        self._listener: socket.socket | None = None
        self._accepting: trio.CancelScope | None = None
        self._open: set[trio.SocketStream] = set()
        self._hanging: set[trio.SocketStream] = set()
        self._changed = trio.Event()
        self._hangs_new = False
        self._nursery: trio.Nursery | None = None
        self.port = 0
        #: Connections accepted so far.
        self.accepted = 0

    async def start(self, nursery: trio.Nursery) -> int:
        """Listen on a free loopback port and return it."""
        self._nursery = nursery
        self.accept_new()
        return self.port

    def hang_open(self) -> None:
        """Lose all further packets of the open connections."""
        for stream in self._open:
            _set_filter(stream.socket, is_dropping=True)
        self._hanging |= self._open

    def hang_new(self) -> None:
        """Lose the packets that open new connections."""
        self._hangs_new = True
        _set_filter(self._listener, is_dropping=True)

    def reset_open(self) -> None:
        """Reset the open connections."""
        for stream in tuple(self._open):
            _reset(stream)

    def refuse_new(self) -> None:
        """Refuse new connections; open ones live on."""
        if self._accepting is not None:
            self._accepting.cancel()
            self._listener.close()
            self._accepting = None
            # Without a listener the kernel could give the port away.
            self._bind()

    def accept_new(self) -> None:
        """Accept new connections again."""
        if self._hangs_new:
            self._hangs_new = False
            _set_filter(self._listener, is_dropping=False)
        if self._accepting is not None:
            return
        if self._listener is None:
            self._bind()
        self._listener.listen(_BACKLOG)
        self._accepting = trio.CancelScope()
        self._nursery.start_soon(self._accept, self._accepting, self._listener)

    def heal(self) -> None:
        """Accept new connections and deliver on the hanging ones again."""
        self.accept_new()
        for stream in self._hanging:
            if stream.socket.fileno() >= 0:
                _set_filter(stream.socket, is_dropping=False)
        self._hanging.clear()
        self._changed.set()
        self._changed = trio.Event()

    def _bind(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(('127.0.0.1', self.port))
        self.port = self._listener.getsockname()[1]

    async def _accept(
        self, scope: trio.CancelScope, listener: socket.socket
    ) -> None:
        accepting = trio.socket.from_stdlib_socket(listener)
        with scope:
            while True:
                accepted, _ = await accepting.accept()
                self.accepted += 1
                stream = trio.SocketStream(accepted)
                self._nursery.start_soon(self._forward, stream)

    async def _forward(self, near: trio.SocketStream) -> None:
        with self._keep_open(near):
            try:
                far = await trio.open_tcp_stream(
                    self._target.host, self._target.port
                )
            except OSError:
                _reset(near)
                return
            async with far, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, near, far, near)
                nursery.start_soon(self._pump, far, near, near)

    @contextmanager
    def _keep_open(self, stream: trio.SocketStream) -> Iterator[None]:
        self._open.add(stream)
        try:
            yield
        finally:
            self._forget(stream)

    def _forget(self, stream: trio.SocketStream) -> None:
        self._open.discard(stream)
        self._hanging.discard(stream)
        stream.socket.close()

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        near: trio.SocketStream,
    ) -> None:
        try:
            while True:
                received = await source.receive_some(_READ_SIZE)
                while near in self._hanging:
                    await self._changed.wait()
                if not received:
                    await sink.send_eof()
                    return
                await sink.send_all(received)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            _reset(source)
            _reset(sink)


def _reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        stream.socket.close()


def _set_filter(
    filtered: trio.socket.SocketType | socket.socket, *, is_dropping: bool
) -> None:
    """Attach or detach a packet filter that drops everything."""
    if not is_dropping:
        filtered.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
        return
    program = ctypes.create_string_buffer(_DROP_ALL, len(_DROP_ALL))
    # struct sock_fprog: number of instructions and their address.
    compiled = struct.pack('HL', 1, ctypes.addressof(program))
    filtered.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, compiled)
