"""Share of one daemon in the retries that a service may get."""

from collections import deque

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.host_settings import ServiceBounds

#: Part of the allowance that is spent; the rest covers daemons that join or
#: leave within a window.
_SAFETY = 0.75


class RetryBudget:
    """Counts requests and repeated sends of one service in a sliding window.

    The limit holds for all daemons together. The part that grows with the
    requests needs no agreement; the fixed allowance is split evenly.
    """

    def __init__(
        self, ratio: float, window: Milliseconds, allowance: float
    ) -> None:
        """Create an unspent budget.

        :param ratio: repeated sends per request.
        :param window: length of the sliding window in milliseconds.
        :param allowance: repeated sends in a window beyond the ratio, of all
            daemons together.
        """
        self._ratio = ratio
        self._window = window
        self._allowance = allowance
        self._requests: deque[Milliseconds] = deque()
        self._repeats: deque[Milliseconds] = deque()

    def record_request(self, now: Milliseconds) -> None:
        """Count a caller's request.

        :param now: current instant.
        """
        self._requests.append(now)
        self._forget(now)

    def spend(self, daemons: int, now: Milliseconds) -> bool:
        """Count a repeated send if the budget allows it.

        :param daemons: daemons that share the allowance, this one included.
        :param now: current instant.
        """
        if self.get_remaining(daemons, now) < 1:
            return False
        self._repeats.append(now)
        return True

    def refund(self) -> None:
        """Take the last repeated send off: it reached no endpoint."""
        if self._repeats:
            self._repeats.pop()

    def charge(self, now: Milliseconds) -> None:
        """Count a repeated send that has been made, allowed or not.

        :param now: current instant.
        """
        self._repeats.append(now)

    def get_remaining(self, daemons: int, now: Milliseconds) -> float:
        """Return how many repeated sends are left.

        :param daemons: daemons that share the allowance, this one included.
        :param now: current instant.
        """
        self._forget(now)
        earned = self._ratio * len(self._requests)
        share = self._allowance / max(1, daemons)
        return _SAFETY * (earned + share) - len(self._repeats)

    def _forget(self, now: Milliseconds) -> None:
        oldest = now - self._window
        for instants in (self._requests, self._repeats):
            while instants and instants[0] <= oldest:
                instants.popleft()


class RetryBudgets:
    """The budgets of a daemon by service."""

    def __init__(self, bounds: ServiceBounds) -> None:
        """Create unspent budgets.

        :param bounds: ratio, window and allowance of each service.
        """
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def get_budget(self, service: str) -> RetryBudget:
        """Return the budget of a service.

        :param service: name of the service.
        """
        bounds = self._bounds
        return self._budgets.setdefault(
            service,
            RetryBudget(
                bounds.retry_ratio, bounds.retry_window, bounds.retry_allowance
            ),
        )
