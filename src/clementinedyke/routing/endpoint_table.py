"""Endpoints by service with their health and load."""

from collections.abc import Iterable

from clementinedyke.clock import Milliseconds
from clementinedyke.health import HealthLimits, HealthTable
from clementinedyke.routing.load import Load, LoadEstimate
from clementinedyke.routing.peer_work import EndpointWork, PeerWork
from clementinedyke.routing.types import FreeCapacity, Role, RoutedEndpoint


class ServiceState:
    """Endpoints of one service."""

    __slots__ = ('endpoints', 'health', 'loads', 'peers')

    def __init__(self, limits: HealthLimits) -> None:
        """Create a service without endpoints.

        :param limits: limits of ejection.
        """
        self.endpoints: dict[str, RoutedEndpoint] = {}
        self.health = HealthTable(limits)
        self.loads: dict[str, LoadEstimate] = {}
        self.peers = PeerWork()

    def add(self, endpoint: RoutedEndpoint) -> None:
        """Add an endpoint or take its new description.

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
        others = self.peers.get_load(endpoint_id, now)
        if others is None:
            return estimate.get_load(now)
        return Load(
            estimate.own_streams + others.streams,
            estimate.own_prompt_tokens + others.prompt_tokens,
        )

    def get_free_capacity(
        self, now: Milliseconds, share: float
    ) -> FreeCapacity:
        """Return the work that the endpoints can take beyond their load.

        :param now: current time.
        :param share: part of the endpoints' limits that may be used.
        """
        streams = float(0)
        prompt_tokens = float(0)
        for endpoint in self.endpoints.values():
            if endpoint.leaving:
                continue
            load = self.get_load(endpoint.endpoint_id, now)
            if endpoint.role is not Role.PREFILL:
                room = share * endpoint.max_streams - load.streams
                streams += max(0, room)
            if endpoint.role is not Role.DECODE:
                room = share * endpoint.max_prompt_tokens - load.prompt_tokens
                prompt_tokens += max(0, room)
        return FreeCapacity(streams, prompt_tokens)

    def get_own_work(self) -> tuple[EndpointWork, ...]:
        """Return this daemon's work at the endpoints that have any."""
        return tuple(
            EndpointWork(
                endpoint_id, estimate.own_streams, estimate.own_prompt_tokens
            )
            for endpoint_id, estimate in self.loads.items()
            if estimate.own_streams or estimate.own_prompt_tokens
        )


class EndpointTable:
    """All endpoints that the platform lists."""

    def __init__(self, limits: HealthLimits) -> None:
        """Create an empty table.

        :param limits: limits of ejection.
        """
        self._limits = limits
        self._services: dict[str, ServiceState] = {}
        self._owners: dict[str, str] = {}

    def replace(self, endpoints: Iterable[RoutedEndpoint]) -> set[str]:
        """Take the present list and return the endpoints that are gone.

        :param endpoints: all endpoints of all services.
        """
        listed = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        gone = {
            endpoint_id
            for endpoint_id, service in self._owners.items()
            if endpoint_id not in listed
            or listed[endpoint_id].service != service
        }
        for endpoint_id in gone:
            self._remove(endpoint_id)
        for endpoint in listed.values():
            self._add(endpoint)
        return gone

    def get_service(self, service: str) -> ServiceState | None:
        """Return the state of a service that has endpoints.

        :param service: name of the service.
        """
        return self._services.get(service)

    def get_endpoint_service(self, endpoint_id: str) -> ServiceState | None:
        """Return the state of the service of an endpoint.

        :param endpoint_id: endpoint that may be unknown.
        """
        service = self._owners.get(endpoint_id)
        return None if service is None else self._services[service]

    def _add(self, endpoint: RoutedEndpoint) -> None:
        state = self._services.get(endpoint.service)
        if state is None:
            state = ServiceState(self._limits)
            self._services[endpoint.service] = state
        state.add(endpoint)
        self._owners[endpoint.endpoint_id] = endpoint.service

    def _remove(self, endpoint_id: str) -> None:
        service = self._owners.pop(endpoint_id)
        state = self._services[service]
        state.remove(endpoint_id)
        if not state.endpoints:
            self._services.pop(service)
