"""Prometheus metrics of a daemon."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from clementinedyke.codes import ResultCode
from clementinedyke.operators.outcomes import RequestOutcome, get_code_name

_MILLISECONDS_PER_SECOND = 1000
#: Seconds; the target is 0.42 s at the 95th percentile.
_FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.42, 0.6, 1, 2, 5, 15, 60)
#: Seconds; the target is 0.075 s at the 95th percentile.
_TOKEN_INTERVAL_BUCKETS = (0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.2, 0.5, 2)
#: Seconds.
_QUEUE_TIME_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.42, 1, 5, 20)


class Metrics:
    """Metrics of one daemon, mostly counters, in a registry of its own.

    Labels hold only names of services and result codes, which bounds the
    number of time series.
    """

    def __init__(self) -> None:
        """Create and register all metrics."""
        self.registry = CollectorRegistry()
        self._requests = Counter(
            'clementinedyke_requests',
            'Requests that ended, by service and result code.',
            ('service', 'code'),
            registry=self.registry,
        )
        self._attempts = Counter(
            'clementinedyke_attempts',
            'Tries of requests at endpoints, by service and result code.',
            ('service', 'code'),
            registry=self.registry,
        )
        self._record_changes = Counter(
            'clementinedyke_record_changes',
            'Changes of records that operators asked for, by result code.',
            ('code',),
            registry=self.registry,
        )
        self._operator_refusals = Counter(
            'clementinedyke_operator_token_refusals',
            'Requests to the operator port without a valid token.',
            registry=self.registry,
        )
        self._first_token = self._create_histogram(
            'first_token', 'Time to the first token.', _FIRST_TOKEN_BUCKETS
        )
        self._token_interval = self._create_histogram(
            'token_interval', 'Time between tokens.', _TOKEN_INTERVAL_BUCKETS
        )
        self._queue_time = self._create_histogram(
            'queue', 'Time that requests were queued.', _QUEUE_TIME_BUCKETS
        )

    def add_gauge(
        self, name: str, description: str, get_value: Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read at each collection.

        :param name: name without the prefix ``clementinedyke_``.
        :param description: help text.
        :param get_value: returns the current value; must not block.
        """
        gauge = Gauge(
            f'clementinedyke_{name}', description, registry=self.registry
        )
        gauge.set_function(get_value)

    def count_request(self, outcome: RequestOutcome) -> None:
        """Count a finished request and its attempts and observe its times.

        :param outcome: outcome of the request.
        """
        service = outcome.service
        self._requests.labels(service, get_code_name(outcome.result_code)).inc()
        for attempt in outcome.attempts:
            self._attempts.labels(
                service, get_code_name(attempt.result_code)
            ).inc()
        if outcome.queue_time is not None:
            self._queue_time.labels(service).observe(
                outcome.queue_time / _MILLISECONDS_PER_SECOND
            )
        if outcome.first_token_time is not None:
            self._first_token.labels(service).observe(
                outcome.first_token_time / _MILLISECONDS_PER_SECOND
            )
        intervals = self._token_interval.labels(service)
        for interval in outcome.token_intervals:
            intervals.observe(interval / _MILLISECONDS_PER_SECOND)

    def count_record_change(self, code: ResultCode) -> None:
        """Count a record change requested by an operator.

        :param code: result code of the change.
        """
        self._record_changes.labels(code.name).inc()

    def count_operator_refusal(self) -> None:
        """Count a request to the operator port without a valid token."""
        self._operator_refusals.inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _create_histogram(
        self, name: str, description: str, buckets: tuple[float, ...]
    ) -> Histogram:
        return Histogram(
            f'clementinedyke_{name}_seconds',
            description,
            ('service',),
            buckets=buckets,
            registry=self.registry,
        )
