"""Ports for callers, for the readiness question and for metrics."""

from functools import partial
from http import HTTPStatus

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.catalog import RequestLimits
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.gateway import Gateway
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.journal import Journal
from clementinedyke.http.client import Address
from clementinedyke.http.message import ResponseWriter, ServerRequest
from clementinedyke.http.server import ConnectionLimits, HttpServer

_MILLISECONDS_PER_SECOND = 1000
#: The balancer asks once a second and takes a host out after two misses;
#: until then new connections arrive and are served.
_LEAVE_TIME: Milliseconds = 2600
#: What is left of the stop grace for giving back leases and writing usage.
_STOP_RESERVE: Milliseconds = 1200
#: Descriptors that are kept for files, the store, peers, and endpoints: on the
#: days of 64 and 72 hosts 120 were open at most, callers' included.
_RESERVED_DESCRIPTORS = 600
#: Memory of a daemon without callers, in MB: 35 were resident at most on calm
#: days of 64 hosts, 67 in a burst with all its requests.
_RESERVED_MEMORY_MB = 64
#: Memory of a caller's open request, in KB: its tasks and buffers, and a body
#: of 100 KB, the largest on the sheets.
_CONNECTION_MEMORY_KB = 160
_KB_PER_MB = 1024


class CallerPort(Component):
    """Serves callers, and leaves in steps when the daemon stops."""

    def __init__(
        self,
        address: Address,
        gateway: Gateway,
        readiness: 'Readiness',
        stop_grace: Milliseconds,
        max_connections: int,
    ) -> None:
        """Create the port.

        :param address: address that the platform sends callers to.
        :param gateway: answers requests.
        :param readiness: told when the daemon leaves.
        :param stop_grace: time from the stop signal to the end.
        :param max_connections: connections of callers at a time.
        """
        self._address = address
        self._gateway = gateway
        self._readiness = readiness
        self._stop_grace = stop_grace
        limits = ConnectionLimits(max_connections=max_connections)
        self._server = HttpServer(self._respond, limits)
        self._limits = limits
        #: TCP port that was bound, 0 before the start.
        self.bound_port = 0

    def set_bounds(self, bounds: RequestLimits) -> None:
        """Take the limits of a new configuration.

        :param bounds: what callers may send, and how long they may take.
        """
        self._limits.max_header_bytes = bounds.max_header_bytes
        self._limits.max_body_bytes = bounds.max_body_bytes
        self._limits.header_timeout = bounds.header_timeout
        self._limits.idle_timeout = bounds.idle_timeout

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port.

        :param nursery: nursery that runs the server.
        """
        self._gateway.attach(nursery)
        serve = partial(
            self._server.serve, self._address.host, self._address.port
        )
        self.bound_port = await nursery.start(serve)

    async def drain(self) -> None:
        """Serve until the balancer sends no more callers, then finish."""
        self._readiness.leave()
        await trio.sleep(_LEAVE_TIME / _MILLISECONDS_PER_SECOND)
        left = self._stop_grace - _LEAVE_TIME - _STOP_RESERVE
        with trio.move_on_after(max(0, left) / _MILLISECONDS_PER_SECOND):
            await self._server.drain()

    async def _respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        if self._readiness.is_leaving:
            request.connection.must_close = True
        await self._gateway.respond(request, response)


class Readiness(Component):
    """Answers whether the balancer shall send callers to this host."""

    def __init__(
        self, address: Address, view: ConfigurationView, journal: Journal
    ) -> None:
        """Create the port.

        :param address: address that the platform asks.
        :param view: a daemon without configuration is not ready.
        :param journal: log of changes of state.
        """
        self._address = address
        self._view = view
        self._journal = journal
        self._server = HttpServer(self._respond)
        self.is_leaving = False

    @property
    def is_ready(self) -> bool:
        """Whether callers are welcome."""
        return not self.is_leaving and self._view.configuration is not None

    def leave(self) -> None:
        """Say from now on that no callers are welcome."""
        self.is_leaving = True
        self._journal.write('daemon_leaving')

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
        status = (
            HTTPStatus.OK if self.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        )
        await response.send_json(status, {'ready': self.is_ready})


def get_max_connections(settings: HostSettings) -> int:
    """Return how many callers' connections a host has room for.

    :param settings: descriptors and memory of the process.
    """
    memory_kb = (settings.memory_mb - _RESERVED_MEMORY_MB) * _KB_PER_MB
    return max(
        1,
        min(
            settings.max_descriptors - _RESERVED_DESCRIPTORS,
            memory_kb // _CONNECTION_MEMORY_KB,
        ),
    )
