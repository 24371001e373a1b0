"""Stand-in for a network: a TCP relay with faults that tests control."""

from functools import partial

import msgspec
import trio

from clementinedyke.http.server import (
    HttpServer,
    ResponseWriter,
    ServerRequest,
)

_OK = 200
_NOT_FOUND = 404
_BAD_REQUEST = 400
_READ_SIZE = 65536
_MILLISECONDS_PER_SECOND = 1000


class RelayFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults, in effect until replaced.

    ``delay`` is the time in milliseconds before each chunk is forwarded.
    ``refuse`` closes new connections immediately. ``hold_forward`` and
    ``hold_backward`` hold bytes to and from the target until they are reset.
    """

    delay: int = 0
    refuse: bool = False
    hold_forward: bool = False
    hold_backward: bool = False


class RelayStandin:
    """Relays TCP connections to one target.

    The control port serves ``PUT /faults`` with the fields of
    :class:`RelayFaults`, ``POST /cut``, which closes all open connections,
    and ``GET /state``.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        """Create a relay without faults.

        :param target_host: IP address of the target.
        :param target_port: TCP port of the target.
        """
        self._target = (target_host, target_port)
        self._faults = RelayFaults()
        self._faults_changed = trio.Event()
        self._connections: set[trio.CancelScope] = set()
        self._control = HttpServer(self.respond)
        self.forwarded_bytes = 0

    async def start(
        self, nursery: trio.Nursery, host: str, port: int
    ) -> tuple[int, int]:
        """Start relaying and return the ports of the relay and its control.

        :param nursery: nursery that runs the relay.
        :param host: IP address to bind.
        :param port: TCP port of the relay, 0 for a free one.
        """
        listeners = await trio.open_tcp_listeners(port, host=host)
        bound = int(listeners[0].socket.getsockname()[1])
        nursery.start_soon(
            trio.serve_listeners, self._relay_connection, listeners
        )
        control = await nursery.start(partial(self._control.serve, host, 0))
        return bound, int(control)

    def set_faults(self, faults: RelayFaults) -> None:
        """Replace all faults, also for open connections.

        :param faults: new faults.
        """
        self._faults = faults
        self._faults_changed.set()
        self._faults_changed = trio.Event()

    def close_connections(self) -> None:
        """Close all open connections; bytes not yet forwarded are lost."""
        for scope in tuple(self._connections):
            scope.cancel()

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer one control request.

        :param request: request from a test.
        :param response: writer for the response.
        """
        status = _OK
        if request.path == '/faults':
            status = self._parse_faults(request.body)
        elif request.path == '/cut':
            self.close_connections()
        elif request.path != '/state':
            status = _NOT_FOUND
        state = {
            'connections': len(self._connections),
            'forwarded_bytes': self.forwarded_bytes,
            'faults': msgspec.to_builtins(self._faults),
        }
        await response.send_json(status, state)

    def _parse_faults(self, body: bytes) -> int:
        try:
            faults = msgspec.json.decode(body, type=RelayFaults)
        except msgspec.MsgspecError:
            return _BAD_REQUEST
        self.set_faults(faults)
        return _OK

    async def _relay_connection(self, caller: trio.SocketStream) -> None:
        if self._faults.refuse:
            return
        scope = trio.CancelScope()
        self._connections.add(scope)
        try:
            with scope:
                await self._relay_to_target(caller)
        finally:
            self._connections.discard(scope)

    async def _relay_to_target(self, caller: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream(*self._target)
        except OSError:
            return
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, caller, target, True)
            nursery.start_soon(self._copy, target, caller, False)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_forward: bool,
    ) -> None:
        try:
            async for received in source:
                await self._apply_faults(is_forward)
                await sink.send_all(received)
                self.forwarded_bytes += len(received)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)

    async def _apply_faults(self, is_forward: bool) -> None:
        await trio.sleep(self._faults.delay / _MILLISECONDS_PER_SECOND)
        while self._is_held(is_forward):
            await self._faults_changed.wait()

    def _is_held(self, is_forward: bool) -> bool:
        if is_forward:
            return self._faults.hold_forward
        return self._faults.hold_backward
