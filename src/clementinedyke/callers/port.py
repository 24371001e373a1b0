"""Listener for connections of callers."""

from dataclasses import asdict
from functools import partial

import trio

from clementinedyke.callers.customer_limits import ConnectionLimit
from clementinedyke.callers.handler import CallerHandler
from clementinedyke.callers.steps import DispatchLimits
from clementinedyke.components import Component
from clementinedyke.http.memory import MemoryAccount, ShortageReport
from clementinedyke.http.server import ConnectionLimits, HttpServer
from clementinedyke.http.tls import load_tls
from clementinedyke.logs import log_event
from clementinedyke.ports import explain_bind_failure
from clementinedyke.settings.core import Settings

_MILLISECONDS_PER_SECOND = 1000
_BYTES_PER_MB = 1048576
#: Memory of a daemon without callers: 56 MB are resident after its start.
_RESERVED_MEMORY_MB = 80


class CallerPort(Component):
    """Runs the HTTP server on the caller port of a daemon."""

    def __init__(
        self,
        settings: Settings,
        handler: CallerHandler,
        connection_limit: ConnectionLimit,
        memory: MemoryAccount,
    ) -> None:
        """Create the port.

        :param settings: settings of the daemon.
        :param handler: handler of requests.
        :param connection_limit: connection limit of the handler; counts the
            connections of this port.
        :param memory: account of the process.
        """
        self._settings = settings
        self._server = HttpServer(
            handler.respond,
            limits=get_connection_limits(settings, memory),
            ssl_context=load_tls(settings.tls_certificate, settings.tls_key),
            memory=memory,
        )
        connection_limit.count_open_connections = self._server.count_connections
        self._bound_port = 0

    @property
    def bound_port(self) -> int:
        """TCP port number that was bound, 0 before the start."""
        return self._bound_port

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port and start the server.

        :param nursery: nursery that runs the server.
        """
        settings = self._settings
        serve = partial(self._server.serve, settings.host, settings.port)
        with explain_bind_failure('port', settings.port):
            self._bound_port = await nursery.start(serve)

    async def drain(self) -> None:
        """Wait for running requests, for at most the request timeout."""
        timeout = self._settings.request_timeout / _MILLISECONDS_PER_SECOND
        with trio.move_on_after(timeout):
            await self._server.drain()


def get_connection_limits(
    settings: Settings, memory: MemoryAccount
) -> ConnectionLimits:
    """Return the connection limits of the caller port.

    :param settings: settings of the daemon.
    :param memory: account of the process.
    """
    return ConnectionLimits(
        max_header_bytes=settings.max_header_bytes,
        max_body_bytes=settings.max_body_bytes,
        max_connections=min(settings.max_connections, memory.max_connections),
        idle_timeout=settings.idle_timeout,
        receive_timeout=settings.receive_timeout,
    )


def create_memory_account(settings: Settings) -> MemoryAccount:
    """Return the account of the process, which logs shortages.

    :param settings: settings of the daemon.
    """
    reserved = settings.memory_mb - _RESERVED_MEMORY_MB
    memory = MemoryAccount(reserved * _BYTES_PER_MB)
    memory.observers.append(_log_shortage)
    return memory


def _log_shortage(report: ShortageReport) -> None:
    log_event('memory_short', **asdict(report))


def get_dispatch_limits(settings: Settings) -> DispatchLimits:
    """Return the limits that apply to the dispatch of a request.

    :param settings: settings of the daemon.
    """
    return DispatchLimits(
        first_byte_timeout=settings.first_byte_timeout,
        request_timeout=settings.request_timeout,
    )
