"""Endpoints that the platform lists, with a client for each."""

from collections.abc import Callable
from typing import Literal

import msgspec

from clementinedyke.components import Component
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address, HttpClient


class Endpoint(msgspec.Struct, frozen=True):
    """An endpoint as the platform lists it."""

    endpoint_id: str
    service: str
    availability_zone: str
    address: str
    price_class: Literal['standard', 'cheap'] = 'standard'
    state: Literal['live', 'leaving'] = 'live'


class EndpointRegistry(Component):
    """Holds the platform's list of endpoints and owns their clients."""

    def __init__(self) -> None:
        """Create a registry without endpoints."""
        self._endpoints: dict[str, Endpoint] = {}
        self._clients: dict[str, HttpClient] = {}
        self._round_robin_index = 0
        #: Called with all endpoints when the list has changed.
        self.observers: list[Callable[[tuple[Endpoint, ...]], None]] = []

    def list_endpoints(self) -> tuple[Endpoint, ...]:
        """Return all listed endpoints, live and leaving."""
        return tuple(self._endpoints.values())

    def select_client(self, service: str) -> HttpClient | None:
        """Return the client of the next live endpoint of a service.

        :param service: name of the service.
        """
        live = [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service and endpoint.state == 'live'
        ]
        if not live:
            return None
        self._round_robin_index += 1
        return self.get_client(live[self._round_robin_index % len(live)])

    def get_client(self, endpoint: Endpoint) -> HttpClient:
        """Return the client of an endpoint.

        :param endpoint: listed endpoint.
        """
        client = self._clients.get(endpoint.address)
        if client is None:
            client = HttpClient(Address.parse(endpoint.address))
            self._clients[endpoint.address] = client
        return client

    def replace(self, content: bytes) -> None:
        """Take a list of endpoints from the platform.

        :param content: JSON list of endpoints.
        :raises ProtocolError: if it is not such a list.
        """
        try:
            listed = msgspec.json.decode(content, type=list[Endpoint])
        except msgspec.MsgspecError as error:
            raise ProtocolError(f'list of endpoints: {error}') from error
        endpoints = {endpoint.endpoint_id: endpoint for endpoint in listed}
        if endpoints == self._endpoints:
            return
        self._endpoints = endpoints
        self._remove_unlisted_clients()
        for observer in self.observers:
            observer(self.list_endpoints())

    def _remove_unlisted_clients(self) -> None:
        """Drop the clients of endpoints that are gone.

        Requests that still run keep their connection until they end.
        """
        listed = {endpoint.address for endpoint in self._endpoints.values()}
        for address in list(self._clients):
            if address not in listed:
                self._clients.pop(address)
