"""Table of endpoints per service with their health and load."""

from collections.abc import Iterable

from clementinedyke.clock import Milliseconds
from clementinedyke.health import HealthLimits, HealthTable
from clementinedyke.routing.load import Load, LoadEstimate
from clementinedyke.routing.peer_work import EndpointWork, PeerWork
from clementinedyke.routing.types import FreeCapacity, Role, RoutedEndpoint


class ServiceState:
    """Endpoints of one service with their health and load."""

    __slots__ = ('endpoints', 'health', 'loads', 'peers')

    def __init__(self, limits: HealthLimits) -> None:
        """Create a service without endpoints.

        :param limits: limits for ejecting endpoints.
        """
        self.endpoints: dict[str, RoutedEndpoint] = {}
        self.health = HealthTable(limits)
        self.loads: dict[str, LoadEstimate] = {}
        self.peers = PeerWork()

    def add(self, endpoint: RoutedEndpoint) -> None:
        """Add an endpoint or replace its description.

        :param endpoint: endpoint of this service.
        """
        endpoint_id = endpoint.endpoint_id
        self.endpoints[endpoint_id] = endpoint
        self.health.add(endpoint_id)
        if endpoint_id not in self.loads:
            self.loads[endpoint_id] = LoadEstimate()

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint.

        :param endpoint_id: endpoint that was added.
        """
        self.endpoints.pop(endpoint_id)
        self.health.remove(endpoint_id)
        self.loads.pop(endpoint_id)

    def get_load(self, endpoint_id: str, now: Milliseconds) -> Load:
        """Return the estimated load of an endpoint.

        :param endpoint_id: endpoint that was added.
        :param now: current time.
        """
        estimate = self.loads[endpoint_id]
        peer_load = self.peers.get_load(endpoint_id, now)
        if peer_load is None:
            return estimate.get_load(now)
        return Load(
            estimate.own_streams + peer_load.streams,
            estimate.own_prompt_tokens + peer_load.prompt_tokens,
        )

    def get_free_capacity(
        self, now: Milliseconds, share: float
    ) -> FreeCapacity:
        """Return the sum of the unused limits of the endpoints.

        :param now: current time.
        :param share: usable fraction of the endpoints' limits, from 0 to 1.
        """
        streams = float(0)
        prompt_tokens = float(0)
        for endpoint in self.endpoints.values():
            if endpoint.leaving:
                continue
            load = self.get_load(endpoint.endpoint_id, now)
            if endpoint.role is not Role.PREFILL:
                unused = share * endpoint.max_streams - load.streams
                streams += max(0, unused)
            if endpoint.role is not Role.DECODE:
                unused = share * endpoint.max_prompt_tokens - load.prompt_tokens
                prompt_tokens += max(0, unused)
        return FreeCapacity(streams, prompt_tokens)

    def get_own_work(self) -> tuple[EndpointWork, ...]:
        """Return this daemon's work in flight at each endpoint that has any."""
        return tuple(
            EndpointWork(
                endpoint_id, estimate.own_streams, estimate.own_prompt_tokens
            )
            for endpoint_id, estimate in self.loads.items()
            if estimate.own_streams or estimate.own_prompt_tokens
        )


class EndpointTable:
    """All endpoints known to the router, grouped by service."""

    def __init__(self, limits: HealthLimits) -> None:
        """Create an empty table.

        :param limits: limits for ejecting endpoints.
        """
        self._limits = limits
        self._services: dict[str, ServiceState] = {}
        self._endpoint_services: dict[str, str] = {}

    def replace(self, endpoints: Iterable[RoutedEndpoint]) -> set[str]:
        """Replace all endpoints and return the ids of the removed ones.

        An endpoint that moved to another service counts as removed.

        :param endpoints: all endpoints of all services.
        """
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        removed = {
            endpoint_id
            for endpoint_id, service in self._endpoint_services.items()
            if endpoint_id not in listed
            or listed[endpoint_id].service != service
        }
        for endpoint_id in removed:
            self._remove(endpoint_id)
        for endpoint in listed.values():
            self._add(endpoint)
        return removed

    def get_service(self, service: str) -> ServiceState | None:
        """Return the state of a service, None if it has no endpoints.

        :param service: name of the service.
        """
        return self._services.get(service)

    def get_endpoint_service(self, endpoint_id: str) -> ServiceState | None:
        """Return the state of the service that an endpoint belongs to.

        :param endpoint_id: endpoint; an unknown one gives None.
        """
        service = self._endpoint_services.get(endpoint_id)
        return None if service is None else self._services[service]

    def _add(self, endpoint: RoutedEndpoint) -> None:
        state = self._services.get(endpoint.service)
        if state is None:
            state = ServiceState(self._limits)
            self._services[endpoint.service] = state
        state.add(endpoint)
        self._endpoint_services[endpoint.endpoint_id] = endpoint.service

    def _remove(self, endpoint_id: str) -> None:
        service = self._endpoint_services.pop(endpoint_id)
        state = self._services[service]
        state.remove(endpoint_id)
        if not state.endpoints:
            self._services.pop(service)
