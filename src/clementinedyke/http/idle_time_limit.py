"""Learns for how long a peer keeps connections that rest."""

import math

from clementinedyke.clock import Milliseconds

#: A dropped connection had rested longer than its peer keeps them; a quarter
#: of that is below the peer's limit after one or two drops.
_DROP_FACTOR = 4
#: Shorter rests are not worth a new connection.
_MIN_LIMIT: Milliseconds = 100
#: Without another drop in this time the limit is given up.
_MEMORY: Milliseconds = 60000
#: After a fresh connection broke, no drop is learned for this time: peers that
#: break off work do so on old and new connections alike.
_DOUBT: Milliseconds = 5000


class IdleTimeLimit:
    """Limit of the rest of kept connections to like peers.

    Some endpoints drop idle connections without notice. The next request on
    such a connection is lost, and one that may run once only can't be sent
    again.
    """

    def __init__(self) -> None:
        """Create a limit that lets every connection rest."""
        self._limit = math.inf
        self._dropped_at: Milliseconds = 0
        self._broken_at: Milliseconds | None = None

    def get_limit(self, now: Milliseconds) -> float:
        """Return the longest rest after which a connection is used, in ms.

        :param now: current instant.
        """
        if now - self._dropped_at >= _MEMORY:
            self._limit = math.inf
        return self._limit

    def record_reset(
        self, rest: Milliseconds | None, now: Milliseconds
    ) -> bool:
        """Take that a connection broke as soon as a request was sent.

        Tells whether it was dropped while it rested.

        :param rest: how long it had rested, None for a new connection.
        :param now: current instant.
        """
        if rest is None or rest < _MIN_LIMIT:
            self._limit = math.inf
            self._broken_at = now
            return False
        if self._broken_at is not None and now - self._broken_at < _DOUBT:
            return False
        self._note_dropped(rest, now)
        return True

    def _note_dropped(self, rest: Milliseconds, now: Milliseconds) -> None:
        shortest = min(self.get_limit(now), rest)
        self._limit = max(_MIN_LIMIT, shortest / _DROP_FACTOR)
        self._dropped_at = now
