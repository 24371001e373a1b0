"""Registry of the endpoints that the platform lists, and their clients."""

from collections.abc import Callable
from typing import Literal

import msgspec
from absl import logging

from clementinedyke.components import Component
from clementinedyke.decoding import decode_json
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address, HttpClient


class Endpoint(msgspec.Struct, frozen=True):
    """An entry of the platform's list of endpoints."""

    endpoint_id: str
    service: str
    availability_zone: str
    address: str
    price_class: Literal['standard', 'cheap'] = 'standard'
    state: Literal['live', 'leaving'] = 'live'


class EndpointRegistry(Component):
    """Keeps the platform's list of endpoints and an HTTP client for each."""

    def __init__(self) -> None:
        """Create a registry without endpoints."""
        self._endpoints: dict[str, Endpoint] = {}
        self._clients: dict[str, HttpClient] = {}
        self._round_robin_index = 0
        #: Called with all endpoints after the list has changed.
        self.observers: list[Callable[[tuple[Endpoint, ...]], None]] = []

    def list_endpoints(self) -> tuple[Endpoint, ...]:
        """Return all listed endpoints, both live and leaving."""
        return tuple(self._endpoints.values())

    def select_client(self, service: str) -> HttpClient | None:
        """Return the client of a live endpoint, or None if there is none.

        Live endpoints of the service are selected in round-robin order.

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
        """Return the client of an endpoint, and create it on first use.

        :param endpoint: listed endpoint.
        """
        client = self._clients.get(endpoint.address)
        if client is None:
            client = HttpClient(Address.parse(endpoint.address))
            self._clients[endpoint.address] = client
        return client

    def replace(self, content: bytes) -> None:
        """Replace all endpoints and notify the observers of a change.

        Malformed entries are left out.

        :param content: JSON list of endpoints from the platform.
        :raises ProtocolError: if the content is not a list.
        """
        try:
            entries = decode_json(content, list[msgspec.Raw])
        except ProtocolError as error:
            raise ProtocolError(
                f'invalid list of endpoints from the platform: {error}'
            ) from error
        listed = map(_decode_entry, entries)
        endpoints = {
            endpoint.endpoint_id: endpoint
            for endpoint in listed
            if endpoint is not None
        }
        if endpoints == self._endpoints:
            return
        self._endpoints = endpoints
        self._remove_unlisted_clients()
        for observer in self.observers:
            observer(self.list_endpoints())

    def _remove_unlisted_clients(self) -> None:
        """Remove the clients of endpoints that are no longer listed.

        Requests in progress keep their connection until they end.
        """
        listed = {endpoint.address for endpoint in self._endpoints.values()}
        for address in list(self._clients):
            if address not in listed:
                self._clients.pop(address)


def _decode_entry(content: msgspec.Raw) -> Endpoint | None:
    """Return an entry of the list, None if it names no endpoint to use."""
    try:
        endpoint = decode_json(bytes(content), Endpoint)
        Address.parse(endpoint.address)
    except (ProtocolError, ValueError) as error:
        logging.warning('event=endpoint_entry_unreadable error=%s', error)
        return None
    return endpoint
