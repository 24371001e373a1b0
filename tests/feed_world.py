"""Simulation of daemons of several zones that share the reads of a store."""

import math
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import trio
from result import Ok, Result
from tests.entry_samples import (
    BOUNDS,
    TrioClock,
    create_endpoint,
    create_journal,
)
from tests.recovery_world import SimulatedStore, StoreAccess
from trio.testing import MockClock

from clementinedyke.clock import ManualClock
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.feed_exchange import FeedExchange
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import FeedPace, TableWatch
from clementinedyke.http.client import Address

ZONES = 6
DRAIN_DELAY = BOUNDS.drain_delay
_TABLE = 'servers'
_DATAGRAM_SECONDS = (0.0005, 0.003)
_LINK_MEGABITS = 20
_POLL_SECONDS = 0.02
#: Time after which a change counts as never seen.
_LONGEST_CHANGE_SECONDS = 10


@dataclass
class Faults:
    """Faults of the network between the daemons.

    ``delays`` has the seconds by which the datagrams of a host arrive later, as
    those of a daemon that stands still. ``queue_bytes`` is what the link of a
    host holds; it loses what does not fit.
    """

    lost_share: float = 0
    queue_bytes: float = math.inf
    delays: dict[str, float] = field(default_factory=dict)


@dataclass
class FeedDaemon:
    """The parts of a daemon that follow the store."""

    host: str
    zone: str
    access: StoreAccess
    view: EndpointView
    watch: TableWatch
    exchange: FeedExchange
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads for the others of its zone."""
        return self.exchange.is_reader()

    def list_ids(self) -> set[str]:
        """Return the ids of the endpoints that may get requests."""
        now = TrioClock().get_now()
        return {
            endpoint.endpoint_id
            for endpoint in self.view.list_endpoints(now)
            if not endpoint.is_leaving
        }


class SimulatedNetwork:
    """Socket of one daemon."""

    def __init__(self, host: str, world: 'FeedWorld') -> None:
        """Create the socket of a host."""
        self._host = host
        self._world = world

    @property
    def addresses(self) -> dict[str, Address]:
        """Addresses of all daemons; the host stands for the IP address."""
        return {host: Address(host, 1) for host in self._world.daemons}

    async def send(self, payload: bytes, addresses: Iterable[Address]) -> None:
        """Send a datagram, which may be lost."""
        for address in addresses:
            self._world.send(self._host, address.host, payload)


class FeedWorld:
    """Daemons in virtual time, spread evenly over the zones."""

    def __init__(
        self, daemons: int, seed: int, *, shares_reads: bool = True
    ) -> None:
        """Create the daemons.

        :param daemons: number of daemons.
        :param seed: seed of all random choices.
        :param shares_reads: whether some daemons read for others.
        """
        self.store = SimulatedStore()
        self.clock = TrioClock()
        self.faults = Faults()
        self.generator = Random(seed)
        self.daemons: dict[str, FeedDaemon] = {}
        self.nursery: trio.Nursery | None = None
        #: Sizes of all datagrams.
        self.sent: list[int] = []
        #: Seconds at which the link of a host has sent what it holds.
        self._link_free_at: dict[str, float] = {}
        self._shares_reads = shares_reads
        self._seed = seed
        for number in range(daemons):
            self._add_daemon(f'host-{number}', f'zone-{number % ZONES}')

    @property
    def calls(self) -> int:
        """Calls to the store of all daemons so far."""
        return sum(daemon.access.calls for daemon in self.daemons.values())

    def list_readers(self, zone: str) -> list[FeedDaemon]:
        """Return the readers of a zone."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.zone == zone and daemon.is_reader
        ]

    def kill(self, daemon: FeedDaemon) -> None:
        """End a daemon at once."""
        daemon.scope.cancel()
        self.daemons.pop(daemon.host)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all daemons."""
        self.nursery = nursery
        for daemon in self.daemons.values():
            nursery.start_soon(self._run_daemon, daemon)

    def send(self, sender: str, receiver: str, payload: bytes) -> None:
        """Deliver a datagram after a while, or lose it."""
        if self.nursery is None or sender not in self.daemons:
            return
        self.sent.append(len(payload))
        fits = self._queue(sender, len(payload))
        if fits and self.generator.random() >= self.faults.lost_share:
            self.nursery.start_soon(self._deliver, sender, receiver, payload)

    async def measure_change(self, endpoint_id: str) -> int:
        """Remove an entry; return the ms until no daemon would use it."""
        self.store.remove(endpoint_id)
        removed_at = self.clock.get_now()
        with trio.move_on_after(_LONGEST_CHANGE_SECONDS):
            while any(
                endpoint_id in daemon.list_ids()
                for daemon in self.daemons.values()
            ):
                await trio.sleep(_POLL_SECONDS)
        return self.clock.get_now() - removed_at

    def _queue(self, sender: str, size: int) -> bool:
        """Put a datagram into a link; return whether it fits."""
        now = trio.current_time()
        started_at = max(now, self._link_free_at.get(sender, now))
        rate = _LINK_MEGABITS * 125000
        if (started_at - now) * rate + size > self.faults.queue_bytes:
            return False
        self._link_free_at[sender] = started_at + size / rate
        return True

    async def _run_daemon(self, daemon: FeedDaemon) -> None:
        await trio.sleep(self.generator.random() * 0.3)
        with daemon.scope:
            async with trio.open_nursery() as nursery:
                await daemon.watch.start(nursery)
                if self._shares_reads:
                    await daemon.exchange.start(nursery)

    async def _deliver(
        self, sender: str, receiver: str, payload: bytes
    ) -> None:
        delay = self.generator.uniform(*_DATAGRAM_SECONDS)
        await trio.sleep(delay + self.faults.delays.get(sender, 0))
        daemon = self.daemons.get(receiver)
        if daemon is not None:
            await daemon.exchange.receive(payload, Address(sender, 1))

    def _list_zones(self, host: str) -> dict[str, list[str]]:
        zones: dict[str, list[str]] = {}
        for daemon in self.daemons.values():
            if daemon.host != host:
                zones.setdefault(daemon.zone, []).append(daemon.host)
        return zones

    def _add_daemon(self, host: str, zone: str) -> None:
        generator = Random(f'{self._seed} {host}')
        contact = StoreContact()
        access = StoreAccess(self.store, generator, contact)
        journal = create_journal(ManualClock())
        pace = FeedPace(lambda: len(self.daemons), BOUNDS)
        view = EndpointView(
            _decode_entry, DRAIN_DELAY, pace.get_pause, contact, journal
        )
        watch = TableWatch(
            _TABLE, access, view, pace, self.clock, journal, generator
        )
        exchange = FeedExchange(
            host,
            zone,
            SimulatedNetwork(host, self),
            {_TABLE: watch},
            contact,
            self.clock,
            journal,
        )
        exchange.link_megabits = _LINK_MEGABITS
        exchange.list_zones = lambda: self._list_zones(host)
        pace.get_turn = exchange.get_turn
        watch.is_followed = exchange.is_followed
        watch.publish = exchange.publish
        self.daemons[host] = FeedDaemon(
            host, zone, access, view, watch, exchange
        )


def run_feed_world(
    daemons: int,
    scenario: Callable[[FeedWorld], Awaitable[None]],
    *,
    seed: int = 1,
    shares_reads: bool = True,
) -> None:
    """Start daemons, let them settle, and run a scenario in virtual time."""

    async def main() -> None:
        world = FeedWorld(daemons, seed, shares_reads=shares_reads)
        for number in range(10):
            world.store.put(f'i-{number}', b'ready')
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            await trio.sleep(15)
            await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def _decode_entry(endpoint_id: str, content: bytes) -> Result:
    return Ok(create_endpoint(endpoint_id, is_leaving=content == b'leaving'))
