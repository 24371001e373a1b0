"""Measures how late the event loop of the daemon runs its tasks."""

import trio
from prometheus_client import CollectorRegistry, Histogram

from clementinedyke.components import Component
from clementinedyke.tasks import run_restarting

_INTERVAL_SECONDS = 0.1
#: In seconds; the drain delay, the shortest bound, is 2 to 3 s.
_BUCKETS = (0.02, 0.1, 0.25, 0.5, 1, 2)


class EventLoopMonitor(Component):
    """Records the delay of a task that wakes up at a fixed interval."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the monitor.

        :param registry: registry that the histogram is added to.
        """
        self._delays = Histogram(
            'clementinedyke_entry_event_loop_delay_seconds',
            'Delay of a task that wakes up every 0.1 s.',
            buckets=_BUCKETS,
            registry=registry,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(run_restarting, self._run, 'event_loop')

    async def _run(self) -> None:
        while True:
            due_at = trio.current_time() + _INTERVAL_SECONDS
            await trio.sleep_until(due_at)
            self._delays.observe(trio.current_time() - due_at)
