"""Caller port and readiness port of the daemon."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict
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
from clementinedyke.http.memory import MemoryAccount, compute_max_connections
from clementinedyke.http.message import (
    RequestHandler,
    ResponseWriter,
    ServerRequest,
)
from clementinedyke.http.port_limits import PeerLimits, ProbeLimits
from clementinedyke.http.server import ConnectionLimits, HttpServer

_MILLISECONDS_PER_SECOND = 1000
#: The load balancer probes readiness once a second and removes a host after
#: two failed probes; until then it sends new connections.
_BALANCER_REMOVAL_TIME: Milliseconds = 2600
#: Part of the stop grace reserved for releasing leases and writing usage.
_SHUTDOWN_RESERVE: Milliseconds = 1200
#: Time in which the requests that are open at the end of a drain get an answer.
#: The drain still reaches into the last sixth of the users' grace of 8 s.
_ANSWER_TIME: Milliseconds = 100
#: File descriptors reserved for files, the store, peers and endpoints: at most
#: 120, callers included, were open in runs with 64 and 72 hosts.
_RESERVED_DESCRIPTORS = 600
#: Memory of a daemon without callers: at most 35 MB were resident in runs of
#: 64 hosts under normal load, 67 MB in a burst with all its requests.
_RESERVED_MEMORY_MB = 64
_BYTES_PER_MB = 1048576


class CallerPort(Component):
    """Serves callers and drains gracefully when the daemon stops."""

    def __init__(
        self,
        address: Address,
        gateway: Gateway,
        readiness: 'Readiness',
        stop_grace: Milliseconds,
        max_connections: int,
        memory: MemoryAccount,
    ) -> None:
        """Create the port.

        :param address: address to listen on.
        :param gateway: handler of the requests.
        :param readiness: readiness port; reports not ready during a drain.
        :param stop_grace: milliseconds from the stop signal to the forced end.
        :param max_connections: maximum number of open connections.
        :param memory: account of the process.
        """
        self._address = address
        self._gateway = gateway
        self._readiness = readiness
        self._stop_grace = stop_grace
        limits = ConnectionLimits(max_connections=max_connections)
        self._server = HttpServer(self._respond, limits, memory=memory)
        self._limits = limits
        #: Waits up to a number of ms for the requests of other daemons.
        self.drain_relays: Callable[[Milliseconds], Awaitable[None]] = (
            _skip_relays
        )
        #: Bound TCP port; 0 before the start.
        self.bound_port = 0

    def set_bounds(self, bounds: RequestLimits) -> None:
        """Apply the limits of a new configuration.

        :param bounds: size limits and timeouts for the requests of callers.
        """
        self._limits.max_header_bytes = bounds.max_header_bytes
        self._limits.max_body_bytes = bounds.max_body_bytes
        self._limits.header_timeout = bounds.header_timeout
        self._limits.idle_timeout = bounds.idle_timeout

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port.

        :param nursery: nursery that runs the server.
        """
        self._gateway.set_nursery(nursery)
        serve = partial(
            self._server.serve, self._address.host, self._address.port
        )
        self.bound_port = await nursery.start(serve)

    async def drain(self) -> None:
        """Serve until the load balancer has removed the host, then drain.

        Open requests have the stop grace less the time for the removal and
        for the shutdown to finish. Those that are left then are told whether
        they have run.
        """
        self._readiness.start_draining()
        await trio.sleep(_BALANCER_REMOVAL_TIME / _MILLISECONDS_PER_SECOND)
        reserved = _BALANCER_REMOVAL_TIME + _SHUTDOWN_RESERVE + _ANSWER_TIME
        left = max(0, self._stop_grace - reserved)
        is_drained = False
        with trio.move_on_after(left / _MILLISECONDS_PER_SECOND):
            await self._server.drain()
            await self.drain_relays(left)
            is_drained = True
        if not is_drained:
            self._gateway.end_requests()
            with trio.move_on_after(_ANSWER_TIME / _MILLISECONDS_PER_SECOND):
                await self._server.drain()

    async def _respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        if self._readiness.is_draining:
            request.connection.must_close = True
        await self._gateway.respond(request, response)


async def _skip_relays(timeout: Milliseconds) -> None:
    """Do nothing; a port whose daemon forwards no requests."""


class Readiness(Component):
    """Answers the readiness probes of the load balancer."""

    def __init__(
        self,
        address: Address,
        view: ConfigurationView,
        journal: Journal,
        memory: MemoryAccount,
    ) -> None:
        """Create the port.

        :param address: address to listen on for probes.
        :param view: configuration view; the daemon is not ready while it is
            empty.
        :param journal: structured log.
        :param memory: account of the process.
        """
        self._address = address
        self._view = view
        self._journal = journal
        self._server = HttpServer(self._respond, ProbeLimits(), memory=memory)
        self.is_draining = False
        #: Tells the other daemons that this one is draining.
        self.announce: Callable[[], None] = _ignore_drain

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        return not self.is_draining and self._view.configuration is not None

    def get_draining(self) -> bool:
        """Return whether the daemon is about to stop."""
        return self.is_draining

    def start_draining(self) -> None:
        """Report not ready from now on."""
        self.is_draining = True
        self._journal.write('daemon_leaving')
        self.announce()

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


def _ignore_drain() -> None:
    """Do nothing; readiness of a daemon without others."""


def get_max_connections(settings: HostSettings) -> int:
    """Return the maximum number of caller connections of the process.

    :param settings: limits on file descriptors and memory.
    """
    return max(
        1,
        min(
            settings.max_descriptors - _RESERVED_DESCRIPTORS,
            compute_max_connections(_get_memory_limit(settings)),
        ),
    )


def create_memory_account(
    settings: HostSettings, journal: Journal
) -> MemoryAccount:
    """Return the account of the process, which logs shortages.

    :param settings: limit on memory.
    :param journal: structured log.
    """
    memory = MemoryAccount(_get_memory_limit(settings))
    memory.observers.append(
        lambda report: journal.write('memory_short', **asdict(report))
    )
    return memory


def get_peer_server(
    memory: MemoryAccount,
) -> Callable[[RequestHandler], HttpServer]:
    """Return what creates the server for other daemons from its handler.

    :param memory: account of the process.
    """
    return partial(HttpServer, limits=PeerLimits(), memory=memory)


def _get_memory_limit(settings: HostSettings) -> int:
    return (settings.memory_mb - _RESERVED_MEMORY_MB) * _BYTES_PER_MB
