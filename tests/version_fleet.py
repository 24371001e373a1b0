"""Daemons that tell each other the versions of streams, in memory."""

from collections.abc import Iterable, Mapping
from functools import partial

import trio
from tests.entry_samples import create_endpoint, create_journal
from trio.testing import MockClock

from clementinedyke.clock import ManualClock
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.continuity import Continuity
from clementinedyke.entry.peer_network import Receiver
from clementinedyke.entry.stream_versions import compute_id
from clementinedyke.entry.version_finder import VersionFinder
from clementinedyke.http.client import Address

SERVICE = 'chat'
LIFETIME = 9000
_CONFIRMATION_INTERVAL = 1000
_ZONES = ('zone-a', 'zone-b', 'zone-c')


class FleetStore:
    """Versions that have endpoints; down while ``is_down``."""

    def __init__(self) -> None:
        """Create a store with endpoints of one version."""
        self.versions = {'v0'}
        self.is_down = False

    def list_endpoints(self) -> list[EntryEndpoint]:
        """Return an endpoint of each version."""
        return [
            create_endpoint(f'i-{version}', version=version)
            for version in sorted(self.versions)
        ]


class FleetDaemon:
    """One start of a daemon: its network, its view and its versions.

    ``is_up`` and ``is_frozen`` tell whether it receives datagrams, and
    ``has_store`` whether it sees changes of the store.
    """

    def __init__(self, fleet: 'VersionFleet', number: int) -> None:
        """Start the daemon."""
        self.fleet = fleet
        self.number = number
        self.zone = _ZONES[number % len(_ZONES)]
        self.is_up = True
        self.is_frozen = False
        self.has_store = True
        self.continuity = Continuity()
        self.receive_message: Receiver = self._ignore
        self.versions = VersionFinder(
            self,
            self,
            self,
            self.zone,
            fleet.clock,
            create_journal(fleet.clock),
        )
        self.versions.list_active = self.list_active

    @property
    def addresses(self) -> Mapping[str, Address]:
        """Addresses of all other daemons, killed ones included."""
        return {
            f'host-{number}': Address('127.0.0.1', number)
            for number in range(len(self.fleet.daemons))
            if number != self.number
        }

    def get_zone(self, host: str) -> str:
        """Return the zone of a daemon."""
        number = int(host.removeprefix('host-'))
        return _ZONES[number % len(_ZONES)]

    def list_active(self) -> frozenset[str]:
        """Return the hosts of the daemons that were not killed."""
        return frozenset(
            f'host-{daemon.number}'
            for daemon in self.fleet.daemons
            if daemon.is_up
        )

    async def send(self, payload: bytes, addresses: Iterable[Address]) -> None:
        """Deliver a datagram unless it is lost."""
        for address in addresses:
            await self.fleet.deliver(self, address.port, payload)

    async def read(self) -> list[EntryEndpoint] | None:
        """Read the endpoints from the store."""
        if self.fleet.store.is_down or not self.has_store:
            return None
        return self.fleet.store.list_endpoints()

    def follow_store(self) -> None:
        """Bring the view up to date if the store is reached."""
        if self.fleet.store.is_down or not (self.has_store and self.is_up):
            return
        now = self.fleet.clock.get_now()
        self.continuity.record_confirmation(now)
        self.versions.history.record_endpoints(
            self.fleet.store.list_endpoints(), now
        )

    def add_receiver(self, prefix: bytes, receiver: Receiver) -> None:
        """Have all datagrams processed; the fleet has one kind of them."""
        self.receive_message = receiver

    async def _ignore(self, payload: bytes, sender: Address) -> None:
        """Drop a datagram that comes before the daemon has started."""


class VersionFleet:
    """Daemons, the store, the network and the streams that callers know."""

    def __init__(self, count: int) -> None:
        """Start the daemons."""
        self.clock = ManualClock()
        self.store = FleetStore()
        self.cut_zone: str | None = None
        self.losses = 0
        self.datagrams: list[bytes] = []
        #: Version and instant of the first event by request id.
        self.streams: dict[str, tuple[str, int]] = {}
        self.daemons: list[FleetDaemon] = []
        for number in range(count):
            self.daemons.append(FleetDaemon(self, number))
        self.follow_store()

    def follow_store(self) -> None:
        """Bring the views of all daemons up to date."""
        for daemon in self.daemons:
            daemon.follow_store()

    def advance(self, duration: int) -> None:
        """Let time pass, while views that reach the store are confirmed."""
        while duration > 0:
            step = min(duration, _CONFIRMATION_INTERVAL)
            self.clock.advance(step)
            self.follow_store()
            duration -= step

    def restart(self, number: int) -> None:
        """Kill a daemon and start it again without memory."""
        self.daemons[number].is_up = False
        self.daemons[number] = FleetDaemon(self, number)
        self.daemons[number].follow_store()
        self.announce_start(number)

    def restart_all(self) -> None:
        """Kill all daemons at once and start them again without memory."""
        for killed in self.daemons:
            killed.is_up = False
        for daemon in tuple(self.daemons):
            self.restart(daemon.number)

    def announce_start(self, number: int) -> None:
        """Let the others hear from a daemon that has started."""
        for daemon in self.daemons:
            if self.reaches(self.daemons[number], daemon):
                tell = partial(daemon.versions.tell, f'host-{number}')
                trio.run(tell, clock=MockClock(autojump_threshold=0))

    def reaches(self, one: FleetDaemon, other: FleetDaemon) -> bool:
        """Return whether datagrams get from one daemon to another."""
        if not (one.is_up and other.is_up) or other.is_frozen:
            return False
        return one.zone == other.zone or self.cut_zone not in {
            one.zone,
            other.zone,
        }

    async def deliver(
        self, sender: FleetDaemon, number: int, payload: bytes
    ) -> None:
        """Deliver a datagram unless it is lost or its way is cut."""
        self.datagrams.append(payload)
        target = self.daemons[number]
        if self.losses:
            self.losses -= 1
            return
        if self.reaches(sender, target):
            address = Address('127.0.0.1', sender.number)
            await target.receive_message(payload, address)

    def begin(self, number: int, version: str) -> str:
        """Let a daemon forward the first event of a stream; return its id."""
        request_id = f'r-{len(self.streams)}'
        self.streams[request_id] = (version, self.clock.get_now())
        announce = partial(
            self.daemons[number].versions.announce,
            request_id,
            version,
            LIFETIME,
        )
        trio.run(announce, clock=MockClock(autojump_threshold=0))
        return request_id

    def find(self, number: int, request_id: str | None) -> str | None:
        """Return the version of a stream as a daemon finds it."""
        find = partial(
            self.daemons[number].versions.find_version,
            SERVICE,
            request_id,
            LIFETIME,
        )
        return trio.run(find, clock=MockClock(autojump_threshold=0))

    def is_known(self, number: int, request_id: str) -> bool:
        """Return whether a daemon or one that it reaches knows a stream."""
        asker = self.daemons[number]
        stream = compute_id(request_id)
        now = self.clock.get_now()
        return any(
            daemon.versions.streams.get_version(stream, now) is not None
            for daemon in self.daemons
            if daemon is asker or self.can_ask(asker, daemon)
        )

    def can_ask(self, one: FleetDaemon, other: FleetDaemon) -> bool:
        """Return whether a question and its answer get through."""
        return self.reaches(one, other) and self.reaches(other, one)
