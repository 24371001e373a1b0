"""Builds the application of an entry daemon."""

from functools import partial

import trio

from clementinedyke.application import Application
from clementinedyke.callers import (
    CallerHandler,
    DispatchLimits,
    HandlerOptions,
    RequestOutcome,
)
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
from clementinedyke.operators.caller_outcomes import describe_outcome
from clementinedyke.platform.tables import TableClient
from clementinedyke.ports import explain_bind_failure
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
        self.configuration = ConfigurationComponent(tables)
        self.endpoints = EndpointRegistry(platform)
        handler = CallerHandler(
            self.configuration,
            self.endpoints,
            HandlerOptions(
                limits=get_dispatch_limits(settings),
                observe_outcome=self._observe_outcome,
            ),
        )
        self.caller_port = CallerPort(settings, handler)
        self.operator_port = OperatorPort(settings, tables, self.reports)
        self._register_reports()
        self.application = Application(
            [
                self.configuration,
                self.endpoints,
                self.caller_port,
                self.operator_port,
            ]
        )

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


def get_dispatch_limits(settings: Settings) -> DispatchLimits:
    """Return the limits of one request of a caller.

    :param settings: settings of the daemon.
    """
    return DispatchLimits(
        first_byte_timeout=settings.first_byte_timeout,
        request_timeout=settings.request_timeout,
    )
