"""Passes changes of configuration and endpoints on to their users."""

from collections.abc import Callable, Iterable, Sequence

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.endpoint_transport import EndpointTransport
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.ports import CallerPort

#: Endpoints change a few times per second at most. A request that is still
#: placed with an outdated list is covered by the drain delay of some seconds.
_INTERVAL_SECONDS = 0.02

EndpointObserver = Callable[[Iterable[EntryEndpoint], Milliseconds], None]


class SyncComponent(Component):
    """Polls the views and passes on new versions and revisions."""

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

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(self._run)

    async def stop(self) -> None:
        """Close the connections to endpoints."""
        await self._transport.close()

    async def _run(self) -> None:
        while True:
            await self._step()
            await trio.sleep(_INTERVAL_SECONDS)

    async def _step(self) -> None:
        configuration = self._configuration.configuration
        if configuration and configuration.version != self._version:
            self._version = configuration.version
            self._caller_port.set_bounds(configuration.bounds)
        now = self._clock.get_now()
        endpoints = self._endpoints.list_endpoints(now)
        if self._endpoints.revision != self._revision:
            self._revision = self._endpoints.revision
            self._placement.set_endpoints(endpoints)
            for observer in self._observers:
                observer(endpoints, now)
            await self._transport.close_stale(
                {endpoint.run_id for endpoint in endpoints}
            )
