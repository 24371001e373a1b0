"""Prometheus metrics of the entry daemon and the port that serves them."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

import trio
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.entry.intake import Job
from clementinedyke.http.client import Address
from clementinedyke.http.memory import MemoryAccount
from clementinedyke.http.message import ResponseWriter, ServerRequest
from clementinedyke.http.port_limits import ProbeLimits
from clementinedyke.http.server import HttpServer

_MILLISECONDS_PER_SECOND = 1000
#: In seconds; the latency objectives range from 0.2 to 0.8.
_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6)
_CALLER_LEFT = 'caller_left'


@dataclass(frozen=True, slots=True)
class GaugeSources:
    """Functions that return the values of the gauges at each scrape.

    Ages are in milliseconds, None if unknown.
    """

    get_configuration_age: Callable[[], Milliseconds | None]
    get_endpoints_age: Callable[[], Milliseconds | None]
    get_version: Callable[[], int]
    count_endpoints: Callable[[], int]
    count_daemons: Callable[[], int]
    count_dropped_lines: Callable[[], int]
    holds_duties: Callable[[], bool]


class EntryMetrics:
    """Metrics whose labels have a bounded number of values."""

    def __init__(self, sources: GaugeSources) -> None:
        """Create all metrics at zero.

        :param sources: functions that return the values of the gauges.
        """
        self.registry = CollectorRegistry()
        self._requests = Counter(
            'clementinedyke_entry_requests',
            'Admitted requests that ended, by kind of route and result code.',
            ('kind', 'code'),
            registry=self.registry,
        )
        self._sends = Counter(
            'clementinedyke_entry_sends',
            'Sends of requests to endpoints, reads of prompts left out.',
            ('kind',),
            registry=self.registry,
        )
        self._durations = self._create_histogram(
            'duration', 'Time from the request to the end of its answer.'
        )
        self._reads = self._create_histogram(
            'read', 'Time until the prompt was read.'
        )
        self._first_events = self._create_histogram(
            'first_event', 'Time to the first event of a stream.'
        )
        self._add_gauges(sources)

    def observe(
        self, code: ResultCode | None, job: Job, duration: Milliseconds
    ) -> None:
        """Record a completed request.

        :param code: result code, None if the caller closed the connection.
        :param job: the request with its sends and times.
        :param duration: time from the receipt of the request to its end.
        """
        kind = job.route.kind.value
        name = _CALLER_LEFT if code is None else code.name.lower()
        self._requests.labels(kind, name).inc()
        self._sends.labels(kind).inc(job.sends)
        instants = (
            (self._reads, job.read_at),
            (self._first_events, job.first_event_at),
            (self._durations, job.received_at + duration),
        )
        for histogram, instant in instants:
            if instant is not None:
                elapsed = instant - job.received_at
                histogram.labels(kind).observe(
                    elapsed / _MILLISECONDS_PER_SECOND
                )

    def compile_page(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _create_histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            f'clementinedyke_entry_{name}_seconds',
            description,
            ('kind',),
            buckets=_BUCKETS,
            registry=self.registry,
        )

    def _add_gauges(self, sources: GaugeSources) -> None:
        gauges: dict[str, tuple[str, Callable[[], float]]] = {
            'configuration_age_seconds': (
                'Time since the version in force was confirmed, -1 if never.',
                partial(_get_seconds, sources.get_configuration_age),
            ),
            'endpoints_age_seconds': (
                'Time since the endpoints were confirmed, -1 if never.',
                partial(_get_seconds, sources.get_endpoints_age),
            ),
            'configuration_version': (
                'Version in force.',
                sources.get_version,
            ),
            'endpoints': ('Endpoints that are known.', sources.count_endpoints),
            'daemons': ('Daemons that were heard.', sources.count_daemons),
            'dropped_log_lines': (
                'Log lines that were not written.',
                sources.count_dropped_lines,
            ),
            'duties_held': (
                'Whether this daemon holds the duties.',
                sources.holds_duties,
            ),
        }
        for name, (description, get_gauge_value) in gauges.items():
            gauge = Gauge(
                f'clementinedyke_entry_{name}',
                description,
                registry=self.registry,
            )
            gauge.set_function(get_gauge_value)


class MetricsPort(Component):
    """HTTP server that answers every path with the metrics."""

    def __init__(
        self, address: Address, metrics: EntryMetrics, memory: MemoryAccount
    ) -> None:
        """Create the port.

        :param address: address to bind.
        :param metrics: metrics to serve.
        :param memory: account of the process.
        """
        self._address = address
        self._metrics = metrics
        self._server = HttpServer(self._respond, ProbeLimits(), memory=memory)

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port.

        :param nursery: nursery that runs the server.
        """
        await nursery.start(
            self._server.serve, self._address.host, self._address.port
        )

    async def _respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        kind = (b'Content-Type', b'text/plain; version=0.0.4')
        await response.send_response(
            HTTPStatus.OK, [kind], self._metrics.compile_page()
        )


def _get_seconds(get_age: Callable[[], Milliseconds | None]) -> float:
    age = get_age()
    return -1 if age is None else age / _MILLISECONDS_PER_SECOND
