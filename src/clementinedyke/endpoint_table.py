"""Endpoints by service with their health and load."""

from collections.abc import Iterable

from clementinedyke.health import HealthLimits, HealthTable
from clementinedyke.load import LoadEstimate
from clementinedyke.route_types import RoutedEndpoint


class ServiceState:
    """Endpoints of one service."""

    __slots__ = ('endpoints', 'health', 'loads')

    def __init__(self, limits: HealthLimits) -> None:
        """Create a service without endpoints.

        :param limits: limits of ejection.
        """
        self.endpoints: dict[str, RoutedEndpoint] = {}
        self.health = HealthTable(limits)
        self.loads: dict[str, LoadEstimate] = {}

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

    def get_owner(self, endpoint_id: str) -> ServiceState | None:
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
