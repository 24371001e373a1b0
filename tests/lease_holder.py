"""Program that runs one lease holder; the process tests run two of them.

Arguments: port of the platform, name of the host, port of the engine that
checks the fence, port of the engine that ignores it.
"""

import random
import signal
import socket
import sys

import trio

from clementinedyke.application import Application
from clementinedyke.clock import MonotonicClock
from clementinedyke.endpoints.orders import EngineOrderClient
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.leases.component import LeaseComponent, LeasePolicy
from clementinedyke.leases.types import Fencing, Identity, LeaseTiming
from clementinedyke.orders.component import OutboxComponent
from clementinedyke.orders.types import OrderKind
from clementinedyke.reference_platform.hosts import HostListClient
from clementinedyke.reference_platform.tables import TableClient

SCOPE = 'service/chat'
TIMING = LeaseTiming(duration=1500, renew_interval=400, host_interval=1000)
LOCAL = '127.0.0.1'


class Holder:
    """Requests role changes of both engines while it holds the lease."""

    def __init__(self, platform: int, host: str, engines: list[int]) -> None:
        """Bind the daemon address, then create the components."""
        self._socket = socket.create_server((LOCAL, 0))
        port = self._socket.getsockname()[1]
        identity = Identity(host, f'{LOCAL}:{port}', f'{host}-1')
        client = HttpClient(Address(LOCAL, platform))
        tables = TableClient(client)
        clock = MonotonicClock()
        self._host = host
        self._targets = {
            fencing.value: EngineOrderClient(Address(LOCAL, engine))
            for fencing, engine in zip(Fencing, engines, strict=True)
        }
        leases = LeaseComponent(
            identity,
            tables,
            HostListClient(client),
            clock,
            random.Random(host),
            lambda scope: True,
            LeasePolicy(TIMING),
        )
        lease = leases.add_scope(SCOPE)
        self._outbox = OutboxComponent(
            SCOPE, lease, tables, self._targets.get, clock
        )
        leases.add_order_source(SCOPE, self._outbox)
        self.application = Application([leases, self._outbox])

    async def request_roles(self) -> None:
        """Request a new role of each engine every 100 ms."""
        number = 0
        while True:
            number += 1
            role = f'{self._host}-{number}'
            for fencing in Fencing:
                self._outbox.request_order(
                    fencing.value, fencing, OrderKind.ROLE, role
                )
            await trio.sleep(0.1)


async def main() -> None:
    """Run until SIGTERM, then release the lease."""
    platform, host, *engines = sys.argv[1:]
    holder = Holder(int(platform), host, [int(port) for port in engines])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(holder.request_roles)
        nursery.start_soon(stop_on_signal, holder.application)
        await holder.application.run()
        nursery.cancel_scope.cancel()


async def stop_on_signal(application: Application) -> None:
    """Begin a graceful shutdown on SIGTERM."""
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            application.request_stop()


if __name__ == '__main__':
    trio.run(main)
