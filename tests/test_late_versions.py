"""Tests of the time from the acknowledgement of a version until it is in force.

A few daemons read the store for the others. The bound holds for each daemon
that runs and reaches the store, whatever happens to those that read for it.
"""

from collections.abc import Callable
from random import Random

import pytest
import trio
from tests.configuration_world import (
    ConfigurationWorld,
    ConfiguredDaemon,
    run_configuration_world,
)

Fault = Callable[[ConfigurationWorld, ConfiguredDaemon], None]

_ZONE = 'zone-1'
#: Seconds from the fault to the acknowledgement: the fault strikes before the
#: readers can pass the version on, or while they still count as alive.
_LEADS = (0, 0.5, 1.9)


def kill(world: ConfigurationWorld, daemon: ConfiguredDaemon) -> None:
    """End a daemon at once."""
    world.kill(daemon)


def freeze(world: ConfigurationWorld, daemon: ConfiguredDaemon) -> None:
    """Let a daemon stand still."""
    world.freeze(daemon)


def cut_daemons(world: ConfigurationWorld, daemon: ConfiguredDaemon) -> None:
    """Cut a daemon off from all others, but not from the store."""
    for other in world.daemons.values():
        world.cut_pair(daemon, other)


def cut_store(world: ConfigurationWorld, daemon: ConfiguredDaemon) -> None:
    """Cut a daemon off from the store."""
    world.cut_store(daemon)


def cut_store_and_zones(
    world: ConfigurationWorld, daemon: ConfiguredDaemon
) -> None:
    """Cut a daemon off from the store and from the other zones."""
    world.cut_store(daemon)
    world.cut_zones(daemon)


def silence(world: ConfigurationWorld, daemon: ConfiguredDaemon) -> None:
    """Let the connection of a daemon to the store go silent."""
    world.silence(daemon)


_FAULTS = (
    kill,
    freeze,
    cut_daemons,
    cut_store,
    cut_store_and_zones,
    silence,
)


def measure_fault(
    daemons: int, fault: Fault, zone: str | None, lead: float
) -> tuple[int, int]:
    """Return the ms until a version is in force, and the bound in ms.

    :param daemons: number of daemons.
    :param fault: strikes the readers.
    :param zone: zone of these readers, None for all zones.
    :param lead: seconds from the fault to the acknowledgement.
    """
    measured: list[int] = []

    async def scenario(world: ConfigurationWorld) -> None:
        for reader in world.list_readers(zone):
            fault(world, reader)
        await trio.sleep(lead)
        measured.append(await world.measure_version(world.write_version()))
        measured.append(world.bound)

    run_configuration_world(daemons, scenario)
    return measured[0], measured[1]


class TestReadersThatFail:
    """Guards against daemons that wait for readers which learn nothing.

    The readers of all zones lost the store, their datagrams went on, and the
    daemons that reached the store did not read it for 3.7 s.
    """

    @pytest.mark.parametrize('lead', _LEADS)
    @pytest.mark.parametrize('zone', [_ZONE, None])
    @pytest.mark.parametrize('fault', _FAULTS)
    def test_small_site(
        self, fault: Fault, zone: str | None, lead: float
    ) -> None:
        """A version is in force in time with one reader in each zone."""
        delay, bound = measure_fault(18, fault, zone, lead)
        assert delay < bound

    @pytest.mark.parametrize('fault', _FAULTS)
    def test_large_site(self, fault: Fault) -> None:
        """The same with two readers in each zone, all of which fail."""
        delay, bound = measure_fault(72, fault, None, 0)
        assert delay < bound

    @pytest.mark.parametrize('fault', _FAULTS)
    def test_right_after_a_version(self, fault: Fault) -> None:
        """The readers fail while they pause after the version before."""
        measured: list[int] = []

        async def scenario(world: ConfigurationWorld) -> None:
            world.write_version()
            await trio.sleep(0.1)
            for reader in world.list_readers():
                fault(world, reader)
            version = world.write_version()
            measured.append(await world.measure_version(version))
            assert measured[0] < world.bound

        run_configuration_world(18, scenario)


class TestReadersThatGoOn:
    """Guards against versions that come back older, or not at all."""

    @pytest.mark.parametrize('pause', [0.4, 1, 3, 6])
    @pytest.mark.parametrize('zone', [_ZONE, None])
    def test_thawed_readers(self, zone: str | None, pause: float) -> None:
        """Readers that stood still bring nothing back and are followed again.

        Their datagrams of the time before arrive after newer versions.
        """

        async def scenario(world: ConfigurationWorld) -> None:
            readers = world.list_readers(zone)
            for reader in readers:
                world.freeze(reader)
            version = world.write_version()
            assert await world.measure_version(version) < world.bound
            await trio.sleep(pause)
            for reader in readers:
                reader.gate.open()
            for _ in range(3):
                newest = world.write_version()
                assert await world.measure_version(newest) < world.bound
                await trio.sleep(0.05)
            versions = {item.view.version for item in world.list_sound()}
            assert versions == {world.version}

        run_configuration_world(18, scenario)

    def test_fault_that_ends(self) -> None:
        """Daemons follow the readers again when these reach the store."""

        async def scenario(world: ConfigurationWorld) -> None:
            readers = world.list_readers()
            for reader in readers:
                world.cut_store(reader)
            await trio.sleep(6)
            for reader in readers:
                reader.access.is_cut = False
            await trio.sleep(10)
            calls = sum(item.access.calls for item in world.daemons.values())
            await trio.sleep(10)
            made = sum(item.access.calls for item in world.daemons.values())
            assert made - calls < 2 * len(world.daemons)
            version = world.write_version()
            assert await world.measure_version(version) < world.bound

        run_configuration_world(18, scenario)


class FaultSchedule:
    """Random faults of readers and other daemons while versions are written.

    Daemons stand still and go on, are cut off and reached again, or end. Some
    daemons never have a fault of their own: the bound holds for these.
    """

    def __init__(self, world: ConfigurationWorld, seed: int) -> None:
        """Create a schedule.

        :param world: daemons.
        :param seed: seed of the choices.
        """
        self._world = world
        self._random = Random(seed)
        hosts = sorted(world.daemons)
        self._spared = set(self._random.sample(hosts, len(hosts) // 4))
        #: Delays in ms of all versions.
        self.delays: list[int] = []

    async def run(self, versions: int) -> None:
        """Write versions, one to 2 s apart, while faults come and go."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._strike)
            for _ in range(versions):
                await trio.sleep(self._random.choice((0.05, 0.4, 1, 2)))
                version = self._world.write_version()
                self.delays.append(await self._world.measure_version(version))
            nursery.cancel_scope.cancel()

    async def _strike(self) -> None:
        while True:
            await trio.sleep(self._random.choice((0, 0.1, 0.7, 1.5)))
            daemons = [
                daemon
                for daemon in self._world.daemons.values()
                if daemon.host not in self._spared
            ]
            readers = [daemon for daemon in daemons if daemon.is_reader]
            pool = readers or daemons
            if not pool:
                return
            fault = self._random.choice(_FAULTS)
            count = self._random.randint(1, len(pool))
            for daemon in self._random.sample(pool, count):
                fault(self._world, daemon)
            await trio.sleep(self._random.choice((0.3, 1, 3)))
            self._world.heal()


class TestRandomFaults:
    """Guards against late versions when faults of readers come in series."""

    @pytest.mark.parametrize('seed', range(12))
    def test_versions_in_time(self, seed: int) -> None:
        """Each version is in force in time where the store is reached."""

        async def scenario(world: ConfigurationWorld) -> None:
            schedule = FaultSchedule(world, seed)
            await schedule.run(8)
            assert max(schedule.delays) < world.bound

        run_configuration_world(24, scenario, seed=seed)
