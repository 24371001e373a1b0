"""Wakes a task that waits for changes."""

import trio

from clementinedyke.clock import Milliseconds

_MILLISECONDS_PER_SECOND = 1000


class ChangeSignal:
    """Remembers that something has changed until one task has waited for it."""

    def __init__(self) -> None:
        """Create a signal without a change."""
        self._event = trio.Event()

    def record_change(self) -> None:
        """End the current wait, or the next one if there is none."""
        self._event.set()

    async def wait(self, timeout: Milliseconds) -> None:
        """Wait for a change since the end of the last wait.

        :param timeout: longest wait, in milliseconds.
        """
        with trio.move_on_after(timeout / _MILLISECONDS_PER_SECOND):
            await self._event.wait()
        self._event = trio.Event()
