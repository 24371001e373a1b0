"""Simulation of daemons that learn of versions of the configuration.

A few of them read the store for the others. All fall back to what other daemons
know, as :class:`~clementinedyke.entry.recovery.RecoveryComponent` does.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from types import SimpleNamespace

import trio
from result import Err, Ok, Result
from tests.entry_samples import (
    BOUNDS,
    TrioClock,
    create_configuration,
    create_journal,
    create_route,
)
from tests.recovery_world import Gate, SimulatedStore, StoreAccess
from trio.testing import MockClock

from clementinedyke.clock import ManualClock
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.feed_exchange import FeedExchange
from clementinedyke.entry.news import PeerTable, PeerUpdate
from clementinedyke.entry.recovery import RecoveryComponent
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import FeedPace, TableWatch
from clementinedyke.http.client import Address

_TABLE = 'op'
_KEY = 'config'
_DATAGRAM_SECONDS = (0.0005, 0.003)
_LINK_MEGABITS = 5
_FETCH_SECONDS = 0.02
_FETCH_TIMEOUT_SECONDS = 0.5
_POLL_SECONDS = 0.01
_SETTLE_SECONDS = 15
#: Time after which a version counts as never in force.
_LONGEST_SECONDS = 15
#: Bound of the users for the time from the acknowledgement of a version until
#: it is in force, by the largest number of daemons for which it holds, in ms.
_BOUNDS_BY_SIZE = ((30, 2000), (100, 3000), (1000, 4000))
#: Updates of all daemons to one of them in a second, and the number of
#: intervals after which a daemon without new work sends its next one.
_UPDATES_PER_SECOND = 60
_IDLE_FACTOR = 5


@dataclass
class ConfiguredDaemon:
    """The parts of a daemon that learn of versions."""

    host: str
    zone: str
    access: StoreAccess
    view: ConfigurationView
    watch: TableWatch
    exchange: FeedExchange
    peer_table: PeerTable
    recovery: RecoveryComponent
    scope: trio.CancelScope
    has_fault: bool = False

    @property
    def gate(self) -> Gate:
        """Gate that is closed while the daemon stands still."""
        return self.access.gate

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads for the others of its zone."""
        return self.exchange.is_reader()


class _Network:
    """Socket of one daemon."""

    def __init__(self, host: str, world: 'ConfigurationWorld') -> None:
        self._host = host
        self._world = world

    @property
    def addresses(self) -> dict[str, Address]:
        """Addresses of all daemons; the host stands for the IP address."""
        return {host: Address(host, 1) for host in self._world.daemons}

    async def send(self, payload: bytes, addresses: Iterable[Address]) -> None:
        """Send a datagram, which may be lost."""
        sender = self._world.daemons.get(self._host)
        if sender is None:
            # The daemon was killed in this moment.
            return
        await sender.gate.wait()
        for address in addresses:
            self._world.send(self._host, address.host, payload)


class ConfigurationWorld:
    """Daemons in virtual time, spread evenly over the zones."""

    def __init__(self, daemons: int, zones: int, seed: int) -> None:
        """Create the daemons.

        :param daemons: number of daemons.
        :param zones: number of availability zones.
        :param seed: seed of all random choices.
        """
        self.bound = next(
            bound for size, bound in _BOUNDS_BY_SIZE if daemons <= size
        )
        self.store = self._create_store()
        self.clock = TrioClock()
        self.generator = Random(seed)
        self.daemons: dict[str, ConfiguredDaemon] = {}
        #: Pairs of hosts between which packets get lost, one way each.
        self.cuts: set[tuple[str, str]] = set()
        self.lost_share: float = 0
        self.version = 0
        self._nursery: trio.Nursery | None = None
        self._seed = seed
        self._bounds = replace(
            BOUNDS, configuration_delay=self.bound, drain_delay=self.bound
        )
        self._interval = daemons * _IDLE_FACTOR * 1000 // _UPDATES_PER_SECOND
        for number in range(daemons):
            self._add_daemon(f'host-{number}', f'zone-{number % zones}')

    def list_readers(self, zone: str | None = None) -> list[ConfiguredDaemon]:
        """Return the readers of a zone, or of all zones."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.is_reader and zone in {None, daemon.zone}
        ]

    def list_sound(self) -> list[ConfiguredDaemon]:
        """Return the daemons without a fault, which the bound holds for."""
        return [
            daemon for daemon in self.daemons.values() if not daemon.has_fault
        ]

    def kill(self, daemon: ConfiguredDaemon) -> None:
        """End a daemon at once."""
        daemon.has_fault = True
        daemon.scope.cancel()
        self.daemons.pop(daemon.host)

    def freeze(self, daemon: ConfiguredDaemon) -> None:
        """Let a daemon stand still."""
        daemon.has_fault = True
        daemon.gate.close()

    def cut_store(self, daemon: ConfiguredDaemon) -> None:
        """Lose all packets between a daemon and the store."""
        daemon.has_fault = True
        daemon.access.cut()

    def cut_zones(self, daemon: ConfiguredDaemon) -> None:
        """Lose all packets between a daemon and those of other zones."""
        for other in self.daemons.values():
            if other.zone != daemon.zone:
                self.cut_pair(daemon, other)

    def cut_pair(
        self, first: ConfiguredDaemon, second: ConfiguredDaemon
    ) -> None:
        """Lose all packets between two daemons."""
        self.cuts |= {(first.host, second.host), (second.host, first.host)}

    def silence(self, daemon: ConfiguredDaemon) -> None:
        """Let the open connection of a daemon to the store go silent."""
        daemon.has_fault = True
        daemon.access.silence()

    def heal(self) -> None:
        """End all faults but those of daemons that have ended."""
        self.cuts.clear()
        for daemon in self.daemons.values():
            daemon.access.is_cut = False
            daemon.gate.open()

    def write_version(self) -> int:
        """Accept the next version, as the store does, and return it."""
        self.version += 1
        self.store.put(_KEY, str(self.version).encode())
        return self.version

    async def measure_version(self, version: int) -> int:
        """Return the ms from now until all sound daemons have a version."""
        started_at = self.clock.get_now()
        with trio.move_on_after(_LONGEST_SECONDS):
            while any(
                daemon.view.version < version for daemon in self.list_sound()
            ):
                await trio.sleep(_POLL_SECONDS)
        return self.clock.get_now() - started_at

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all daemons."""
        self._nursery = nursery
        for daemon in self.daemons.values():
            nursery.start_soon(self._run_daemon, daemon)

    def send(self, sender: str, receiver: str, payload: bytes) -> None:
        """Deliver a datagram after a while, or lose it."""
        is_cut = (sender, receiver) in self.cuts
        is_lost = self.generator.random() < self.lost_share
        if self._nursery and sender in self.daemons and not (is_cut or is_lost):
            self._nursery.start_soon(self._deliver, sender, receiver, payload)

    async def _run_daemon(self, daemon: ConfiguredDaemon) -> None:
        await trio.sleep(self.generator.random() * 0.3)
        with daemon.scope:
            async with trio.open_nursery() as nursery:
                await daemon.watch.start(nursery)
                await daemon.exchange.start(nursery)
                await daemon.recovery.start(nursery)
                nursery.start_soon(self._send_updates, daemon)

    async def _deliver(
        self, sender: str, receiver: str, payload: bytes
    ) -> None:
        await trio.sleep(self.generator.uniform(*_DATAGRAM_SECONDS))
        daemon = self.daemons.get(receiver)
        if daemon is not None:
            await daemon.gate.wait()
            await daemon.exchange.receive(payload, Address(sender, 1))

    async def _send_updates(self, daemon: ConfiguredDaemon) -> None:
        await trio.sleep(self.generator.random() * self._interval / 1000)
        sequence = 0
        while True:
            sequence += 1
            await daemon.gate.wait()
            self._send_update(daemon, sequence)
            await trio.sleep(self._interval / 1000)

    def _send_update(self, daemon: ConfiguredDaemon, sequence: int) -> None:
        now = self.clock.get_now()
        age = daemon.view.get_age(now)
        update = PeerUpdate(
            host=daemon.host,
            run_id=daemon.host,
            sequence=sequence,
            version=daemon.view.version,
            configuration_age=-1 if age is None else age,
            endpoints_revision=0,
            interval=self._interval,
            work={},
            read_parts={},
            zone=daemon.zone,
        )
        for other in self.daemons.values():
            is_cut = (daemon.host, other.host) in self.cuts
            is_lost = self.generator.random() < self.lost_share
            if not (is_cut or is_lost or other.gate.is_closed):
                other.peer_table.apply_update(update, now)

    async def _fetch_state(self, host: str, lender: str) -> bool:
        """Copy the state of another daemon."""
        asker = self.daemons[host]
        source = self.daemons.get(lender)
        is_cut = {(host, lender), (lender, host)} & self.cuts
        if source is None or is_cut or source.gate.is_closed:
            await trio.sleep(_FETCH_TIMEOUT_SECONDS)
            await asker.gate.wait()
            return False
        asked_at = self.clock.get_now()
        await trio.sleep(_FETCH_SECONDS)
        content = source.view.content
        age = source.view.get_age(self.clock.get_now())
        await asker.gate.wait()
        if content:
            asker.view.apply_content(content, self.clock.get_now())
        if age is not None:
            asker.view.confirm(asked_at - age)
        return True

    def _list_zones(self, host: str) -> dict[str, list[str]]:
        if host not in self.daemons:
            return {}
        table = self.daemons[host].peer_table
        age = max(1500, 3 * self._interval)
        return table.list_zones(age, self.clock.get_now())

    def _create_store(self) -> SimulatedStore:
        return SimulatedStore()

    def _create_access(
        self, generator: Random, contact: StoreContact
    ) -> StoreAccess:
        return StoreAccess(self.store, generator, contact)

    def _add_daemon(self, host: str, zone: str) -> None:
        generator = Random(f'{self._seed} {host}')
        contact = StoreContact()
        access = self._create_access(generator, contact)
        journal = create_journal(ManualClock())
        pace = FeedPace(lambda: len(self.daemons), self._bounds)
        view = ConfigurationView(_KEY, _decode, journal)
        watch = TableWatch(
            _TABLE, access, view, pace, self.clock, journal, generator
        )
        exchange = FeedExchange(
            host,
            zone,
            _Network(host, self),
            {_TABLE: watch},
            contact,
            self.clock,
            journal,
        )
        exchange.link_megabits = _LINK_MEGABITS
        exchange.list_zones = partial(self._list_zones, host)
        pace.get_turn = exchange.get_turn
        watch.is_followed = exchange.is_followed
        watch.publish = exchange.publish
        peer_table = PeerTable(host)
        recovery = RecoveryComponent(
            peer_table,
            (view, SimpleNamespace(as_of_revision=0)),
            (watch, SimpleNamespace(is_pausing=False)),
            partial(self._fetch_state, host),
            self.clock,
            generator,
        )
        self.daemons[host] = ConfiguredDaemon(
            host,
            zone,
            access,
            view,
            watch,
            exchange,
            peer_table,
            recovery,
            trio.CancelScope(),
        )


def run_configuration_world(
    daemons: int,
    scenario: Callable[[ConfigurationWorld], Awaitable[None]],
    *,
    zones: int = 4,
    seed: int = 1,
    kind: type[ConfigurationWorld] = ConfigurationWorld,
) -> None:
    """Start daemons, let them settle, and run a scenario in virtual time."""

    async def main() -> None:
        world = kind(daemons, zones, seed)
        world.write_version()
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            await trio.sleep(_SETTLE_SECONDS)
            await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def _decode(content: bytes) -> Result:
    if not content.isdigit():
        return Err('no configuration')
    version = int(content)
    route = create_route(prefix=get_added_prefix(version))
    return Ok(create_configuration(version, routes=(create_route(), route)))


def get_added_prefix(version: int) -> str:
    """Return the prefix of the route that a version adds."""
    return f'/added-{version}/'
