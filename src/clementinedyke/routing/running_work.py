"""Work of a service that this daemon runs, and the room for more."""

import math

from clementinedyke.routing.types import FreeCapacity

_UNKNOWN = FreeCapacity(math.inf, math.inf)


class RunningWork:
    """Started requests against the room that was reported last."""

    def __init__(self) -> None:
        """Create the work of a service whose room is not known."""
        self._streams = 0
        self._prompt_tokens = 0
        self._limit = _UNKNOWN
        self._excess_limit = _UNKNOWN

    @property
    def has_free_capacity(self) -> bool:
        """Whether a customer within its share may start a request."""
        return self._fits(self._limit)

    @property
    def has_excess_capacity(self) -> bool:
        """Whether a customer over its share may start a request."""
        return self._fits(self._limit) and self._fits(self._excess_limit)

    def set_free_capacity(
        self, room: FreeCapacity, excess_room: FreeCapacity
    ) -> None:
        """Take the work that may start beyond the running work.

        :param room: room of customers within their share.
        :param excess_room: room of the other customers.
        """
        self._limit = self._add_running(room)
        self._excess_limit = self._add_running(excess_room)

    def start(self, prompt_tokens: int) -> None:
        """Count a request that starts.

        :param prompt_tokens: tokens of its prompt.
        """
        self._streams += 1
        self._prompt_tokens += prompt_tokens

    def end_prompt(self, prompt_tokens: int) -> None:
        """Give back the prompt of a request.

        :param prompt_tokens: tokens that were counted at the start.
        """
        self._prompt_tokens -= prompt_tokens

    def end_stream(self) -> None:
        """Give back the stream of a request."""
        self._streams -= 1

    def _fits(self, limit: FreeCapacity) -> bool:
        if self._streams >= limit.streams:
            return False
        return self._prompt_tokens < limit.prompt_tokens

    def _add_running(self, room: FreeCapacity) -> FreeCapacity:
        return FreeCapacity(
            self._streams + room.streams,
            self._prompt_tokens + room.prompt_tokens,
        )
