"""Since when all changes of a table have been seen."""

from clementinedyke.clock import Milliseconds

#: Longest time without news of the store after which nothing was missed: an
#: endpoint's entry stays for three of its heartbeats of 1.2 s, so one that came
#: and went meanwhile is still listed.
_MAX_UNSEEN: Milliseconds = 3500


class Continuity:
    """Instants between which no change of a table was missed."""

    def __init__(self) -> None:
        """Create a record that covers no time."""
        self._complete_since: Milliseconds | None = None
        self._known_until: Milliseconds = 0

    def record_confirmation(self, as_of: Milliseconds) -> None:
        """Record that all changes up to an instant are known.

        :param as_of: instant on the clock of this host.
        """
        is_gap = as_of - self._known_until > _MAX_UNSEEN
        if self._complete_since is None or is_gap:
            self._complete_since = as_of
        self._known_until = max(self._known_until, as_of)

    def covers(self, since: Milliseconds, now: Milliseconds) -> bool:
        """Return whether no change can have been missed since an instant.

        :param since: instant on the clock of this host.
        :param now: current instant.
        """
        first = self._complete_since
        is_recent = now - self._known_until <= _MAX_UNSEEN
        return first is not None and first <= since and is_recent
