"""Registers the status sections and metrics of a daemon's components."""

from clementinedyke.authority.component import AuthorityComponent
from clementinedyke.authority.report import (
    AuthorityCollector,
    LeaseReport,
    OrderReport,
    UsageReport,
)
from clementinedyke.callers import RequestOutcome
from clementinedyke.clock import Clock
from clementinedyke.configuration.component import ConfigurationComponent
from clementinedyke.control.report import ConfigurationReport, MemberReport
from clementinedyke.daemons import ControlComponent
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.operators import OperatorReports
from clementinedyke.operators.caller_outcomes import describe_outcome
from clementinedyke.operators.endpoint_status import EndpointStatus


class DaemonReports(OperatorReports):
    """Operator reports of a daemon, including those of its components."""

    def observe_outcome(self, ended: RequestOutcome) -> None:
        """Count a caller's request and store its outcome.

        The operator command ``explain`` shows stored outcomes.

        :param ended: record of the request.
        """
        self.record_outcome(describe_outcome(ended))

    def add_control(
        self, control: ControlComponent, configuration: ConfigurationComponent
    ) -> None:
        """Register the reports of members and configuration.

        :param control: component that runs membership and configuration.
        :param configuration: component that holds the configuration records
            that this daemon currently uses.
        """
        report = ConfigurationReport(configuration)
        self.add_readiness('configuration', report.has_configuration)
        self.add_status('members', MemberReport(control))
        self.add_status('configuration', report)
        self.metrics.add_gauge(
            'configuration_revision',
            'Revision of the records in force.',
            report.get_revision,
        )

    def add_authority(
        self, authority: AuthorityComponent, clock: Clock
    ) -> None:
        """Register the reports of leases, orders and usage.

        :param authority: component that runs leases, outboxes and usage.
        :param clock: clock of the process.
        """
        self.add_status('leases', LeaseReport(authority, clock))
        self.add_status('orders', OrderReport(authority))
        self.add_status('usage', UsageReport(authority))
        self.metrics.registry.register(AuthorityCollector(authority))

    def add_endpoints(self, registry: EndpointRegistry) -> None:
        """Register the report of the endpoints.

        :param registry: endpoints that the platform lists.
        """
        endpoints = EndpointStatus(registry.list_endpoints)
        self.add_status('endpoints', endpoints)
        self.metrics.add_gauge(
            'live_endpoints',
            'Endpoints that take new work.',
            endpoints.get_live_count,
        )
