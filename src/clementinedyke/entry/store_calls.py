"""Counts the calls to the store and tells of those that failed."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.entry.journal import Journal


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A call that ended; ``outcome`` is a word with few different values."""

    call: str
    outcome: str
    is_failure: bool


class StoreCallLog(Collector):
    """Takes each call, for the log and the metrics."""

    def __init__(self, journal: Journal) -> None:
        """Create a log without calls.

        :param journal: gets a line for each call that failed.
        """
        self._journal = journal
        self._counts: Counter[tuple[str, str]] = Counter()

    def record_call(self, ended: StoreCall) -> None:
        """Count a call.

        :param ended: call that ended.
        """
        self._counts[ended.call, ended.outcome] += 1
        if ended.is_failure:
            self._journal.write(
                'store_call_failed', call=ended.call, outcome=ended.outcome
            )

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Give the counts to the registry of the metrics."""
        family = CounterMetricFamily(
            'clementinedyke_entry_store_calls',
            'Calls to the store, by call and outcome.',
            labels=('call', 'outcome'),
        )
        for labels, count in self._counts.items():
            family.add_metric(labels, count)
        yield family
