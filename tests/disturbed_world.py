"""Daemons whose connections, links and processes are disturbed in series."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from random import Random

import trio
from tests.configuration_world import (
    ConfigurationWorld,
    ConfiguredDaemon,
    get_added_prefix,
)
from tests.platform_standin import StoreStandin
from tests.store_connections import StoreConnections

from clementinedyke.entry.store_contact import StoreContact

#: Time in ms by which the bounds hold again after a disturbance ended, beyond
#: the bound for versions: 3 s on small sites, 4 s on large ones.
_CONTACT_MARGIN = 1000
_HOST = 'desk.example'
#: Calls of a daemon that starts, and the pause between its later calls, which
#: are no calls of its feed.
_USED_AT_ONCE = 4
_USE_SECONDS = (0.5, 4)


@dataclass(frozen=True)
class Acknowledgement:
    """Version that the store accepted at an instant in ms."""

    version: int
    instant: int


class DisturbedWorld(ConfigurationWorld):
    """Daemons with the client of the store and several kept connections."""

    def __init__(self, daemons: int, zones: int, seed: int) -> None:
        """Create the daemons."""
        super().__init__(daemons, zones, seed)
        self.acknowledged: list[Acknowledgement] = []
        #: Instant at which the scenario ended, in ms.
        self.ended_at = 0
        #: First instant at which a host had a version, by host and version.
        self.seen: defaultdict[str, dict[int, int]] = defaultdict(dict)
        #: Versions in force, by host, in order.
        self.history: defaultdict[str, list[int]] = defaultdict(list)
        #: Disturbances of a host: first and last instant.
        self.disturbed: defaultdict[str, list[tuple[int, int]]] = defaultdict(
            list
        )
        for daemon in self.daemons.values():
            daemon.view.change_observers.append(partial(self._record, daemon))

    def write_version(self) -> int:
        """Accept the next version, as the store does, and return it."""
        self.version += 1
        self.store.put('op', 'config', self.version)
        self.acknowledged.append(
            Acknowledgement(self.version, self.clock.get_now())
        )
        return self.version

    def write_invalid(self) -> None:
        """Write content that is no configuration."""
        self.store.put('op', 'config', {'version': self.version + 1})

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all daemons."""
        await super().start(nursery)
        for daemon in self.daemons.values():
            nursery.start_soon(self._use_store, daemon)

    def silence_share(self, share: float, generator: Random) -> None:
        """Let a share of the connections of all daemons go silent."""
        now = self.clock.get_now()
        for daemon in self.daemons.values():
            self.disturbed[daemon.host].append((now, now))
            for stream in tuple(daemon.access.streams):
                if generator.random() < share:
                    stream.silence()

    async def cut(
        self, daemons: Iterable[ConfiguredDaemon], seconds: float
    ) -> None:
        """Cut daemons off from the store and from all others for a while."""
        chosen = list(daemons)
        begun_at = self.clock.get_now()
        for daemon in chosen:
            daemon.access.cut()
            for other in self.daemons.values():
                self.cut_pair(daemon, other)
        await trio.sleep(seconds)
        for daemon in chosen:
            daemon.access.is_cut = False
            ended = (begun_at, self.clock.get_now())
            self.disturbed[daemon.host].append(ended)
        self.cuts.clear()

    async def freeze_for(
        self, daemons: Iterable[ConfiguredDaemon], seconds: float
    ) -> None:
        """Let daemons stand still for a while."""
        chosen = list(daemons)
        begun_at = self.clock.get_now()
        for daemon in chosen:
            daemon.gate.close()
        await trio.sleep(seconds)
        for daemon in chosen:
            daemon.gate.open()
            ended = (begun_at, self.clock.get_now())
            self.disturbed[daemon.host].append(ended)

    def list_late(self) -> list[tuple[str, int, int]]:
        """Return host, version and ms by which it came into force too late.

        The bound holds for a host that was not disturbed for a while.
        """
        late = []
        for daemon in self.list_sound():
            for item in self.acknowledged:
                due_at = self._get_due_time(daemon.host, item)
                seen_at = self._get_seen_time(daemon.host, item.version)
                if seen_at > due_at:
                    late.append((daemon.host, item.version, seen_at - due_at))
        return late

    def list_missing_routes(self) -> list[str]:
        """Return the sound hosts that lack the route of the last version."""
        prefix = get_added_prefix(self.version)
        return [
            daemon.host
            for daemon in self.list_sound()
            if daemon.view.find_route(_HOST, f'{prefix}1') is None
        ]

    def list_returned(self) -> list[str]:
        """Return the hosts at which an older version came back."""
        return [
            host
            for host, versions in self.history.items()
            if versions != sorted(versions)
        ]

    def _record(self, daemon: ConfiguredDaemon) -> None:
        version = daemon.view.version
        self.history[daemon.host].append(version)
        self.seen[daemon.host].setdefault(version, self.clock.get_now())

    def _get_seen_time(self, host: str, version: int) -> int:
        """Return when a host had a version, or the end if it never had."""
        instants = [
            instant
            for seen, instant in self.seen[host].items()
            if seen >= version
        ]
        return min(instants, default=self.ended_at)

    def _get_due_time(self, host: str, item: Acknowledgement) -> int:
        due_at = item.instant + self.bound
        contact_time = self.bound + _CONTACT_MARGIN
        for begun_at, ended_at in sorted(self.disturbed[host]):
            if begun_at <= due_at < ended_at + contact_time:
                due_at = ended_at + contact_time
        return due_at

    async def _use_store(self, daemon: ConfiguredDaemon) -> None:
        """Call the store as usage and evidence do, over several connections."""
        generator = Random(daemon.host)
        async with trio.open_nursery() as nursery:
            for _ in range(_USED_AT_ONCE):
                nursery.start_soon(daemon.access.read_rows)
        while True:
            await trio.sleep(generator.uniform(*_USE_SECONDS))
            await daemon.access.read_rows()

    def _create_store(self) -> StoreStandin:
        return StoreStandin()

    def _create_access(
        self, generator: Random, contact: StoreContact
    ) -> StoreConnections:
        return StoreConnections(self.store, generator, contact, self._spawn)

    def _spawn(self, task: object) -> None:
        self._nursery.start_soon(task)
