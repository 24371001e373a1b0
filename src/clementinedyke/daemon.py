"""Builds the application of an entry daemon."""

import os
import random
from functools import partial

import trio

from clementinedyke.admission_component import AdmissionComponent
from clementinedyke.application import Application
from clementinedyke.callers import (
    CallerHandler,
    DispatchLimits,
    HandlerOptions,
    RequestOutcome,
)
from clementinedyke.claim import ClaimSettings
from clementinedyke.claim_component import ClaimComponent
from clementinedyke.clock import MonotonicClock
from clementinedyke.components import Component
from clementinedyke.configuration import ConfigurationComponent
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http_client import Address, HttpClient
from clementinedyke.http_server import (
    ConnectionLimits,
    HttpServer,
    RequestError,
)
from clementinedyke.operators import OperatorPort, OperatorReports
from clementinedyke.outcome_report import compile_report
from clementinedyke.platform.tables import TableClient
from clementinedyke.ports import explain_bind_failure
from clementinedyke.retry_planner import RetryPlanner
from clementinedyke.routing_component import RoutingComponent
from clementinedyke.settings import Settings
from clementinedyke.tls import load_tls

_MILLISECONDS_PER_SECOND = 1000


class CallerPort(Component):
    """Serves callers on the daemon's caller port."""

    def __init__(self, settings: Settings, handler: CallerHandler) -> None:
        """Create the port.

        :param settings: settings of the daemon.
        :param handler: handler of requests.
        """
        self._settings = settings
        self._server = HttpServer(
            handler.respond,
            limits=get_connection_limits(settings),
            ssl_context=load_tls(settings.tls_certificate, settings.tls_key),
        )
        self._bound = 0

    @property
    def bound_port(self) -> int:
        """TCP port that was bound, 0 before the start."""
        return self._bound

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port.

        :param nursery: nursery that runs the server.
        """
        settings = self._settings
        serve = partial(self._server.serve, settings.host, settings.port)
        with explain_bind_failure('port', settings.port):
            self._bound = await nursery.start(serve)

    async def drain(self) -> None:
        """Finish the running requests, within the time one may take."""
        timeout = self._settings.request_timeout / _MILLISECONDS_PER_SECOND
        with trio.move_on_after(timeout):
            await self._server.drain()


class ConfigurationReport:
    """Tells operators which configuration is in force."""

    def __init__(self, configuration: ConfigurationComponent) -> None:
        """Create the report.

        :param configuration: source of the records in force.
        """
        self._configuration = configuration

    def get_revision(self) -> int:
        """Return the revision in force, 0 before the first one."""
        try:
            return self._configuration.get_directory().revision
        except RequestError:
            return 0

    def get_status(self) -> dict[str, int]:
        """Return the section of the status."""
        return {'revision': self.get_revision()}

    def has_configuration(self) -> bool:
        """Whether a configuration is in force."""
        try:
            self._configuration.get_directory()
        except RequestError:
            return False
        return True


class Daemon:
    """The components of an entry daemon and the application that runs them."""

    def __init__(self, settings: Settings) -> None:
        """Build the daemon; nothing is opened yet.

        :param settings: validated settings.
        """
        platform = HttpClient(Address.parse(settings.platform))
        tables = TableClient(platform)
        self.reports = OperatorReports()
        clock = MonotonicClock()
        generator = random.Random(f'{settings.host_id}/{os.getpid()}')
        self.configuration = ConfigurationComponent(tables)
        self.endpoints = EndpointRegistry(platform)
        self.claims = ClaimComponent(tables, clock, ClaimSettings())
        self.routing = RoutingComponent(
            self.endpoints, clock, settings.availability_zone, generator
        )
        self.admission = AdmissionComponent(
            self.routing.router,
            clock,
            self.configuration.get_directory,
            self._count_daemons,
        )
        options = HandlerOptions(
            admission=self.admission,
            selector=self.routing,
            limits=DispatchLimits(
                first_byte_timeout=settings.first_byte_timeout,
                request_timeout=settings.request_timeout,
            ),
            clock=clock,
            retries=RetryPlanner(clock, generator),
            claims=self.claims,
            get_verdict=self.routing.get_verdict,
            region=settings.region,
            observe_outcome=self._report_outcome,
        )
        handler = CallerHandler(self.configuration, self.endpoints, options)
        self.caller_port = CallerPort(settings, handler)
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

    def _count_daemons(self) -> int:
        return 1

    def _report_outcome(self, outcome: RequestOutcome) -> None:
        if outcome.service is not None:
            self.reports.record_outcome(compile_report(outcome))

    def _register_reports(self) -> None:
        report = ConfigurationReport(self.configuration)
        self.reports.add_readiness('configuration', report.has_configuration)
        self.reports.add_status('configuration', report)
        self.reports.metrics.add_gauge(
            'configuration_revision',
            'Revision of the records in force.',
            report.get_revision,
        )


def get_connection_limits(settings: Settings) -> ConnectionLimits:
    """Return the limits of the caller port.

    :param settings: settings of the daemon.
    """
    return ConnectionLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        max_connections=settings.max_connections,
        idle_timeout=settings.idle_timeout,
        receive_timeout=settings.receive_timeout,
    )
