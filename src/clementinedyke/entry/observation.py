"""Connects the metrics with the components that they report on."""

from collections.abc import Sequence
from dataclasses import dataclass

from prometheus_client.registry import Collector

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.event_loop import EventLoopMonitor
from clementinedyke.entry.gateway import Gateway
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.metrics import (
    EntryMetrics,
    GaugeSources,
    MetricsPort,
)
from clementinedyke.entry.news import PeerTable
from clementinedyke.http.client import Address
from clementinedyke.http.memory import MemoryAccount
from clementinedyke.leases.component import LeaseComponent


@dataclass(frozen=True, slots=True)
class ObservedParts:
    """Components of a daemon whose values the metrics report.

    ``collectors`` keep counts of their own.
    """

    clock: Clock
    configuration: ConfigurationView
    endpoints: EndpointView
    journal: Journal
    peer_table: PeerTable
    duties: Sequence[Component]
    collectors: Sequence[Collector]

    def get_configuration_age(self) -> Milliseconds | None:
        """Return the time in ms since the configuration was confirmed.

        None if it has not been confirmed yet.
        """
        return self.configuration.get_age(self.clock.get_now())

    def get_endpoints_age(self) -> Milliseconds | None:
        """Return the time in ms since the endpoints were confirmed.

        None if they have not been confirmed yet.
        """
        return self.endpoints.get_age(self.clock.get_now())

    def get_version(self) -> int:
        """Return the version of the configuration in force."""
        return self.configuration.version

    def count_endpoints(self) -> int:
        """Return the number of endpoints known from the store."""
        return len(self.endpoints.list_rows())

    def count_daemons(self) -> int:
        """Return the number of active daemons, this one included."""
        return self.peer_table.count_daemons(self.clock.get_now())

    def count_dropped_lines(self) -> int:
        """Return the number of log lines dropped since the start."""
        return self.journal.dropped_total

    def holds_duties(self) -> bool:
        """Return whether this daemon holds the lease on the duties."""
        now = self.clock.get_now()
        return any(
            core.is_held(now)
            for component in self.duties
            if isinstance(component, LeaseComponent)
            for core in component.cores.values()
        )


def create_metrics_port(
    address: Address | None,
    gateway: Gateway,
    memory: MemoryAccount,
    parts: ObservedParts,
) -> list[Component]:
    """Return the components that measure and serve the metrics.

    The list is empty if no address is configured.

    :param address: address to bind.
    :param gateway: gateway that reports each finished request.
    :param memory: account of the process.
    :param parts: components whose values the gauges report.
    """
    if address is None:
        return []
    metrics = EntryMetrics(
        GaugeSources(
            get_configuration_age=parts.get_configuration_age,
            get_endpoints_age=parts.get_endpoints_age,
            get_version=parts.get_version,
            count_endpoints=parts.count_endpoints,
            count_daemons=parts.count_daemons,
            count_dropped_lines=parts.count_dropped_lines,
            holds_duties=parts.holds_duties,
        )
    )
    for collector in (*parts.collectors, memory):
        metrics.registry.register(collector)
    gateway.observe = metrics.observe
    return [
        EventLoopMonitor(metrics.registry),
        MetricsPort(address, metrics, memory),
    ]
