"""Byte relay on trio without protocol handling: the baseline for the daemon."""

import itertools
import json
import sys

import trio

_HOST = '127.0.0.1'
_READ_SIZE = 65536


class BareRelay:
    """Connects each caller to the next target in turn and copies bytes."""

    def __init__(self, ports: list[int]) -> None:
        """Create a relay.

        :param ports: ports of the targets on this host.
        """
        self._targets = itertools.cycle(ports)

    async def run(self) -> None:
        """Print the bound port as a JSON line and serve until cancelled."""
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
