"""Rows of table ``members``, through which a new daemon finds the others."""

import random

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.members.control_node import ControlNode

_MILLISECONDS_PER_SECOND = 1000
_RETRY: Milliseconds = 5000
_CLEAN_INTERVAL: Milliseconds = 600_000
_SHORTEST = 0.5
_LONGEST = 1.5


class SeedRows:
    """Writes the row of this daemon once and removes rows of ended ones."""

    def __init__(
        self,
        reader: PlatformReader,
        node: ControlNode,
        random_source: random.Random,
    ) -> None:
        """Create the task.

        :param reader: reads and writes of the platform.
        :param node: cores of this daemon.
        :param random_source: seeded source of jitter.
        """
        self._reader = reader
        self._node = node
        self._random = random_source
        self._ended: set[str] = set()

    async def run(self) -> None:
        """Register, look for daemons that registered meanwhile, then clean."""
        while not await self._reader.register(self._node.membership.view.own):
            await self._sleep(_RETRY)
        while not await self._find_peers():
            await self._sleep(_RETRY)
        while True:
            await self._sleep(_CLEAN_INTERVAL)
            if self._node.configuration.is_watcher:
                await self.clean()

    async def _find_peers(self) -> bool:
        """Read the rows again; return whether they could be read.

        Of two daemons that start at once, the later one to register sees the
        other's row now, which neither saw when it read its seeds.
        """
        addresses = await self._reader.list_seeds()
        self._node.membership.add_seeds(addresses)
        return bool(addresses)

    async def clean(self) -> None:
        """Remove rows of members that were dead at the last pass already."""
        table = self._node.membership.view.table
        ended = {
            member.daemon_id: member
            for member in table.list_members()
            if not member.is_living
        }
        for daemon_id in self._ended & set(ended):
            await self._reader.remove(ended[daemon_id])
        self._ended = set(ended)

    async def _sleep(self, mean: Milliseconds) -> None:
        factor = self._random.uniform(_SHORTEST, _LONGEST)
        await trio.sleep(mean * factor / _MILLISECONDS_PER_SECOND)
