"""Memory for the answers of endpoints that a daemon has buffered."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from clementinedyke.exceptions import AnswerLostError

#: Bytes of an answer that count as part of its open request, for which the
#: limit on connections reserves memory. The largest answers in the workload
#: sheets have 100 KB.
FREE_BYTES = 102400


class AnswerMemory(Collector):
    """One budget for the buffered parts of all answers.

    A bound for each answer alone does not limit the memory of a process: an
    endpoint that sends bytes without end may do so for hundreds of requests.
    """

    def __init__(self, limit: int) -> None:
        """Create a budget of which nothing is used.

        :param limit: bytes beyond the free ones of each answer.
        """
        self._limit = limit
        self._used = 0
        self._refusals = 0

    @property
    def used(self) -> int:
        """Bytes that are in use."""
        return self._used

    def change(self, held: int, size: int) -> int:
        """Change what an answer holds of the budget to what its size needs.

        :param held: bytes that it holds.
        :param size: bytes of it that are buffered from now on.
        :return: bytes that it holds from now on.
        :raises AnswerLostError: if the budget does not suffice.
        """
        needed = max(0, size - FREE_BYTES)
        if needed > held and self._used - held + needed > self._limit:
            self._refusals += 1
            raise AnswerLostError(
                f'buffered answers need more than {self._limit} bytes'
            )
        self._used += needed - held
        return needed

    def release(self, held: int) -> None:
        """Give back what an answer holds.

        :param held: bytes that it holds.
        """
        self._used -= held

    def collect(self) -> Iterator[Metric]:
        """Return the use of the budget to the metrics registry."""
        yield GaugeMetricFamily(
            'clementinedyke_entry_answer_memory_bytes',
            'Buffered bytes of answers beyond the free ones of each.',
            value=self._used,
        )
        yield CounterMetricFamily(
            'clementinedyke_entry_answers_too_large',
            'Answers that were given up because the budget was used up.',
            value=self._refusals,
        )
