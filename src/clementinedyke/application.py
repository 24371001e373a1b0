"""Application that starts, drains and stops the components of a process."""

from collections.abc import Sequence

import trio
from absl import logging

from clementinedyke.components import Component


class Application:
    """Runs components through their life cycle: start, drain, stop."""

    def __init__(self, components: Sequence[Component]) -> None:
        """Create an application.

        :param components: components in start order; they drain and stop in
            reverse order.
        """
        self._components = tuple(components)
        self._stop_requested = trio.Event()

    @property
    def components(self) -> tuple[Component, ...]:
        """Components in start order."""
        return self._components

    def request_stop(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""
        self._stop_requested.set()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run until a stop is requested and every component has stopped.

        :param task_status: reported as started once all components have
            started.
        """
        async with trio.open_nursery() as nursery:
            for component in self._components:
                await component.start(nursery)
            logging.info('event=application_started')
            task_status.started()
            await self._stop_requested.wait()
            logging.info('event=application_draining')
            await self._shut_down()
            nursery.cancel_scope.cancel()
        logging.info('event=application_stopped')

    async def _shut_down(self) -> None:
        for draining in reversed(self._components):
            await draining.drain()
        for stopping in reversed(self._components):
            await stopping.stop()
