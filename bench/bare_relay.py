"""A byte relay on trio without any protocol, as the yardstick."""

import itertools
import json
import sys

import trio

_HOST = '127.0.0.1'
_READ_SIZE = 65536


class BareRelay:
    """Joins each connection to the next target and copies bytes."""

    def __init__(self, ports: list[int]) -> None:
        """Take the ports of the targets."""
        self._targets = itertools.cycle(ports)

    async def run(self) -> None:
        """Serve for ever; print one JSON line when ready."""
        listeners = await trio.open_tcp_listeners(0, host=_HOST)
        port = listeners[0].socket.getsockname()[1]
        sys.stdout.write(f'{json.dumps({"port": port})}\n')
        sys.stdout.flush()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, caller: trio.SocketStream) -> None:
        target = await trio.open_tcp_stream(_HOST, next(self._targets))
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, caller, target)
            await _copy(target, caller)
            nursery.cancel_scope.cancel()


async def _copy(source: trio.SocketStream, sink: trio.SocketStream) -> None:
    try:
        while received := await source.receive_some(_READ_SIZE):
            await sink.send_all(received)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    await trio.aclose_forcefully(sink)


if __name__ == '__main__':
    trio.run(BareRelay([int(port) for port in sys.argv[1:]]).run)
