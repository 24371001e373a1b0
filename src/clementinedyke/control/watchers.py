"""Selects the daemons that poll the platform and schedules their polls."""

import hashlib
import random
from collections.abc import Iterable

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import ConfigurationOptions
from clementinedyke.control.messages import Member

_WEIGHT_BYTES = 8
#: Jitter keeps the watchers from polling at the same time.
_MINIMUM_JITTER = 0.9
_MAXIMUM_JITTER = 1.1
_MINIMUM_BACKOFF_JITTER = 0.5
_MAXIMUM_BACKOFF_JITTER = 1.5
_MAXIMUM_DOUBLINGS = 8


def select_watchers(
    members: Iterable[Member], availability_zone: str, count: int
) -> list[str]:
    """Return the ids of the daemons that poll for an availability zone.

    Uses rendezvous hashing: daemons that know the same members select the same
    watchers, and the loss of a member replaces only that member.

    :param members: living members.
    :param availability_zone: zone whose watchers are selected.
    :param count: maximum number of watchers.
    """
    local = [
        member.daemon_id
        for member in members
        if member.availability_zone == availability_zone
    ]
    return sorted(local, key=_get_weight, reverse=True)[:count]


def _get_weight(daemon_id: str) -> bytes:
    return hashlib.blake2b(
        f'watcher {daemon_id}'.encode(), digest_size=_WEIGHT_BYTES
    ).digest()


class PollSchedule:
    """Decides when this daemon polls the store, with jitter and backoff."""

    def __init__(
        self, random_source: random.Random, options: ConfigurationOptions
    ) -> None:
        """Create a schedule whose first poll is due immediately.

        :param random_source: seeded source of jitter.
        :param options: intervals in milliseconds.
        """
        self._random = random_source
        self._options = options
        self._next: Milliseconds = 0
        self._failures = 0
        self._has_delayed_start = False

    def is_due(
        self, now: Milliseconds, *, is_watcher: bool, is_stale: bool
    ) -> bool:
        """Return whether to poll now, and then schedule the next poll.

        :param now: current time.
        :param is_watcher: whether this daemon polls for its zone.
        :param is_stale: whether the last confirmation is so old that a daemon
            that is no watcher has to poll as well.
        """
        if not is_watcher and not is_stale:
            self._has_delayed_start = False
            self._failures = 0
            return False
        if not is_watcher and not self._has_delayed_start and self._next > 0:
            # When the store fails, the confirmations of all daemons expire
            # together. A random delay spreads their first polls.
            self._has_delayed_start = True
            self._next = now + self._random.randrange(
                self._options.poll_interval
            )
        if now < self._next:
            return False
        self._set_next(now, is_watcher)
        return True

    def record_failure(self) -> None:
        """Increase the backoff of the polls that follow."""
        self._failures += 1

    def record_success(self) -> None:
        """Reset the backoff."""
        self._failures = 0

    def _set_next(self, now: Milliseconds, is_watcher: bool) -> None:
        interval = self._options.poll_interval
        if is_watcher:
            factor = self._random.uniform(_MINIMUM_JITTER, _MAXIMUM_JITTER)
            self._next = now + int(interval * factor)
            return
        mean = min(
            interval << min(self._failures + 1, _MAXIMUM_DOUBLINGS),
            self._options.backoff_limit,
        )
        self._next = now + int(
            mean
            * self._random.uniform(
                _MINIMUM_BACKOFF_JITTER, _MAXIMUM_BACKOFF_JITTER
            )
        )
