"""Tells an outage of the store from one of this daemon's connection to it."""

from clementinedyke.clock import Milliseconds

#: Shortest time without any answer of the store after which an entry may have
#: lapsed: endpoints write theirs every 1.2 s, and three misses remove it.
_MIN_SILENCE: Milliseconds = 2000


class StoreContact:
    """Instants at which the store answered this daemon or another one."""

    def __init__(self) -> None:
        """Create a record without answers."""
        self._own_answer_at: Milliseconds | None = None
        self._last_answer_at: Milliseconds | None = None
        self._silence_ended_at: Milliseconds | None = None

    def get_age(self, now: Milliseconds) -> Milliseconds | None:
        """Return the ms since the store answered this daemon, None if never.

        :param now: current instant.
        """
        answered_at = self._own_answer_at
        return None if answered_at is None else now - answered_at

    def record_answer(self, now: Milliseconds) -> None:
        """Record an answer to this daemon.

        :param now: current instant.
        """
        self._own_answer_at = now
        self.record_remote_answer(now)

    def record_remote_answer(self, instant: Milliseconds) -> None:
        """Record an answer to another daemon.

        :param instant: instant of the answer, on the clock of this host.
        """
        last = self._last_answer_at
        if last is not None and instant <= last:
            return
        if last is not None and instant - last >= _MIN_SILENCE:
            self._silence_ended_at = instant
        self._last_answer_at = instant

    def was_silent(self, window: Milliseconds, now: Milliseconds) -> bool:
        """Return whether the store answered nobody for a while.

        True if no answer has been recorded yet.

        :param window: time before now in which the silence lasted or ended,
            in milliseconds.
        :param now: current instant.
        """
        last = self._last_answer_at
        if last is None or now - last >= _MIN_SILENCE:
            return True
        ended_at = self._silence_ended_at
        return ended_at is not None and now - ended_at < window
