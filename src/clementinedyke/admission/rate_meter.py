"""Token rates and detection of customers over their fair share."""

import math
from collections.abc import Mapping

from clementinedyke.clock import Milliseconds

_MILLISECONDS_PER_SECOND = 1000
#: Multiple of the mean rate per weight above which a customer is over its
#: share. The larger customers stay below it under normal load.
_EXCESS_FACTOR = 2.5


class RateMeter:
    """Exponentially weighted moving average of a rate in tokens/s."""

    def __init__(self, window: Milliseconds) -> None:
        """Create a meter at 0 tokens/s.

        :param window: time constant of the average.
        """
        self._window = window
        self._tokens = float(0)
        self._updated: Milliseconds = 0

    def add(self, tokens: float, now: Milliseconds) -> None:
        """Count tokens.

        :param tokens: tokens that were consumed.
        :param now: current time.
        """
        self._tokens = self._get_decayed(now) + tokens
        self._updated = now

    def get_rate(self, now: Milliseconds) -> float:
        """Return the rate in tokens/s.

        :param now: current time.
        """
        scale = _MILLISECONDS_PER_SECOND / self._window
        return self._get_decayed(now) * scale

    def _get_decayed(self, now: Milliseconds) -> float:
        age = max(0, now - self._updated)
        return self._tokens * math.exp(-age / self._window)


class ShareMeter:
    """Compares the token rate of each customer with the weighted mean."""

    def __init__(self, window: Milliseconds) -> None:
        """Create a meter without customers.

        :param window: time constant of the averages.
        """
        self._window = window
        self._total = RateMeter(window)
        self._meters: dict[str, RateMeter] = {}
        self._weights: Mapping[str, float] = {}
        self._active_weight = float(0)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights of customers; others have weight 1.

        :param weights: positive weight per customer.
        """
        self._weights = weights
        self._sum_weights()

    def add(self, customer: str, tokens: float, now: Milliseconds) -> None:
        """Count tokens that a customer consumed at this or another daemon.

        :param customer: any customer.
        :param tokens: tokens that it consumed.
        :param now: current time.
        """
        meter = self._meters.get(customer)
        if meter is None:
            meter = RateMeter(self._window)
            self._meters[customer] = meter
            self._active_weight += self._get_weight(customer)
        meter.add(tokens, now)
        self._total.add(tokens, now)

    def is_over_share(self, customer: str, now: Milliseconds) -> bool:
        """Return whether a customer is over its share.

        :param customer: any customer.
        :param now: current time.
        """
        meter = self._meters.get(customer)
        if meter is None:
            return False
        weight = self._get_weight(customer)
        mean = self._total.get_rate(now) / self._active_weight
        return meter.get_rate(now) / weight > _EXCESS_FACTOR * mean

    def remove_idle_customers(self, now: Milliseconds) -> None:
        """Remove customers whose rate has fallen below 1 token/s.

        :param now: current time.
        """
        idle = [
            customer
            for customer, meter in self._meters.items()
            if meter.get_rate(now) < 1
        ]
        for customer in idle:
            self._meters.pop(customer)
        self._sum_weights()

    def _sum_weights(self) -> None:
        self._active_weight = sum(map(self._get_weight, self._meters))

    def _get_weight(self, customer: str) -> float:
        return self._weights.get(customer, 1)
