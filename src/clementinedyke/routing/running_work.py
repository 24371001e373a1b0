"""Work of a service that this daemon runs, and its limits."""

import math

from clementinedyke.routing.types import FreeCapacity

_UNLIMITED = FreeCapacity(math.inf, math.inf)


class RunningWork:
    """Running requests and the limits from the last capacity report."""

    def __init__(self) -> None:
        """Create the state of an idle service whose capacity is unknown.

        Requests are not limited until a capacity has been set.
        """
        self._streams = 0
        self._prompt_tokens = 0
        self._limit = _UNLIMITED
        self._excess_limit = _UNLIMITED

    @property
    def has_free_capacity(self) -> bool:
        """Whether a customer within its fair share may start a request."""
        return self._fits(self._limit)

    @property
    def has_excess_capacity(self) -> bool:
        """Whether a customer over its fair share may start a request."""
        return self._fits(self._limit) and self._fits(self._excess_limit)

    def set_free_capacity(
        self, free_capacity: FreeCapacity, excess_capacity: FreeCapacity
    ) -> None:
        """Set the capacity that is free beside the running work.

        :param free_capacity: capacity for customers within their fair share.
        :param excess_capacity: capacity for customers over their fair share.
        """
        self._limit = self._add_running_work(free_capacity)
        self._excess_limit = self._add_running_work(excess_capacity)

    def start(self, prompt_tokens: int) -> None:
        """Add a request that starts.

        :param prompt_tokens: number of tokens in its prompt.
        """
        self._streams += 1
        self._prompt_tokens += prompt_tokens

    def end_prompt(self, prompt_tokens: int) -> None:
        """Release the prompt tokens of a request.

        :param prompt_tokens: number of tokens added at its start.
        """
        self._prompt_tokens -= prompt_tokens

    def end_stream(self) -> None:
        """Release the stream of a request."""
        self._streams -= 1

    def _fits(self, limit: FreeCapacity) -> bool:
        if self._streams >= limit.streams:
            return False
        return self._prompt_tokens < limit.prompt_tokens

    def _add_running_work(self, free_capacity: FreeCapacity) -> FreeCapacity:
        return FreeCapacity(
            self._streams + free_capacity.streams,
            self._prompt_tokens + free_capacity.prompt_tokens,
        )
