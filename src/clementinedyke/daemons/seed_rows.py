"""Rows of table ``members``, the seeds by which a new daemon finds peers."""

import random

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.members.control_node import ControlNode

_MILLISECONDS_PER_SECOND = 1000
_RETRY_INTERVAL: Milliseconds = 5000
_CLEANUP_INTERVAL: Milliseconds = 600_000
#: Range of the random factor by which intervals are multiplied.
_MIN_JITTER_FACTOR = 0.5
_MAX_JITTER_FACTOR = 1.5


class SeedRows:
    """Registers this daemon and removes the rows of daemons that are gone."""

    def __init__(
        self,
        reader: PlatformReader,
        node: ControlNode,
        random_source: random.Random,
    ) -> None:
        """Create the task.

        :param reader: client of the platform.
        :param node: control cores of this daemon.
        :param random_source: seeded generator for the jitter of intervals.
        """
        self._reader = reader
        self._node = node
        self._random = random_source
        self._inactive_ids: set[str] = set()

    async def run(self) -> None:
        """Register, find daemons that registered meanwhile, then clean up.

        The clean-up is repeated until the task is cancelled.
        """
        while not await self._reader.register(self._node.membership.view.own):
            await self._sleep_jittered(_RETRY_INTERVAL)
        while not await self._find_peers():
            await self._sleep_jittered(_RETRY_INTERVAL)
        while True:
            await self._sleep_jittered(_CLEANUP_INTERVAL)
            if self._node.configuration.is_watcher:
                await self.remove_inactive_rows()

    async def _find_peers(self) -> bool:
        """Read the seeds again; return whether any were read.

        Two daemons that start at once may both read the seeds before either
        has registered. After registration, the later one sees the row of the
        other.
        """
        addresses = await self._reader.list_seeds()
        self._node.membership.add_seeds(addresses)
        return bool(addresses)

    async def remove_inactive_rows(self) -> None:
        """Remove the rows of members not living now nor at the last pass."""
        table = self._node.membership.view.table
        inactive = {
            member.daemon_id: member
            for member in table.list_members()
            if not member.is_living
        }
        for daemon_id in self._inactive_ids & set(inactive):
            await self._reader.remove(inactive[daemon_id])
        self._inactive_ids = set(inactive)

    async def _sleep_jittered(self, mean: Milliseconds) -> None:
        factor = self._random.uniform(_MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR)
        await trio.sleep(mean * factor / _MILLISECONDS_PER_SECOND)
