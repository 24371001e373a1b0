"""Endpoints that the platform lists, with a client for each."""

from collections.abc import Callable
from typing import Literal

import msgspec
import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.components import Component
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http_client import Address, HttpClient, HttpRequest

_POLL_INTERVAL: Milliseconds = 1000
_TIMEOUT: Milliseconds = 2000
_MILLISECONDS_PER_SECOND = 1000
_STATUS_OK = 200


class Endpoint(msgspec.Struct, frozen=True):
    """An endpoint as the platform lists it."""

    endpoint_id: str
    service: str
    availability_zone: str
    address: str
    price_class: Literal['standard', 'cheap'] = 'standard'
    state: Literal['live', 'leaving'] = 'live'


class EndpointRegistry(Component):
    """Polls the platform's list of endpoints and owns their clients."""

    def __init__(self, platform: HttpClient) -> None:
        """Create the registry.

        :param platform: HTTP client of the platform.
        """
        self._platform = platform
        self._endpoints: dict[str, Endpoint] = {}
        self._clients: dict[str, HttpClient] = {}
        self._turn = 0
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
        self._turn += 1
        return self.get_client(live[self._turn % len(live)])

    async def start(self, nursery: trio.Nursery) -> None:
        """Read the list once and start polling.

        :param nursery: nursery that runs the poll.
        """
        await self._poll()
        nursery.start_soon(self._poll_forever)

    def get_client(self, endpoint: Endpoint) -> HttpClient:
        """Return the client of an endpoint.

        :param endpoint: listed endpoint.
        """
        client = self._clients.get(endpoint.endpoint_id)
        if client is None:
            client = HttpClient(Address.parse(endpoint.address))
            self._clients[endpoint.endpoint_id] = client
        return client

    async def _poll_forever(self) -> None:
        while True:
            await trio.sleep(_POLL_INTERVAL / _MILLISECONDS_PER_SECOND)
            await self._poll()

    async def _poll(self) -> None:
        request = HttpRequest('GET', '/v1/endpoints')
        try:
            answer = await self._platform.request(request, _TIMEOUT)
        except (PeerUnavailableError, AnswerLostError):
            return
        if answer.status != _STATUS_OK:
            return
        listed = msgspec.json.decode(answer.body, type=list[Endpoint])
        endpoints = {endpoint.endpoint_id: endpoint for endpoint in listed}
        if endpoints != self._endpoints:
            self._endpoints = endpoints
            for observer in self.observers:
                observer(self.list_endpoints())
