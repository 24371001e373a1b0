"""Token bucket; the caller passes the current time."""

from clementinedyke.clock import Milliseconds

_MILLISECONDS_PER_SECOND = 1000


class TokenBucket:
    """Limits the rate of operations and allows bounded bursts."""

    def __init__(
        self, per_second: float, burst: float, now: Milliseconds
    ) -> None:
        """Create a full bucket.

        :param per_second: operations added per second.
        :param burst: capacity of the bucket in operations.
        :param now: current time in milliseconds.
        """
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._updated = now

    def set_rate(self, per_second: float) -> None:
        """Change the rate; it also applies to the time since the last take.

        :param per_second: operations added per second.
        """
        self._per_second = per_second

    def take(self, now: Milliseconds, amount: float = 1) -> bool:
        """Take tokens if there are enough and return whether they were taken.

        :param now: current time in milliseconds.
        :param amount: tokens to take.
        """
        elapsed = max(0, now - self._updated)
        self._updated = max(now, self._updated)
        added = elapsed * self._per_second / _MILLISECONDS_PER_SECOND
        self._tokens = min(self._burst, self._tokens + added)
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
