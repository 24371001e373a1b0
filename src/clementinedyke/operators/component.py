"""Component that serves the operator port of a daemon."""

from functools import partial

import trio

from clementinedyke.components import Component
from clementinedyke.http.memory import MemoryAccount
from clementinedyke.http.port_limits import OperatorLimits
from clementinedyke.http.server import HttpServer
from clementinedyke.http.tls import load_tls
from clementinedyke.logs import log_event
from clementinedyke.operators.providers import OperatorReports
from clementinedyke.operators.record_service import RecordService
from clementinedyke.operators.routes import OperatorHandler
from clementinedyke.ports import explain_bind_failure
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.settings.core import Settings


class OperatorPort(Component):
    """Serves status, metrics, readiness and records to operators over HTTP.

    Components drain in the reverse order of their start. The port is started
    last, so that the daemon reports that it is not ready before any other
    component drains. It serves requests until the application stops.
    """

    def __init__(
        self,
        settings: Settings,
        tables: TableClient,
        reports: OperatorReports,
        memory: MemoryAccount | None = None,
    ) -> None:
        """Create the port.

        :param settings: settings of the daemon.
        :param tables: client of the table service.
        :param reports: status, metrics and readiness of the other components.
        :param memory: account of the process; None for one of its own.
        """
        self._settings = settings
        self._reports = reports
        handler = OperatorHandler(
            RecordService(tables),
            reports,
            settings.operator_token.get_secret_value(),
        )
        tls = load_tls(
            settings.operator_tls_certificate, settings.operator_tls_key
        )
        self._server = HttpServer(
            handler.respond, OperatorLimits(), tls, memory
        )
        self._bound = 0

    @property
    def bound_port(self) -> int:
        """TCP port that was bound; 0 before the start."""
        return self._bound

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port and start the server.

        :param nursery: nursery that runs the server.
        """
        settings = self._settings
        serve = partial(
            self._server.serve, settings.operator_host, settings.operator_port
        )
        with explain_bind_failure('operator_port', settings.operator_port):
            self._bound = await nursery.start(serve)
        log_event('operator_port_bound', port=self._bound)

    async def drain(self) -> None:
        """Report the daemon as not ready; the port stays open."""
        self._reports.start_draining()
        log_event('readiness_changed', ready=False, reason='draining')
