"""Checks the links between this host and the endpoints."""

from collections.abc import Callable, Iterable
from functools import partial

import trio

from clementinedyke.clock import Clock
from clementinedyke.components import Component
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.direct_path import DirectPath
from clementinedyke.entry.endpoint_connections import check_listening
from clementinedyke.tasks import run_guarded, run_restarting

_INTERVAL_SECONDS = 0.25


class PathMonitor(Component):
    """Connects to some endpoints when the links to them may be lost."""

    def __init__(
        self,
        path: DirectPath,
        list_endpoints: Callable[[], Iterable[EntryEndpoint]],
        clock: Clock,
    ) -> None:
        """Create the monitor.

        :param path: state of the links.
        :param list_endpoints: returns the endpoints of all services.
        :param clock: clock of the host.
        """
        self._path = path
        self._list_endpoints = list_endpoints
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._check_done: trio.Event | None = None
        #: Called after the links were lost or regained.
        self.announce: Callable[[], None] = _ignore_change

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        self._nursery = nursery
        nursery.start_soon(run_restarting, self._run, 'path_monitor')

    async def check_is_lost(self) -> bool:
        """Check the links and return whether they are lost.

        A check that is in progress is waited for. It goes on when a task that
        waits for it is cancelled.
        """
        if self._nursery is None:
            return self._path.is_lost
        if self._check_done is None:
            self._check_done = trio.Event()
            check = partial(self._check, self._check_done)
            self._nursery.start_soon(run_guarded, check, 'path_check')
        await self._check_done.wait()
        return self._path.is_lost

    async def _run(self) -> None:
        while True:
            await trio.sleep(_INTERVAL_SECONDS)
            if self._path.is_check_due(self._clock.get_now()):
                await self.check_is_lost()

    async def _check(self, done: trio.Event) -> None:
        results: list[bool | None] = []
        was_lost = self._path.is_lost
        try:
            await self._try_endpoints(results)
        finally:
            self._check_done = None
            done.set()
        if was_lost != self._path.is_lost:
            self.announce()

    async def _try_endpoints(self, results: list[bool | None]) -> None:
        selected = self._path.select_endpoints(self._list_endpoints())
        async with trio.open_nursery() as nursery:
            for endpoint in selected:
                nursery.start_soon(_try_endpoint, endpoint, results)
        self._path.record_check(results, self._clock.get_now())


async def _try_endpoint(
    endpoint: EntryEndpoint, results: list[bool | None]
) -> None:
    results.append(await check_listening(endpoint))


def _ignore_change() -> None:
    """Do nothing; a monitor whose daemon has no others."""
