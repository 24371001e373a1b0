"""Passes the orders of the planners of one service to its outbox."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from clementinedyke.capacity.demand import Demand
from clementinedyke.capacity.service_capacity import ServiceCapacityPlanner
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.endpoints.registry import Endpoint
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.types import Fencing
from clementinedyke.orders.component import OutboxComponent
from clementinedyke.orders.types import OrderKind
from clementinedyke.records.core import ServiceRecord
from clementinedyke.records.directory import Directory
from clementinedyke.roles.core import RolePlanner
from clementinedyke.roles.types import (
    ChangeEnded,
    ChangeRole,
    DemandReported,
    EnginesReported,
    EngineState,
    LoadModel,
    ModelDemand,
    PlannedEngine,
    PlannerSettings,
    PlannerTicked,
    RoleOrder,
)

_CAPACITY_INTERVAL: Milliseconds = 10_000


@dataclass(frozen=True, slots=True)
class PlannerSources:
    """Sources of engines, endpoints and demand for the planners.

    ``list_engines`` returns the engines of a service whose state this daemon
    follows, without their model. ``plans_roles`` enables orders that change
    the roles of engines.
    """

    list_engines: Callable[[str], Iterable[PlannedEngine]]
    list_endpoints: Callable[[], Iterable[Endpoint]]
    get_demand: Callable[[str], Demand]
    plans_roles: bool = False


class ServicePlanner:
    """Plans one service while this daemon holds its lease."""

    def __init__(
        self,
        service: str,
        lease: LeaseCore,
        outbox: OutboxComponent,
        sources: PlannerSources,
        clock: Clock,
    ) -> None:
        """Create a planner in its initial state.

        :param service: name of the service.
        :param lease: lease of the service.
        :param outbox: outbox that records and sends the orders.
        :param sources: sources of engines, endpoints and demand.
        :param clock: clock of the process.
        """
        self._service = service
        self._lease = lease
        self._outbox = outbox
        self._sources = sources
        self._clock = clock
        self._tenure = 0
        self._roles = RolePlanner(PlannerSettings())
        self._capacity = ServiceCapacityPlanner(service, outbox)
        self._next_capacity: Milliseconds = 0
        #: Arguments of the orders whose outcome is awaited, by engine.
        self._ordered: dict[str, str] = {}

    def tick(self, directory: Directory) -> None:
        """Plan once; do nothing unless the lease is held.

        :param directory: current records.
        """
        now = self._clock.get_now()
        record = directory.services.get(self._service)
        is_held = self._lease.may_order(Fencing.CHECKED, now)
        # The outbox ignores requests until it has read its orders.
        if record is None or not is_held or not self._outbox.core.is_loaded:
            return
        if self._lease.fence_version != self._tenure:
            self._start_tenure(self._lease.fence_version)
        demand = self._sources.get_demand(self._service)
        # Engines do not report their model, so engines of a service with
        # several models cannot be planned.
        if self._sources.plans_roles and len(record.models) == 1:
            self._plan_roles(record, demand, now)
        if now >= self._next_capacity:
            self._next_capacity = now + _CAPACITY_INTERVAL
            listed = self._list_endpoints()
            self._capacity.plan(directory, listed, demand, now)

    def _start_tenure(self, tenure: int) -> None:
        """Reset the planners when a new tenure begins."""
        self._tenure = tenure
        self._roles = RolePlanner(PlannerSettings())
        self._capacity = ServiceCapacityPlanner(self._service, self._outbox)
        self._next_capacity = 0
        self._ordered.clear()

    def _plan_roles(
        self, record: ServiceRecord, demand: Demand, now: Milliseconds
    ) -> None:
        model = record.models[0]
        planner = self._roles
        engines = self._list_engines(model)
        planner.handle(EnginesReported(engines), now)
        # This daemon follows the state of only a subset of the engines. It
        # plans that subset with a proportional share of the demand.
        share = len(engines) / max(1, len(engines), self._count_live())
        offered = ModelDemand(
            model, demand.prompt_rate * share, demand.output_rate * share
        )
        planner.handle(DemandReported((offered,)), now)
        for engine_id in self._list_ended():
            planner.handle(ChangeEnded(engine_id), now)
        for order in planner.handle(PlannerTicked(), now):
            self._request(order, Fencing(record.fencing))

    def _list_endpoints(self) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._sources.list_endpoints()
            if endpoint.service == self._service
        ]

    def _count_live(self) -> int:
        return sum(item.state == 'live' for item in self._list_endpoints())

    def _list_engines(self, model: str) -> tuple[PlannedEngine, ...]:
        engines = []
        for engine in self._sources.list_engines(self._service):
            row = self._outbox.core.get_row(engine.engine_id)
            is_open = row is not None and row.outcome == 'open'
            state = EngineState.CHANGING if is_open else engine.state
            engines.append(replace(engine, model=model, state=state))
        return tuple(engines)

    def _list_ended(self) -> list[str]:
        ended = []
        for engine_id, argument in self._ordered.items():
            row = self._outbox.core.get_row(engine_id)
            if row and row.argument == argument and row.outcome != 'open':
                ended.append(engine_id)
        for engine_id in ended:
            self._ordered.pop(engine_id)
        return ended

    def _request(self, order: RoleOrder, fencing: Fencing) -> None:
        kind, argument = compile_order(order)
        self._ordered[order.engine_id] = argument
        self._outbox.request_order(order.engine_id, fencing, kind, argument)


def compile_order(order: RoleOrder) -> tuple[OrderKind, str]:
    """Return the kind and the argument of the order to send to an engine.

    :param order: order from the role planner.
    """
    if isinstance(order, ChangeRole):
        return OrderKind.ROLE, order.role.value
    if isinstance(order, LoadModel):
        argument = f'{order.model}/{order.version}/{order.role.value}'
        return OrderKind.LOAD_MODEL, argument
    return OrderKind.LOAD_ADAPTER, order.adapter
