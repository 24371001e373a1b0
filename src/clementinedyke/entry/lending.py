"""Limits and counts the state that daemons fetch from one another."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.clock import Milliseconds

#: Bytes per millisecond in a megabit per second.
BYTES_PER_MILLISECOND = 125
#: Share of a host's bandwidth that lent state may take. Requests wait in the
#: same link.
_LINK_SHARE = 0.2


class LendingLimit:
    """Limits the bandwidth that lent state takes from the requests."""

    def __init__(self, link_megabits: float) -> None:
        """Create a limit that allows one state at once.

        :param link_megabits: bandwidth of the host's link in Mbit/s.
        """
        self._rate = link_megabits * BYTES_PER_MILLISECOND * _LINK_SHARE
        self._free_at = float(0)

    def may_lend(self, now: Milliseconds) -> bool:
        """Return whether a state may be sent.

        :param now: current instant.
        """
        return now >= self._free_at

    def record_lent(self, size: int, now: Milliseconds) -> None:
        """Delay the next state until this one has used its share of the link.

        :param size: length of the encoded state in bytes.
        :param now: current instant.
        """
        self._free_at = now + size / self._rate


class LendingCounts(Collector):
    """Copies of the state sent to other daemons and fetched from them."""

    def __init__(self) -> None:
        """Create all counts at zero."""
        self._lent_bytes = 0
        self._fetches: Counter[str] = Counter()

    def record_lent(self, size: int) -> None:
        """Count a copy that was sent to another daemon.

        :param size: length of the encoded copy in bytes.
        """
        self._lent_bytes += size

    def record_fetch(self, outcome: str) -> None:
        """Count an attempt to fetch the state of another daemon.

        :param outcome: ``done``, ``refused`` or ``failed``.
        """
        self._fetches[outcome] += 1

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counts to the metrics registry."""
        yield CounterMetricFamily(
            'clementinedyke_entry_lent_bytes',
            'Bytes of state sent to daemons that fell behind.',
            value=self._lent_bytes,
        )
        family = CounterMetricFamily(
            'clementinedyke_entry_state_fetches',
            'Attempts to fetch the state of another daemon, by outcome.',
            labels=('outcome',),
        )
        for outcome, count in self._fetches.items():
            family.add_metric((outcome,), count)
        yield family
