"""Tests of versions of the configuration while connections go silent.

72 hosts in five zones share the reads of a store over kept connections, which
go silent while hosts are cut off, stand still, and return as versions are sent.
"""

import functools
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import trio
from tests.configuration_world import ConfiguredDaemon, run_configuration_world
from tests.disturbed_world import DisturbedWorld

_HOSTS = 72
_ZONES = 5
_SEEDS = range(1)
#: Seconds after which all that was missed must have been made up for.
_SETTLE_SECONDS = 9

Scenario = Callable[[DisturbedWorld, Random], Awaitable[None]]


async def silence_all(world: DisturbedWorld, generator: Random) -> None:
    """All connections go silent; a version follows."""
    world.silence_share(1, generator)
    await trio.sleep(generator.choice((0, 0.3, 0.6, 1, 1.9)))
    world.write_version()


async def silence_most(world: DisturbedWorld, generator: Random) -> None:
    """Most connections go silent, twice, with versions in between."""
    for _ in range(2):
        world.silence_share(0.7, generator)
        await trio.sleep(generator.choice((0.1, 0.5, 1)))
        world.write_version()
        await trio.sleep(generator.choice((0.4, 1.5, 3)))


async def lose_readers(world: DisturbedWorld, generator: Random) -> None:
    """Connections go silent while all readers are cut off."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.cut, world.list_readers(), 3)
        world.silence_share(0.6, generator)
        await trio.sleep(0.2)
        world.write_version()


async def meet(world: DisturbedWorld, generator: Random) -> None:
    """Versions are sent during a cut and as the hosts return from it."""
    chosen = choose(world, generator, 12)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.cut, chosen, 3.5)
        await trio.sleep(1)
        world.write_version()
        world.silence_share(0.5, generator)
    world.write_version()


async def race(world: DisturbedWorld, generator: Random) -> None:
    """Two versions are sent at once as hosts return that stood still."""
    chosen = choose(world, generator, 20)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.freeze_for, chosen, 2.5)
        await trio.sleep(2.3)
        world.silence_share(1, generator)
    world.write_version()
    world.write_version()


async def repeat(world: DisturbedWorld, generator: Random) -> None:
    """Versions follow one another while hosts return from a cut."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.cut, world.list_readers(), 2)
        for _ in range(12):
            await trio.sleep(0.25)
            world.write_version()
        world.silence_share(1, generator)
        world.write_version()


def choose(
    world: DisturbedWorld, generator: Random, count: int
) -> list[ConfiguredDaemon]:
    """Return the readers and other hosts."""
    readers = world.list_readers()
    others = [item for item in world.daemons.values() if item not in readers]
    return [*readers, *generator.sample(others, min(count, len(others) // 2))]


_SCENARIOS = (silence_all, silence_most, lose_readers, meet, race, repeat)


@functools.cache
def run_scenario(
    scenario: Scenario, seed: int, hosts: int = _HOSTS
) -> DisturbedWorld:
    """Run a scenario, let the hosts settle, and return the world.

    Content that is no configuration is written before and at the end.
    """
    worlds: list[DisturbedWorld] = []

    async def run(world: DisturbedWorld) -> None:
        worlds.append(world)
        world.write_invalid()
        await scenario(world, Random(seed))
        await trio.sleep(_SETTLE_SECONDS)
        world.ended_at = world.clock.get_now()
        world.write_invalid()
        await trio.sleep(1)

    run_configuration_world(
        hosts, run, zones=_ZONES, seed=seed, kind=DisturbedWorld
    )
    return worlds[0]


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('scenario', _SCENARIOS)
class TestDisturbedVersions:
    """Guards against old versions at hosts whose connections are silent.

    A daemon that had lost one connection to the store repeated its call on
    others that were as old, for 2 s each.
    """

    def test_none_is_late(self, scenario: Scenario, seed: int) -> None:
        """Each version is in force in time at each host in touch."""
        assert run_scenario(scenario, seed).list_late() == []

    def test_none_comes_back(self, scenario: Scenario, seed: int) -> None:
        """No host goes back to an older version."""
        assert run_scenario(scenario, seed).list_returned() == []

    def test_invalid_one_is_not_taken(
        self, scenario: Scenario, seed: int
    ) -> None:
        """Invalid content leaves the last version in force."""
        world = run_scenario(scenario, seed)
        versions = {item.view.version for item in world.list_sound()}
        assert versions == {world.version}

    def test_added_route_is_served(self, scenario: Scenario, seed: int) -> None:
        """Each host has the route that the last version added."""
        assert run_scenario(scenario, seed).list_missing_routes() == []


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('scenario', _SCENARIOS)
class TestSmallSite:
    """The same on a site whose daemons all read for themselves.

    A burst of versions made their calls begin together, just before their
    connections went silent.
    """

    def test_none_is_late(self, scenario: Scenario, seed: int) -> None:
        """Each version is in force in time at each host in touch."""
        assert run_scenario(scenario, seed, 7).list_late() == []
