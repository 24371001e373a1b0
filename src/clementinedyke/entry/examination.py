"""Result of a connection made to see whether an endpoint still runs."""

import trio

from clementinedyke.clock import Milliseconds


class Examination:
    """Examination of an endpoint, which may be in progress.

    ``is_listening`` is whether a process listens at the endpoint's address,
    None while this is unknown. ``started_at`` is the instant at which the
    examination began.
    """

    def __init__(self, started_at: Milliseconds) -> None:
        """Create an examination in progress.

        :param started_at: current instant.
        """
        self.started_at = started_at
        self.is_listening: bool | None = None
        self._done = trio.Event()

    def finish(self, *, is_listening: bool | None) -> None:
        """Set the result.

        :param is_listening: whether a process listens, None if the endpoint
            did not answer.
        """
        self.is_listening = is_listening
        self._done.set()

    async def wait(self) -> None:
        """Wait until the examination is finished."""
        await self._done.wait()
