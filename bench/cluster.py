"""Costs and times of membership and configuration by number of daemons.

Cores run in one process on virtual time; the cost of HTTP/2 is measured on a
real grpclib stream over loopback and added per message.
"""

import resource
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec
import trio
import trio_asyncio

from clementinedyke.clock import Milliseconds, MonotonicClock
from clementinedyke.control.messages import Ack, Message, Ping
from clementinedyke.daemons.links import LinkPool
from clementinedyke.daemons.options import ControlOptions
from clementinedyke.daemons.server import ControlServer, bind_daemon_port
from clementinedyke.members.events import Publish

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))

from cluster_fake import FakeNetwork  # noqa: E402 the fake is shared with tests

SIZES = (7, 50, 110, 220, 330)
SEED = 1
ZONES = 5
RACK = 30
PAYLOAD_FLAG = '--payloads'
PAYLOAD_SIZES = (50, 330)
ROWS = 500
COLUMNS = 13
PINGS = 2000
JOIN: Milliseconds = 30000
WINDOW: Milliseconds = 10000
STEP: Milliseconds = 50
LIMIT: Milliseconds = 60000
#: IP and TCP headers with time stamps of a segment and of its acknowledgement.
SEGMENT_BYTES = 104


@dataclass
class Wire:
    """Measured costs of one message on a real stream."""

    frame_bytes: float = 0
    processor_microseconds: float = 0


class Relay:
    """Counts the bytes between a link and a daemon port."""

    def __init__(self, port: int) -> None:
        """Create a relay to a port."""
        self.passed = 0
        self.port = 0
        self._port = port

    async def serve(self, client: trio.SocketStream) -> None:
        """Pass bytes both ways until one side closes or resets."""
        server = await trio.open_tcp_stream('127.0.0.1', self._port)
        async with server, trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._copy, client, server, scope)
            nursery.start_soon(self._copy, server, client, scope)

    async def _copy(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        scope: trio.CancelScope,
    ) -> None:
        # Order connections are closed with a reset.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                self.passed += len(data)
                await target.send_all(data)
        scope.cancel()


async def measure_wire() -> Wire:
    """Return the costs of a message, without and with a relay."""
    listener = bind_daemon_port('127.0.0.1', 0)
    port = listener.getsockname()[1]
    relay = Relay(port)
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, relay.serve, 0, host='127.0.0.1')
        relays = await nursery.start(serve)
        relay.port = relays[0].socket.getsockname()[1]
        async with trio_asyncio.open_loop():
            exchange = Exchange(ControlOptions())
            await trio_asyncio.aio_as_trio(exchange.server.start)(listener)
            wire = await exchange.measure(port, relay)
            await trio_asyncio.aio_as_trio(exchange.pool.close)()
            await trio_asyncio.aio_as_trio(exchange.server.close)()
        nursery.cancel_scope.cancel()
    return wire


class Exchange:
    """Pings over a link, one at a time."""

    def __init__(self, options: ControlOptions) -> None:
        """Create both sides in the running loop."""
        clock = MonotonicClock()
        self.encoded = 0
        self.server = ControlServer(options, clock, self._answer)
        self.pool = LinkPool('client', options, clock, self._finish)
        self._done = trio.Event()

    async def measure(self, port: int, relay: Relay) -> Wire:
        """Return the costs of a message."""
        direct = f'127.0.0.1:{port}'
        await self.run(direct, 10)
        began = time.process_time()
        await self.run(direct, PINGS)
        spent = time.process_time() - began
        relayed = f'127.0.0.1:{relay.port}'
        await self.run(relayed, 10)
        relay.passed = 0
        self.encoded = 0
        await self.run(relayed, PINGS)
        extra = relay.passed - self.encoded
        return Wire(extra / (2 * PINGS), spent * 1e6 / (2 * PINGS))

    async def run(self, address: str, count: int) -> None:
        """Send pings and wait for each answer."""
        for number in range(count):
            self._done = trio.Event()
            self._send(self.pool.send, address, Ping(number))
            await self._done.wait()

    def _answer(self, address: str, message: Message) -> None:
        self._send(self.server.send, address, Ack(0))

    def _finish(self, address: str, message: Message) -> None:
        self._done.set()

    def _send(
        self,
        send: Callable[[str, Message], object],
        address: str,
        message: Message,
    ) -> None:
        self.encoded += len(msgspec.msgpack.encode(message))
        send(address, message)


class Bench:
    """Runs one size and prints its row."""

    def __init__(self, size: int, wire: Wire) -> None:
        """Start the daemons."""
        self.wire = wire
        self.size = size
        self.seconds = size * WINDOW / 1000
        self.net = FakeNetwork(SEED)
        self.net.table.lists[0] = bytes(72_000)
        for row in range(ROWS):
            self.net.table.write(f'row{row}', 'x' * 200)
        before = get_memory()
        for number in range(size):
            self.net.start(number, f'zone-{number % ZONES}')
        self.net.run(JOIN)
        self.memory = (get_memory() - before) / size
        self.joined = self.count_views() == size * size

    def run(self) -> str:
        """Return the row of the table."""
        steady = self.measure_steady()
        change = self.measure_change()
        listed = self.measure_list()
        loss = self.measure_loss(1)
        cells = [
            str(self.size),
            *steady,
            f'{self.memory / 1e6:.2f}',
            f'{change / 1000:.2f}',
            f'{listed / 1000:.2f}',
            f'{loss / 1000:.1f}',
        ]
        if self.size > 3 * RACK:
            cells.extend(self.measure_rack())
        else:
            cells.extend(['-', '-'])
        row = ' | '.join(cells)
        return f'| {row} |'

    def measure_steady(self) -> list[str]:
        """Return messages, bytes, processor time and reads per second."""
        old_messages, old_size = self.sum_sent()
        reads = self.net.table.reads
        began = time.process_time()
        self.net.run(WINDOW)
        spent = (time.process_time() - began) * 1e6
        messages, size = self.sum_sent()
        messages -= old_messages
        size -= old_size
        total = self.add_wire(messages, size)
        work = spent + 2 * messages * self.wire.processor_microseconds
        ages = [
            daemon.node.configuration.feed.get_age(self.net.now + daemon.offset)
            for daemon in self.net.daemons.values()
        ]
        return [
            f'{messages / self.seconds:.1f}',
            f'{size / self.seconds:.0f}',
            f'{total / self.seconds:.0f}',
            f'{work / self.seconds / 1e4:.2f}',
            f'{(self.net.table.reads - reads) * 1000 / WINDOW:.0f}',
            f'{max(ages) / 1000:.1f}',
        ]

    def measure_change(self) -> Milliseconds:
        """Return the time until a new record is in force everywhere."""
        version = self.net.table.write('changed', 1)
        return self.wait(
            lambda: all(
                daemon.get_version() >= version
                for daemon in self.net.daemons.values()
            )
        )

    def measure_list(self) -> Milliseconds:
        """Return the time until a new endpoint list is known everywhere."""
        content = bytes(71_000)
        self.net.table.lists[0] = content
        return self.wait(
            lambda: all(
                daemon.node.lists.get_content(0) == content
                for daemon in self.net.daemons.values()
            )
        )

    def measure_loss(self, count: int) -> Milliseconds:
        """Return the time until all see the loss of some daemons."""
        names = list(self.net.daemons)
        for name in names[len(names) - count :]:
            self.net.kill(name)
        running = len(self.net.daemons)
        return self.wait(lambda: self.count_views() == running * running)

    def measure_rack(self) -> list[str]:
        """Return time and peak bytes per daemon second of a switch loss."""
        for name in list(self.net.daemons)[-RACK:]:
            self.net.kill(name)
        old_messages, old_size = self.sum_sent()
        took = self.measure_loss(0)
        messages, size = self.sum_sent()
        total = self.add_wire(messages - old_messages, size - old_size)
        rate = total * 1000 / (took * len(self.net.daemons))
        return [f'{took / 1000:.1f}', f'{rate:.0f}']

    def wait(self, condition: Callable[[], bool]) -> Milliseconds:
        """Return the virtual time until a condition holds."""
        began = self.net.now
        while not condition() and self.net.now - began < LIMIT:
            self.net.run(STEP)
        return self.net.now - began

    def add_wire(self, messages: int, size: int) -> float:
        """Return bytes with HTTP/2 frames, TCP and IP headers."""
        return size + messages * (self.wire.frame_bytes + SEGMENT_BYTES)

    def count_views(self) -> int:
        """Return the number of living members summed over all views."""
        return sum(
            len(daemon.list_ring()) for daemon in self.net.daemons.values()
        )

    def count_payloads(self) -> int:
        """Return the number of known values summed over all daemons."""
        return sum(
            daemon.count_topic('usage') for daemon in self.net.daemons.values()
        )

    def sum_sent(self) -> tuple[int, int]:
        """Return messages and bytes that the running daemons sent."""
        sent = [daemon.sent for daemon in self.net.daemons.values()]
        return sum(pair[0] for pair in sent), sum(pair[1] for pair in sent)


def get_memory() -> int:
    """Return the peak resident bytes of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def measure_payloads(size: int, wire: Wire) -> str:
    """Return time and bytes until all know a value of 40 bytes of each."""
    bench = Bench(size, wire)
    net = bench.net
    old_messages, old_size = bench.sum_sent()
    for name in net.daemons:
        net.feed(name, Publish('usage', bytes(40)))
    took = bench.wait(lambda: bench.count_payloads() == size * size)
    messages, sent = bench.sum_sent()
    total = bench.add_wire(messages - old_messages, sent - old_size)
    rate = total * 1000 / (took * size)
    return f'{size} daemons: {took / 1000:.1f} s, {rate:.0f} B/s'


def main() -> None:
    """Print a table with a row per size."""
    wire = trio.run(measure_wire)
    if PAYLOAD_FLAG in sys.argv:
        for size in PAYLOAD_SIZES:
            print(measure_payloads(size, wire), flush=True)
        return
    print(
        f'seed {SEED}; a message on a grpclib stream costs'
        f' {wire.frame_bytes:.0f} bytes of frames and'
        f' {wire.processor_microseconds:.0f} us per side\n'
    )
    print(
        '| daemons | messages/s | payload B/s | total B/s | % of a core'
        ' | reads/s (all) | oldest confirmation s | core MB | change s'
        ' | list s | loss s | rack loss s | rack loss B/s |'
    )
    print('|', ' --- |' * COLUMNS, sep='')
    for size in SIZES:
        bench = Bench(size, wire)
        print(bench.run(), '' if bench.joined else 'not joined', flush=True)


if __name__ == '__main__':
    main()
