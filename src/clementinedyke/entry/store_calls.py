"""Counts the calls to the store and logs those that failed."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.clock import Clock
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.http.lost_connection import LostConnection


@dataclass(frozen=True, slots=True)
class StoreCall:
    """A completed call; ``outcome`` has few values, as a metric label needs."""

    call: str
    outcome: str
    is_failure: bool


class StoreCallLog(Collector):
    """Counts calls by outcome for the metrics and logs failed ones."""

    def __init__(
        self, contact: StoreContact, clock: Clock, journal: Journal
    ) -> None:
        """Create the log with no calls counted.

        :param contact: record of the store's answers.
        :param clock: clock of the host.
        :param journal: receives a line for each failed call.
        """
        self._contact = contact
        self._clock = clock
        self._journal = journal
        self._counts: Counter[tuple[str, str]] = Counter()

    def record_call(self, ended: StoreCall) -> None:
        """Count a completed call, and log it if it failed.

        :param ended: completed call.
        """
        self._counts[ended.call, ended.outcome] += 1
        if ended.is_failure:
            self._journal.write(
                'store_call_failed', call=ended.call, outcome=ended.outcome
            )
        else:
            self._contact.record_answer(self._clock.get_now())

    def record_loss(self, lost: LostConnection) -> None:
        """Log a connection that was lost or given up during a call.

        :param lost: what is known of the connection.
        """
        self._journal.write(
            'store_connection_lost',
            idle_ms=lost.idle_time,
            silence_ms=lost.silence,
        )

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counts to the metrics registry."""
        family = CounterMetricFamily(
            'clementinedyke_entry_store_calls',
            'Calls to the store, by call and outcome.',
            labels=('call', 'outcome'),
        )
        for labels, count in self._counts.items():
            family.add_metric(labels, count)
        yield family
