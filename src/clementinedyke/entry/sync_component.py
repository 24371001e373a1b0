"""Passes changes of configuration and endpoints on to their users."""

from collections.abc import Callable, Collection, Iterable, Sequence

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.change_signal import ChangeSignal
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.endpoint_transport import EndpointTransport
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.ports import CallerPort
from clementinedyke.tasks import run_restarting

#: Pause after a change, in which further ones are collected. A request that is
#: still placed with an outdated list is covered by the drain delay of some
#: seconds.
_PAUSE_SECONDS = 0.02
#: Longest wait for a change; the view has no signal for the end of a departure.
_MAX_WAIT: Milliseconds = 1000
#: The same while endpoints are kept for a limited time. A wait until its end
#: would be late on a host that was suspended, which timers do not count.
_HOLD_WAIT: Milliseconds = 20

EndpointObserver = Callable[[Iterable[EntryEndpoint], Milliseconds], None]


class SyncComponent(Component):
    """Passes on new versions and revisions of the views."""

    def __init__(
        self,
        configuration: ConfigurationView,
        endpoints: EndpointView,
        placement: PlacementCore,
        transport: EndpointTransport,
        caller_port: CallerPort,
        observers: Sequence[EndpointObserver],
        clock: Clock,
    ) -> None:
        """Create the component.

        :param configuration: view of the configuration in force.
        :param endpoints: view of the registered endpoints.
        :param placement: selects endpoints for requests.
        :param transport: holds the connections to the endpoints.
        :param caller_port: port whose limits the configuration sets.
        :param observers: called with all endpoints after a change.
        :param clock: clock of the host.
        """
        self._configuration = configuration
        self._endpoints = endpoints
        self._placement = placement
        self._transport = transport
        self._caller_port = caller_port
        self._observers = observers
        self._clock = clock
        self._version = 0
        self._revision = 0
        #: Services that the configuration named at that revision.
        self._services: Collection[str] | None = None
        #: Runs of the endpoints at the last revision that was passed on.
        self._runs: set[str] = set()
        #: Runs to which connections were kept when the others were closed.
        self._kept_runs: set[str] = set()
        self._signal = ChangeSignal()
        configuration.change_observers.append(self._signal.record_change)
        endpoints.change_observers.append(self._signal.record_change)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(run_restarting, self._run, 'sync_component')

    async def stop(self) -> None:
        """Close the connections to endpoints."""
        await self._transport.close()

    def update(self) -> None:
        """Pass on what has changed since the last call."""
        configuration = self._configuration.configuration
        if configuration and configuration.version != self._version:
            self._version = configuration.version
            self._caller_port.set_bounds(configuration.bounds)
        now = self._clock.get_now()
        endpoints = self._endpoints.list_endpoints(now)
        services = self._configuration.get_services()
        is_known = self._endpoints.revision == self._revision
        if is_known and services == self._services:
            return
        self._revision = self._endpoints.revision
        # An endpoint of an added service takes its address from another one.
        self._services = services
        self._placement.set_endpoints(endpoints)
        for observer in self._observers:
            observer(endpoints, now)
        self._runs = {endpoint.run_id for endpoint in endpoints}

    async def _run(self) -> None:
        while True:
            self.update()
            if self._kept_runs != self._runs:
                self._kept_runs = self._runs
                await self._transport.close_stale(self._runs)
            await trio.sleep(_PAUSE_SECONDS)
            await self._signal.wait(self._get_wait())

    def _get_wait(self) -> Milliseconds:
        return _HOLD_WAIT if self._endpoints.has_held else _MAX_WAIT
