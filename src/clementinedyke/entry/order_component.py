"""Sends capacity and stage orders while this daemon holds the duties."""

from dataclasses import replace
from typing import Protocol

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.capacity_plan import CapacityPlan
from clementinedyke.entry.catalog import EntryEndpoint, EntryService
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.duty_lease import DutyLease
from clementinedyke.entry.duty_types import (
    Authority,
    CapacityOrder,
    EngineState,
    OrderOutcome,
    StageOrder,
)
from clementinedyke.entry.endpoint_pauses import EndpointPauses
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.endpoint_work import WorkTable
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.stage_plan import StagePlan
from clementinedyke.store_revision import is_first_fence
from clementinedyke.tasks import run_restarting

_INTERVAL_SECONDS = 0.25
#: Time after the start in which no orders are sent. Endpoints register within
#: about two heartbeats of 1.2 s, and engines that run but have not registered
#: yet must not be ordered again.
_DISCOVERY_TIME: Milliseconds = 2000
#: When the whole system starts for the first time, callers arrive seconds after
#: the hosts. Until then standard engines may be released before cheap ones run.
_FIRST_START_TIME: Milliseconds = 5000


class OrderSender(Protocol):
    """Client that sends capacity and stage orders."""

    async def order_capacity(
        self, order: CapacityOrder, authority: Authority
    ) -> OrderOutcome:
        """Set the wanted number of engines of one kind in a zone."""

    async def order_stage(
        self, order: StageOrder, authority: Authority
    ) -> OrderOutcome:
        """Order a change of stage."""

    async def get_engine_state(
        self, endpoint: EntryEndpoint
    ) -> EngineState | None:
        """Return the state reported by an engine, None if unknown."""


class OrderComponent(Component):
    """Task that sends the orders by which the fleet follows the plans."""

    def __init__(
        self,
        lease: DutyLease,
        views: tuple[ConfigurationView, EndpointView],
        plans: tuple[CapacityPlan, StagePlan],
        sender: OrderSender,
        state: tuple[WorkTable, EndpointPauses],
        clock: Clock,
        journal: Journal,
    ) -> None:
        """Create the component.

        :param lease: lease on the duties.
        :param views: views of the configuration and of the endpoints.
        :param plans: capacity plan and stage plan.
        :param sender: client of the platform and of the engines.
        :param state: outstanding work of the engines, and their pauses.
        :param clock: clock of the host.
        :param journal: log of orders.
        """
        self._lease = lease
        self._configuration = views[0]
        self._endpoints = views[1]
        self._capacity = plans[0]
        self._stages = plans[1]
        self._sender = sender
        self._work = state[0]
        self._pauses = state[1]
        self._clock = clock
        self._journal = journal
        self._fence = 0
        self._started_at = clock.get_now()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(run_restarting, self._run, 'order_component')

    async def _run(self) -> None:
        while True:
            await trio.sleep(_INTERVAL_SECONDS)
            await self._step()

    async def _step(self) -> None:
        configuration = self._configuration.configuration
        authority = self._lease.get_authority()
        now = self._clock.get_now()
        if authority is None or configuration is None:
            return
        if now < self._started_at + _DISCOVERY_TIME:
            return
        self._capacity.releases_standard_at_once = (
            is_first_fence(authority.fence)
            and now < self._started_at + _FIRST_START_TIME
        )
        if authority.fence != self._fence:
            self._fence = authority.fence
            self._capacity.clear_orders(now)
        endpoints = self._endpoints.list_endpoints(now)
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._order_capacity(service, endpoints)
            if service.engine is not None:
                await self._order_stages(service, endpoints)

    async def _order_capacity(
        self, service: EntryService, endpoints: list[EntryEndpoint]
    ) -> None:
        offer = service.scaling
        now = self._clock.get_now()
        backlog = self._work.get_backlog(service.name, now)
        for order in self._capacity.list_orders(
            service, endpoints, now, backlog
        ):
            authority = self._lease.get_authority()
            if authority is None or offer is None:
                return
            outcome = await self._sender.order_capacity(order, authority)
            self._capacity.record_outcome(
                order, outcome, offer, self._clock.get_now()
            )
            self._journal.write(
                'capacity_ordered',
                service=order.service,
                zone=order.availability_zone,
                cheap=order.is_cheap,
                count=order.count,
                outcome=outcome.value,
                fence=authority.fence,
                backlog_ms=round(backlog),
            )

    async def _order_stages(
        self, service: EntryService, endpoints: list[EntryEndpoint]
    ) -> None:
        now = self._clock.get_now()
        for wanted in self._stages.list_orders(service.name, endpoints, now):
            if self._pauses.is_paused(wanted.endpoint, self._clock.get_now()):
                continue
            state = await self._sender.get_engine_state(wanted.endpoint)
            authority = self._lease.get_authority()
            if authority is None:
                return
            if state is None or state.is_changing:
                continue
            order = replace(wanted, accepted_orders=state.accepted_orders)
            self._stages.record_sent(order, self._clock.get_now())
            outcome = await self._sender.order_stage(order, authority)
            self._journal.write(
                'stage_ordered',
                endpoint=order.endpoint.endpoint_id,
                stage=order.stage.value,
                outcome=outcome.value,
                fence=authority.fence,
            )
