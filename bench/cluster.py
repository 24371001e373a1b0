"""Measures cost and latency of membership and configuration by cluster size.

The cores run in one process on virtual time. The cost of HTTP/2 is measured
on a real grpclib stream over loopback and added per message.
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

from cluster_fake import FakeNetwork  # noqa: E402 needs the path above

SIZES = (7, 50, 110, 220, 330)
SEED = 1
ZONES = 5
#: Daemons that fail together when a rack switch fails.
RACK_SIZE = 30
PAYLOAD_FLAG = '--payloads'
PAYLOAD_SIZES = (50, 330)
ROW_COUNT = 500
COLUMN_COUNT = 13
PING_COUNT = 2000
#: Time for all daemons to join before the measurement.
JOIN_TIME: Milliseconds = 30000
MEASURED_TIME: Milliseconds = 10000
STEP: Milliseconds = 50
#: Maximum wait for a condition.
WAIT_LIMIT: Milliseconds = 60000
#: IP and TCP headers (with timestamps) of a segment and its acknowledgement.
SEGMENT_BYTES = 104


@dataclass
class MessageCost:
    """Framing bytes and processor time of one message on a real stream."""

    frame_bytes: float = 0
    processor_microseconds: float = 0


class CountingRelay:
    """TCP relay in front of a port that counts the bytes of both directions."""

    def __init__(self, port: int) -> None:
        """Create a relay.

        :param port: port to connect to.
        """
        self.byte_count = 0
        self.port = 0
        self._port = port

    async def serve(self, client: trio.SocketStream) -> None:
        """Copy bytes both ways until one side closes or resets."""
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
        # Connections that carried orders are closed with a reset.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async for data in source:
                self.byte_count += len(data)
                await target.send_all(data)
        scope.cancel()


async def measure_message_cost() -> MessageCost:
    """Return the cost of a message.

    Processor time is measured without a relay, frame bytes with one.
    """
    listener = bind_daemon_port('127.0.0.1', 0)
    port = listener.getsockname()[1]
    relay = CountingRelay(port)
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, relay.serve, 0, host='127.0.0.1')
        relays = await nursery.start(serve)
        relay.port = relays[0].socket.getsockname()[1]
        async with trio_asyncio.open_loop():
            pings = PingExchange(ControlOptions())
            await trio_asyncio.aio_as_trio(pings.server.start)(listener)
            cost = await pings.measure(port, relay)
            await trio_asyncio.aio_as_trio(pings.pool.close)()
            await trio_asyncio.aio_as_trio(pings.server.close)()
        nursery.cancel_scope.cancel()
    return cost


class PingExchange:
    """Client and server that exchange pings over a link, one at a time."""

    def __init__(self, options: ControlOptions) -> None:
        """Create client and server in the running event loop."""
        clock = MonotonicClock()
        self.encoded_bytes = 0
        self.server = ControlServer(options, clock, self._answer)
        self.pool = LinkPool('client', options, clock, self._finish)
        self._done = trio.Event()

    async def measure(self, port: int, relay: CountingRelay) -> MessageCost:
        """Return the cost of a message.

        :param port: port of the server.
        :param relay: relay to the server, which counts the bytes.
        """
        direct = f'127.0.0.1:{port}'
        await self.run(direct, 10)
        began = time.process_time()
        await self.run(direct, PING_COUNT)
        spent = time.process_time() - began
        relayed = f'127.0.0.1:{relay.port}'
        await self.run(relayed, 10)
        relay.byte_count = 0
        self.encoded_bytes = 0
        await self.run(relayed, PING_COUNT)
        extra = relay.byte_count - self.encoded_bytes
        return MessageCost(
            extra / (2 * PING_COUNT), spent * 1e6 / (2 * PING_COUNT)
        )

    async def run(self, address: str, count: int) -> None:
        """Send pings, each after the acknowledgement of the one before."""
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
        self.encoded_bytes += len(msgspec.msgpack.encode(message))
        send(address, message)


class SizeBenchmark:
    """Simulated cluster of one size and its measurements."""

    def __init__(self, size: int, cost: MessageCost) -> None:
        """Start the daemons and let them join."""
        self.cost = cost
        self.size = size
        self.seconds = size * MEASURED_TIME / 1000
        self.network = FakeNetwork(SEED)
        self.network.table.lists[0] = bytes(72_000)
        for row in range(ROW_COUNT):
            self.network.table.write(f'row{row}', 'x' * 200)
        before = get_peak_memory()
        for number in range(size):
            self.network.start(number, f'zone-{number % ZONES}')
        self.network.run(JOIN_TIME)
        self.memory = (get_peak_memory() - before) / size
        self.is_joined = self.count_visible_members() == size * size

    def run(self) -> str:
        """Return the row of the table."""
        steady = self.measure_steady()
        change = self.measure_row_change()
        listed = self.measure_list_change()
        loss = self.measure_loss(1)
        cells = [
            str(self.size),
            *steady,
            f'{self.memory / 1e6:.2f}',
            f'{change / 1000:.2f}',
            f'{listed / 1000:.2f}',
            f'{loss / 1000:.1f}',
        ]
        if self.size > 3 * RACK_SIZE:
            cells.extend(self.measure_rack())
        else:
            cells.extend(['-', '-'])
        row = ' | '.join(cells)
        return f'| {row} |'

    def measure_steady(self) -> list[str]:
        """Return the cells for a cluster without changes.

        Messages, bytes and processor use are per daemon, reads of the store
        are of all daemons; the last cell is the greatest age of a
        confirmation.
        """
        old_messages, old_size = self.sum_sent()
        reads = self.network.table.reads
        began = time.process_time()
        self.network.run(MEASURED_TIME)
        spent = (time.process_time() - began) * 1e6
        messages, size = self.sum_sent()
        messages -= old_messages
        size -= old_size
        total = self.add_message_overhead(messages, size)
        processor_time = spent + 2 * messages * self.cost.processor_microseconds
        ages = [
            daemon.node.configuration.feed.get_age(
                self.network.now + daemon.offset
            )
            for daemon in self.network.daemons.values()
        ]
        return [
            f'{messages / self.seconds:.1f}',
            f'{size / self.seconds:.0f}',
            f'{total / self.seconds:.0f}',
            f'{processor_time / self.seconds / 1e4:.2f}',
            f'{(self.network.table.reads - reads) * 1000 / MEASURED_TIME:.0f}',
            f'{max(ages) / 1000:.1f}',
        ]

    def measure_row_change(self) -> Milliseconds:
        """Return the time until all daemons have applied a new row."""
        version = self.network.table.write('changed', 1)
        return self.wait(
            lambda: all(
                daemon.get_version() >= version
                for daemon in self.network.daemons.values()
            )
        )

    def measure_list_change(self) -> Milliseconds:
        """Return the time until all daemons have a new endpoint list."""
        content = bytes(71_000)
        self.network.table.lists[0] = content
        return self.wait(
            lambda: all(
                daemon.node.lists.get_content(0) == content
                for daemon in self.network.daemons.values()
            )
        )

    def measure_loss(self, count: int) -> Milliseconds:
        """Return the time until all daemons have dropped those that fail.

        :param count: number of daemons to kill first.
        """
        names = list(self.network.daemons)
        for name in names[len(names) - count :]:
            self.network.kill(name)
        running = len(self.network.daemons)
        return self.wait(
            lambda: self.count_visible_members() == running * running
        )

    def measure_rack(self) -> list[str]:
        """Return detection time and bytes/s per daemon for a rack failure."""
        for name in list(self.network.daemons)[-RACK_SIZE:]:
            self.network.kill(name)
        old_messages, old_size = self.sum_sent()
        took = self.measure_loss(0)
        messages, size = self.sum_sent()
        total = self.add_message_overhead(
            messages - old_messages, size - old_size
        )
        rate = total * 1000 / (took * len(self.network.daemons))
        return [f'{took / 1000:.1f}', f'{rate:.0f}']

    def wait(self, condition: Callable[[], bool]) -> Milliseconds:
        """Return the virtual time until a condition holds, up to a limit."""
        began = self.network.now
        while not condition() and self.network.now - began < WAIT_LIMIT:
            self.network.run(STEP)
        return self.network.now - began

    def add_message_overhead(self, messages: int, size: int) -> float:
        """Return the bytes including HTTP/2 frames and TCP and IP headers."""
        return size + messages * (self.cost.frame_bytes + SEGMENT_BYTES)

    def count_visible_members(self) -> int:
        """Return the number of live members summed over the views of all."""
        return sum(
            len(daemon.list_ring()) for daemon in self.network.daemons.values()
        )

    def count_payloads(self) -> int:
        """Return the number of received payloads summed over all daemons."""
        return sum(
            daemon.count_topic('usage')
            for daemon in self.network.daemons.values()
        )

    def sum_sent(self) -> tuple[int, int]:
        """Return the messages and bytes sent by the running daemons."""
        sent = [daemon.sent for daemon in self.network.daemons.values()]
        return sum(pair[0] for pair in sent), sum(pair[1] for pair in sent)


def get_peak_memory() -> int:
    """Return the peak resident bytes of this process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def measure_payloads(size: int, cost: MessageCost) -> str:
    """Return time and traffic until 40 bytes from each daemon reach all."""
    benchmark = SizeBenchmark(size, cost)
    network = benchmark.network
    old_messages, old_size = benchmark.sum_sent()
    for name in network.daemons:
        network.feed(name, Publish('usage', bytes(40)))
    took = benchmark.wait(lambda: benchmark.count_payloads() == size * size)
    messages, sent = benchmark.sum_sent()
    total = benchmark.add_message_overhead(
        messages - old_messages, sent - old_size
    )
    rate = total * 1000 / (took * size)
    return f'{size} daemons: {took / 1000:.1f} s, {rate:.0f} B/s'


def main() -> None:
    """Print a table with a row per cluster size."""
    cost = trio.run(measure_message_cost)
    if PAYLOAD_FLAG in sys.argv:
        for size in PAYLOAD_SIZES:
            print(measure_payloads(size, cost), flush=True)
        return
    print(
        f'seed {SEED}; a message on a grpclib stream costs'
        f' {cost.frame_bytes:.0f} bytes of frames and'
        f' {cost.processor_microseconds:.0f} us per side\n'
    )
    print(
        '| daemons | messages/s | payload B/s | total B/s | % of a core'
        ' | reads/s (all) | oldest confirmation s | core MB | change s'
        ' | list s | loss s | rack loss s | rack loss B/s |'
    )
    print('|', ' --- |' * COLUMN_COUNT, sep='')
    for size in SIZES:
        benchmark = SizeBenchmark(size, cost)
        print(
            benchmark.run(),
            '' if benchmark.is_joined else 'not joined',
            flush=True,
        )


if __name__ == '__main__':
    main()
