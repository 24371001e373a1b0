"""Counts the copies of the state that daemons fetch from one another."""

from collections import Counter
from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector


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

        :param outcome: ``done`` or ``failed``.
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
