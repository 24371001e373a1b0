"""Tests of the checks of the links between a host and the endpoints."""

from random import Random

import pytest
import trio
from tests.entry_samples import create_endpoint, create_journal
from trio.testing import MockClock

from clementinedyke.clock import ManualClock
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.direct_path import DirectPath
from clementinedyke.entry.path_monitor import PathMonitor

_CHECK_SECONDS = 1


class MonitorWorld:
    """A monitor of links on which nothing answers."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Create the monitor.

        :param monkeypatch: replaces the connection to an endpoint.
        """
        self.checks = 0
        self.results: list[bool] = []
        clock = ManualClock()
        self.monitor = PathMonitor(
            DirectPath('zone-a', Random(1), create_journal(clock)),
            lambda: [create_endpoint('i-1')],
            clock,
        )
        monkeypatch.setattr(
            'clementinedyke.entry.path_monitor.check_listening', self.connect
        )

    async def connect(self, endpoint: EntryEndpoint) -> None:
        """Wait for an answer that does not come."""
        self.checks += 1
        await trio.sleep(_CHECK_SECONDS)

    async def ask(self, patience: float) -> None:
        """Ask whether the links are lost, like a request."""
        with trio.move_on_after(patience):
            self.results.append(await self.monitor.check_is_lost())

    async def ask_all(self, patience: tuple[float, ...]) -> None:
        """Ask at the same time as several requests, with a patience each."""
        async with trio.open_nursery() as nursery:
            for seconds in patience:
                nursery.start_soon(self.ask, seconds)


class TestPathMonitor:
    """Guards against requests that wait in vain on links that are cut.

    A check ended without a result when the caller left whose request had asked
    for it, and the other requests took the links for sound.
    """

    def run(self, world: MonitorWorld, patience: tuple[float, ...]) -> None:
        """Let requests ask at the same time, each with its patience in s."""

        async def scenario() -> None:
            async with trio.open_nursery() as nursery:
                await world.monitor.start(nursery)
                await world.ask_all(patience)
                nursery.cancel_scope.cancel()

        trio.run(scenario, clock=MockClock(autojump_threshold=0))

    @pytest.mark.parametrize('patience', [(0.5, 5, 5), (5, 0.5, 5)])
    def test_caller_leaves(
        self, patience: tuple[float, ...], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The others get the result of the check, which is made once."""
        world = MonitorWorld(monkeypatch)
        self.run(world, patience)
        assert world.results == [True, True]
        assert world.checks == 1
