"""Estimates how long peers keep idle connections open."""

import math

from clementinedyke.clock import Milliseconds

#: A dropped connection was idle for longer than its peer's idle timeout. A
#: quarter of that time is below the timeout after one or two drops.
_DROP_DIVISOR = 4
#: A lower limit would open new connections for little gain.
_MIN_LIMIT: Milliseconds = 100
#: Time after the last drop at which the limit is removed.
_LIMIT_LIFETIME: Milliseconds = 60000
#: Time after the reset of a new or just used connection in which resets are
#: not counted as drops: a peer that fails while processing requests resets
#: new and idle connections alike.
_DROP_DETECTION_PAUSE: Milliseconds = 5000


class IdleTimeLimit:
    """Adaptive limit of the idle time of connections to similar peers.

    Some endpoints drop idle connections without notice. The next request on
    such a connection is lost, and it can't be retried unless it is
    idempotent.
    """

    def __init__(self) -> None:
        """Create an infinite limit."""
        self._limit = math.inf
        self._dropped_at: Milliseconds = 0
        self._active_reset_at: Milliseconds | None = None

    def get_limit(self, now: Milliseconds) -> float:
        """Return the maximum idle time of a connection that may be reused.

        The limit is in milliseconds, infinite while no drop is known.

        :param now: current time on the caller's monotonic clock.
        """
        if now - self._dropped_at >= _LIMIT_LIFETIME:
            self._limit = math.inf
        return self._limit

    def record_reset(
        self, idle_time: Milliseconds | None, now: Milliseconds
    ) -> bool:
        """Record a reset that followed a request immediately.

        Returns whether it counts as a drop of an idle connection.

        :param idle_time: idle time before the request, None if the connection
            was new.
        :param now: current time on the caller's monotonic clock.
        """
        if idle_time is None or idle_time < _MIN_LIMIT:
            self._limit = math.inf
            self._active_reset_at = now
            return False
        if (
            self._active_reset_at is not None
            and now - self._active_reset_at < _DROP_DETECTION_PAUSE
        ):
            return False
        self._record_drop(idle_time, now)
        return True

    def _record_drop(self, idle_time: Milliseconds, now: Milliseconds) -> None:
        shortest = min(self.get_limit(now), idle_time)
        self._limit = max(_MIN_LIMIT, shortest / _DROP_DIVISOR)
        self._dropped_at = now
