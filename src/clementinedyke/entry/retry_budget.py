"""Retry budget of a service, shared by all daemons."""

from collections import deque

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.host_settings import ServiceBounds

#: Usable part of the budget; the rest covers daemons that join or leave
#: within a window.
_SAFETY_FACTOR = 0.75


class RetryBudget:
    """Limits the retries of a service in a sliding window.

    The limit applies to all daemons together. The part that is proportional
    to the requests needs no coordination, since each daemon counts its own;
    the fixed allowance is divided evenly among the daemons.
    """

    def __init__(
        self, ratio: float, window: Milliseconds, allowance: float
    ) -> None:
        """Create a budget without requests or retries.

        :param ratio: retries allowed per request.
        :param window: length of the sliding window in milliseconds.
        :param allowance: additional retries allowed per window, for all
            daemons together.
        """
        self._ratio = ratio
        self._window = window
        self._allowance = allowance
        self._requests: deque[Milliseconds] = deque()
        self._retries: deque[Milliseconds] = deque()

    def record_request(self, now: Milliseconds) -> None:
        """Record a request of a caller.

        :param now: current instant.
        """
        self._requests.append(now)
        self._evict_expired(now)

    def spend(self, daemons: int, now: Milliseconds) -> bool:
        """Record a retry and return True if the budget allows it.

        :param daemons: daemons that share the allowance, this one included.
        :param now: current instant.
        """
        if self.get_remaining(daemons, now) < 1:
            return False
        self._retries.append(now)
        return True

    def refund(self) -> None:
        """Remove the last retry, which did not reach an endpoint."""
        if self._retries:
            self._retries.pop()

    def charge(self, now: Milliseconds) -> None:
        """Record a retry that was already sent, even beyond the limit.

        :param now: current instant.
        """
        self._retries.append(now)

    def get_remaining(self, daemons: int, now: Milliseconds) -> float:
        """Return the remaining retries, negative if overdrawn.

        :param daemons: daemons that share the allowance, this one included.
        :param now: current instant.
        """
        self._evict_expired(now)
        earned = self._ratio * len(self._requests)
        share = self._allowance / max(1, daemons)
        return _SAFETY_FACTOR * (earned + share) - len(self._retries)

    def _evict_expired(self, now: Milliseconds) -> None:
        oldest = now - self._window
        for instants in (self._requests, self._retries):
            while instants and instants[0] <= oldest:
                instants.popleft()


class RetryBudgets:
    """Retry budgets by service."""

    def __init__(self, bounds: ServiceBounds) -> None:
        """Create an empty set of budgets.

        :param bounds: ratio, window and allowance that every service gets.
        """
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def get_budget(self, service: str) -> RetryBudget:
        """Return the budget of a service, created on first use.

        :param service: name of the service.
        """
        bounds = self._bounds
        return self._budgets.setdefault(
            service,
            RetryBudget(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_allowance
            ),
        )
