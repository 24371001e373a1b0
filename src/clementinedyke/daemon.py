"""Builds the application of an entry daemon."""

import os
import random

from clementinedyke.admission_component import AdmissionComponent
from clementinedyke.application import Application
from clementinedyke.callers import CallerHandler, HandlerOptions, RequestOutcome
from clementinedyke.callers.port import CallerPort, get_dispatch_limits
from clementinedyke.claim import ClaimSettings
from clementinedyke.claim_component import ClaimComponent
from clementinedyke.clock import MonotonicClock
from clementinedyke.configuration_component import ConfigurationComponent
from clementinedyke.configuration_report import ConfigurationReport
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http_client import Address, HttpClient
from clementinedyke.operators import OperatorPort, OperatorReports
from clementinedyke.operators.caller_outcomes import describe_outcome
from clementinedyke.platform.tables import TableClient
from clementinedyke.retry_planner import RetryPlanner
from clementinedyke.routing_component import RoutingComponent
from clementinedyke.settings import Settings


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
        self.configuration = ConfigurationComponent(tables)
        self.endpoints = EndpointRegistry(platform)
        self.claims = ClaimComponent(tables, self._clock, ClaimSettings())
        self.routing = RoutingComponent(
            self.endpoints,
            self._clock,
            settings.availability_zone,
            self._generator,
        )
        self.admission = AdmissionComponent(
            self.routing.router,
            self._clock,
            self.configuration.get_directory,
            self._count_daemons,
        )
        self.caller_port = CallerPort(settings, self._create_handler())
        self.operator_port = OperatorPort(settings, tables, self.reports)
        self._register_reports()
        self.application = Application(
            [
                self.configuration,
                self.endpoints,
                self.routing,
                self.admission,
                self.claims,
                self.caller_port,
                self.operator_port,
            ]
        )

    def _create_handler(self) -> CallerHandler:
        options = HandlerOptions(
            admission=self.admission,
            selector=self.routing,
            limits=get_dispatch_limits(self._settings),
            clock=self._clock,
            retries=RetryPlanner(self._clock, self._generator),
            claims=self.claims,
            get_verdict=self.routing.get_verdict,
            region=self._settings.region,
            observe_outcome=self._observe_outcome,
        )
        return CallerHandler(self.configuration, self.endpoints, options)

    def _count_daemons(self) -> int:
        return 1

    def _observe_outcome(self, ended: RequestOutcome) -> None:
        self.reports.record_outcome(describe_outcome(ended))

    def _register_reports(self) -> None:
        report = ConfigurationReport(self.configuration)
        self.reports.add_readiness('configuration', report.has_configuration)
        self.reports.add_status('configuration', report)
        self.reports.metrics.add_gauge(
            'configuration_revision',
            'Revision of the records in force.',
            report.get_revision,
        )
