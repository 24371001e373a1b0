"""The port that callers connect to."""

from functools import partial

import trio

from clementinedyke.callers.customer_limits import ConnectionLimit
from clementinedyke.callers.handler import CallerHandler
from clementinedyke.callers.steps import DispatchLimits
from clementinedyke.components import Component
from clementinedyke.http.server import ConnectionLimits, HttpServer
from clementinedyke.http.tls import load_tls
from clementinedyke.ports import explain_bind_failure
from clementinedyke.settings.core import Settings

_MILLISECONDS_PER_SECOND = 1000


class CallerPort(Component):
    """Serves callers on the daemon's caller port."""

    def __init__(
        self,
        settings: Settings,
        handler: CallerHandler,
        connection_limit: ConnectionLimit,
    ) -> None:
        """Create the port.

        :param settings: settings of the daemon.
        :param handler: handler of requests.
        :param connection_limit: limit of the handler, which learns the count
            of connections from this port.
        """
        self._settings = settings
        self._server = HttpServer(
            handler.respond,
            limits=get_connection_limits(settings),
            ssl_context=load_tls(settings.tls_certificate, settings.tls_key),
        )
        connection_limit.count_open_connections = self._server.count_connections
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
