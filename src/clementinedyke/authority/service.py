"""Lease and orders of one model service."""

import trio

from clementinedyke.authority.dependencies import AuthorityDependencies
from clementinedyke.authority.planner import ServicePlanner
from clementinedyke.capacity.service_capacity import PLATFORM_PREFIX
from clementinedyke.clock import Milliseconds
from clementinedyke.endpoints.orders import EngineOrderClient
from clementinedyke.http.client import Address
from clementinedyke.http.message import RequestError
from clementinedyke.leases.component import LeaseComponent
from clementinedyke.leases.core import LeaseCore
from clementinedyke.orders.component import OutboxComponent
from clementinedyke.orders.target import OrderTarget
from clementinedyke.reference_platform.endpoint_orders import (
    EndpointOrderClient,
)

_PLAN_INTERVAL: Milliseconds = 1000
_MILLISECONDS_PER_SECOND = 1000


class ServiceAuthority:
    """Acquires the lease of a service, plans it and sends its orders."""

    def __init__(
        self,
        service: str,
        leases: LeaseComponent,
        dependencies: AuthorityDependencies,
    ) -> None:
        """Add the scope of the service to the lease component.

        :param service: name of the service.
        :param leases: lease component of this daemon.
        :param dependencies: clients, records and clock.
        """
        self._service = service
        self._leases = leases
        self._dependencies = dependencies
        self._cancel_scope = trio.CancelScope()
        self.is_withdrawn = False
        self.scope = f'service/{service}'
        self.lease: LeaseCore = leases.add_scope(self.scope)
        self.outbox = OutboxComponent(
            self.scope,
            self.lease,
            dependencies.tables,
            self._select_target,
            dependencies.clock,
        )
        leases.add_order_source(self.scope, self.outbox)
        self._planner = ServicePlanner(
            service,
            self.lease,
            self.outbox,
            dependencies.planning,
            dependencies.clock,
        )

    async def run(self) -> None:
        """Plan and send orders until the service is withdrawn."""
        with self._cancel_scope:
            async with trio.open_nursery() as nursery:
                await self.outbox.start(nursery)
                await self._plan_forever()

    async def withdraw(self) -> None:
        """Release the lease, then stop planning and sending orders."""
        self.is_withdrawn = True
        await self._leases.remove_scope(self.scope)
        self._cancel_scope.cancel()

    async def _plan_forever(self) -> None:
        while True:
            self._plan()
            await trio.sleep(_PLAN_INTERVAL / _MILLISECONDS_PER_SECOND)

    def _plan(self) -> None:
        try:
            directory = self._dependencies.get_directory()
        except RequestError:
            return
        self._planner.tick(directory)

    def _select_target(self, name: str) -> OrderTarget | None:
        if name.startswith(PLATFORM_PREFIX):
            return EndpointOrderClient(self._dependencies.platform_address)
        for endpoint in self._dependencies.planning.list_endpoints():
            if (endpoint.endpoint_id, endpoint.service) == (
                name,
                self._service,
            ):
                return EngineOrderClient(Address.parse(endpoint.address))
        return None
