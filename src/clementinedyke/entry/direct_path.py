"""Decides whether this host reaches the endpoints over links of its own."""

from collections.abc import Iterable, Sequence
from random import Random

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.journal import Journal

#: Endpoints of this zone, and of all others, that are tried in a check. A cut
#: between zones leaves those of this zone in reach.
_SAMPLE = 2
#: Time without any answer, while requests wait, after which links are checked.
_STALL_TIME: Milliseconds = 1000
#: Interval between checks while requests wait, and while the links are lost.
_STALL_INTERVAL: Milliseconds = 1500
_LOST_INTERVAL: Milliseconds = 500


class DirectPath:
    """State of the links between this host and the endpoints.

    They count as lost if none of several endpoints accepts a connection. One
    endpoint that cannot be reached is just down.
    """

    def __init__(
        self, availability_zone: str, generator: Random, journal: Journal
    ) -> None:
        """Create a path that is not lost.

        :param availability_zone: zone of this host.
        :param generator: random generator for samples of endpoints.
        :param journal: log of changes.
        """
        self._zone = availability_zone
        self._generator = generator
        self._journal = journal
        self._is_lost = False
        self._waiting = 0
        self._quiet_since: Milliseconds = 0
        self._checked_at: Milliseconds = 0

    @property
    def is_lost(self) -> bool:
        """Whether no endpoint can be reached."""
        return self._is_lost

    def record_send(self, now: Milliseconds) -> None:
        """Record that a request is sent to an endpoint.

        :param now: current instant.
        """
        if not self._waiting:
            self._quiet_since = now
        self._waiting += 1

    def record_end(self) -> None:
        """Record that a request no longer waits for the head of its answer."""
        self._waiting -= 1

    def record_answer(self, now: Milliseconds) -> None:
        """Record that the head of an answer has arrived.

        :param now: current instant.
        """
        self._quiet_since = now

    def is_check_due(self, now: Milliseconds) -> bool:
        """Return whether the links have to be checked.

        :param now: current instant.
        """
        passed = now - self._checked_at
        if self._is_lost:
            return passed >= _LOST_INTERVAL
        if not self._waiting or passed < _STALL_INTERVAL:
            return False
        return now - self._quiet_since >= _STALL_TIME

    def select_endpoints(
        self, endpoints: Iterable[EntryEndpoint]
    ) -> list[EntryEndpoint]:
        """Return the endpoints to try in a check.

        :param endpoints: all endpoints.
        """
        staying = [item for item in endpoints if not item.is_leaving]
        selected: list[EntryEndpoint] = []
        for is_near in (True, False):
            group = [
                item
                for item in staying
                if (item.availability_zone == self._zone) is is_near
            ]
            count = min(_SAMPLE, len(group))
            selected += self._generator.sample(group, count)
        return selected

    def record_check(
        self, results: Sequence[bool | None], now: Milliseconds
    ) -> None:
        """Record the results of a check.

        :param results: whether something listens at each endpoint that was
            tried, None if it did not answer.
        :param now: current instant.
        """
        self._checked_at = now
        if not results:
            return
        is_lost = True not in results
        if is_lost == self._is_lost:
            return
        self._is_lost = is_lost
        self._journal.write(
            'links_lost' if is_lost else 'links_regained',
            refused=results.count(False),
            silent=results.count(None),
        )
