"""Builds the application of an entry daemon."""

import os
import random
from functools import partial

import trio

from clementinedyke.admission_component import AdmissionComponent
from clementinedyke.application import Application
from clementinedyke.callers import (
    CallerHandler,
    ConnectionLimit,
    HandlerOptions,
    RequestOutcome,
)
from clementinedyke.callers.port import CallerPort, get_dispatch_limits
from clementinedyke.claim_component import ClaimComponent
from clementinedyke.clock import MonotonicClock
from clementinedyke.configuration_component import ConfigurationComponent
from clementinedyke.control_options import (
    compile_control_options,
    describe_member,
)
from clementinedyke.control_report import ConfigurationReport, MemberReport
from clementinedyke.daemons import ControlComponent
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http_client import Address, HttpClient
from clementinedyke.operators import OperatorPort, OperatorReports
from clementinedyke.operators.caller_outcomes import describe_outcome
from clementinedyke.operators.endpoint_status import EndpointStatus
from clementinedyke.platform.tables import TableClient
from clementinedyke.retry_planner import RetryPlanner
from clementinedyke.routing_component import RoutingComponent
from clementinedyke.settings import Settings

_READY_POLL_SECONDS = 0.02


class Daemon:
    """The components of an entry daemon and the application that runs them."""

    def __init__(self, settings: Settings) -> None:
        """Build the daemon; nothing is opened yet.

        :param settings: validated settings.
        """
        self._settings = settings
        self._clock = MonotonicClock()
        self._generator = random.Random(f'{settings.host_id}/{os.getpid()}')
        platform = HttpClient(Address.parse(settings.platform))
        tables = TableClient(platform)
        self.reports = OperatorReports()
        self.endpoints = EndpointRegistry()
        self.control = ControlComponent(
            partial(describe_member, settings),
            PlatformReader(platform),
            compile_control_options(settings),
            self._clock,
        )
        self.configuration = ConfigurationComponent(
            self.control, self.endpoints, self._clock
        )
        self.claims = ClaimComponent.connect(platform, self._clock)
        self.routing = RoutingComponent(
            self.endpoints,
            self._clock,
            settings.availability_zone,
            self._generator,
            self.control,
        )
        self.claims.count_daemons = self._count_daemons
        self.admission = AdmissionComponent(
            self.routing.router,
            self._clock,
            self.configuration.get_directory,
            self.routing.subset.count_sharers,
        )
        self._connection_limit = ConnectionLimit(
            settings.max_customer_connections
        )
        self.caller_port = CallerPort(
            settings, self._create_handler(), self._connection_limit
        )
        self.operator_port = OperatorPort(settings, tables, self.reports)
        self._register_reports()
        self.application = Application(
            [
                self.control,
                self.configuration,
                self.endpoints,
                self.routing,
                self.admission,
                self.claims,
                self.caller_port,
                self.operator_port,
            ]
        )

    async def wait_until_ready(self) -> None:
        """Wait until the daemon has its configuration and endpoints."""
        while not self.reports.is_ready() or not self.routing.has_state():
            await trio.sleep(_READY_POLL_SECONDS)

    def _create_handler(self) -> CallerHandler:
        options = HandlerOptions(
            admission=self.admission,
            selector=self.routing,
            limits=get_dispatch_limits(self._settings),
            clock=self._clock,
            retries=RetryPlanner(self._clock, self._generator),
            claims=self.claims,
            get_verdict=self.routing.get_verdict,
            connection_limit=self._connection_limit,
            count_daemons=self._count_daemons,
            region=self._settings.region,
            observe_outcome=self._observe_outcome,
        )
        return CallerHandler(self.configuration, self.endpoints, options)

    def _count_daemons(self) -> int:
        node = self.control.node
        if node is None:
            return 1
        return max(1, len(node.membership.view.table.list_ring()))

    def _observe_outcome(self, ended: RequestOutcome) -> None:
        self.reports.record_outcome(describe_outcome(ended))

    def _register_reports(self) -> None:
        report = ConfigurationReport(self.configuration)
        self.reports.add_readiness('configuration', report.has_configuration)
        self.reports.add_status('members', MemberReport(self.control))
        self.reports.add_status('configuration', report)
        self.reports.metrics.add_gauge(
            'configuration_revision',
            'Revision of the records in force.',
            report.get_revision,
        )
        endpoints = EndpointStatus(self.endpoints.list_endpoints)
        self.reports.add_status('endpoints', endpoints)
        self.reports.metrics.add_gauge(
            'live_endpoints',
            'Endpoints that take new work.',
            endpoints.get_live_count,
        )
