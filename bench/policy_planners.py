"""Simulates the planners of the lease holder and delayed messages."""

import random
from typing import Any

from bench.policy_bound import PROFILE
from clementinedyke.capacity import types as capacity_types
from clementinedyke.capacity.core import CapacityPlanner
from clementinedyke.roles import types as role_types
from clementinedyke.roles.core import RolePlanner
from clementinedyke.routing import events as route_events

SECOND = 1000
#: Milliseconds until the role planner receives the measured demand.
DEMAND_LAG = 2000
#: Milliseconds until the role planner receives the states of the engines.
REPORT_LAG = 1000
#: Milliseconds from the order of an endpoint until it is up.
ORDER_LATENCY = 120_000
MODEL = 'model'
#: Share of role changes that crash the engine in a scenario with crashes.
CRASH_SHARE = 0.3
#: Share of cache events that a daemon does not receive.
EVENT_LOSS = 0.01
#: Availability zone of the daemon that holds the lease.
HOLDER_ZONE = 1


class Planners:
    """Runs the role planner and, in reclaim scenarios, capacity planners.

    Also delivers cache events and consumption reports to the daemons.
    """

    def __init__(self, world: Any) -> None:
        """Create the planners of a simulation.

        :param world: simulation.
        """
        self._world = world
        self._roles = RolePlanner(
            role_types.PlannerSettings(
                profile=PROFILE,
                change_time=8000,
            )
        )
        self._capacity = {
            service: build_capacity_planner(world.run.size, service)
            for service in ('chat', 'plain')
        }
        self._open_changes: set[str] = set()
        self._pending_orders: list[Any] = []
        self._random = random.Random(world.run.seed)

    def schedule(self) -> None:
        """Schedule role planning each second, capacity every ten seconds."""
        world = self._world
        run = world.run
        end = run.scenario.duration
        is_active = run.policy == 'core' and run.switches.roles
        for at in range(SECOND, end, SECOND):
            if is_active:
                world.timeline.call_at(at, self._plan_roles)
            world.timeline.call_at(at, self._deliver_cache_events)
        if run.scenario.reclaim:
            for at in range(10_000, end, 10_000):
                world.timeline.call_at(at, self._plan_capacity)

    def handle_reclaim(self, zone: int) -> None:
        """Mark cheap endpoints of a zone as unavailable to the planners."""
        event = capacity_types.OrderUnavailable(
            f'zone-{zone}', capacity_types.PriceClass.CHEAP
        )
        for planner in self._capacity.values():
            planner.handle(event, round(self._world.timeline.now))

    def _deliver_cache_events(self) -> None:
        """Deliver cache events and consumption reports to the daemons."""
        world = self._world
        now = world.timeline.now
        for engine in world.fleet.get_members('chat'):
            cache_changes = engine.prefix_cache.pop_update()
            event = route_events.CacheChanged(
                engine.name,
                cache_changes.sequence,
                tuple(cache_changes.added),
                tuple(cache_changes.removed),
            )
            for daemon in world.daemons:
                if self._random.random() > EVENT_LOSS:
                    world.timeline.call_at(
                        now + 500, daemon.router.handle, event, round(now)
                    )
        if world.run.switches.remote:
            for sender in world.daemons:
                self._deliver_consumption(sender)

    def _deliver_consumption(self, sender: Any) -> None:
        world = self._world
        now = world.timeline.now
        for message in sender.admission.pop_consumption(round(now)):
            for daemon in world.daemons:
                if daemon is not sender:
                    world.timeline.call_at(
                        now + 300, daemon.admission.handle, message, round(now)
                    )

    def _plan_roles(self) -> None:
        world = self._world
        timeline = world.timeline
        prompt, output = world.demand
        world.demand = [0, 0]
        demand = role_types.ModelDemand(MODEL, prompt, output)
        reported = role_types.DemandReported((demand,))
        timeline.call_at(timeline.now + DEMAND_LAG, self._deliver, reported)
        engines = role_types.EnginesReported(
            tuple(
                role_types.PlannedEngine(
                    engine.name,
                    MODEL,
                    1,
                    engine.target_role or engine.role,
                    get_state(engine, is_reachable=self._is_reachable(engine)),
                    engine.stream_count,
                )
                for engine in world.fleet.get_members('chat')
                if engine.is_up or not engine.is_leaving
            )
        )
        timeline.call_at(timeline.now + REPORT_LAG, self._deliver, engines)
        for engine_id in list(self._open_changes):
            engine = world.fleet.endpoints[engine_id]
            if engine.target_role is None:
                self._open_changes.remove(engine_id)
                ended = role_types.ChangeEnded(engine_id)
                timeline.call_at(timeline.now + SECOND, self._deliver, ended)
        self._deliver(role_types.PlannerTicked())

    def _deliver(self, event: object) -> None:
        timeline = self._world.timeline
        for order in self._roles.handle(event, round(timeline.now)):
            engine = self._world.fleet.endpoints[order.engine_id]
            if engine.is_up and not engine.is_leaving:
                engine.change_role(order.role)
                self._crash_at_random(engine)
            self._open_changes.add(order.engine_id)

    def _is_reachable(self, engine: Any) -> bool:
        return self._world.fleet.is_reachable(HOLDER_ZONE, engine.name)

    def _crash_at_random(self, engine: Any) -> None:
        scenario = self._world.run.scenario
        if scenario.crashes and self._random.random() < CRASH_SHARE:
            timeline = self._world.timeline
            timeline.call_at(timeline.now + 2000, engine.crash)
            timeline.call_at(timeline.now + 32_000, restart, engine)

    def _plan_capacity(self) -> None:
        for service, planner in self._capacity.items():
            self._plan_service(service, planner)

    def _plan_service(self, service: str, planner: CapacityPlanner) -> None:
        world = self._world
        now = round(world.timeline.now)
        held = tuple(
            capacity_types.HeldEndpoint(
                item.name,
                f'zone-{item.zone}',
                get_price_class(cheap=item.cheap),
                capacity_types.EndpointState.LIVE,
                0,
            )
            for item in world.fleet.get_members(service)
            if item.is_up and not item.is_leaving
        )
        pending = tuple(
            entry for name, entry in self._pending_orders if name == service
        )
        planner.handle(capacity_types.EndpointsHeld(held + pending), now)
        need = get_need(world.run.size, service)
        planner.handle(need, now)
        orders = planner.handle(capacity_types.CapacityTicked(), now)
        for order in orders:
            if isinstance(order, capacity_types.OrderEndpoint):
                self._place_order(service, order)

    def _place_order(
        self, service: str, order: capacity_types.OrderEndpoint
    ) -> None:
        timeline = self._world.timeline
        entry = (
            service,
            capacity_types.HeldEndpoint(
                f'order-{timeline.now}-{len(self._pending_orders)}',
                order.availability_zone,
                order.price_class,
                capacity_types.EndpointState.ORDERED,
                round(timeline.now),
            ),
        )
        self._pending_orders.append(entry)
        at = timeline.now + ORDER_LATENCY
        timeline.call_at(at, self._add_ordered_endpoint, service, order, entry)

    def _add_ordered_endpoint(
        self,
        service: str,
        order: capacity_types.OrderEndpoint,
        entry: tuple[str, capacity_types.HeldEndpoint],
    ) -> None:
        self._pending_orders.remove(entry)
        zone, cheap = get_placement(order)
        self._world.fleet.add_endpoint(service, zone, cheap=cheap)


def get_initial_fleet(size: Any) -> dict[str, list[tuple[int, bool]]]:
    """Return the endpoints that the capacity planner orders at first.

    :param size: size of the fleet.
    :return: by service, the zone of each endpoint and whether it is cheap.
    """
    fleet = {}
    for service in ('chat', 'plain'):
        planner = build_capacity_planner(size, service)
        orders = planner.handle(capacity_types.CapacityTicked(), 0)
        fleet[service] = [get_placement(order) for order in orders]
    return fleet


def build_capacity_planner(size: Any, service: str) -> CapacityPlanner:
    """Return a planner that has received the offers and the need."""
    planner = CapacityPlanner(capacity_types.CapacitySettings())
    offers = tuple(
        capacity_types.ZoneOffer(f'zone-{zone}', 1, 0.4)
        for zone in range(size.zones)
    )
    planner.handle(capacity_types.OffersChanged(offers), 0)
    planner.handle(get_need(size, service), 0)
    return planner


def get_need(size: Any, service: str) -> capacity_types.NeedReported:
    """Return how many endpoints a service needs.

    Half of those of the plain service are needed for requests that are not
    repeatable.
    """
    if service == 'chat':
        return capacity_types.NeedReported(size.engines, 0)
    return capacity_types.NeedReported(size.plain, (size.plain + 1) // 2)


def get_placement(order: Any) -> tuple[int, bool]:
    """Return the zone number of an order and whether its class is cheap."""
    zone = int(order.availability_zone.removeprefix('zone-'))
    return zone, order.price_class is capacity_types.PriceClass.CHEAP


def get_price_class(*, cheap: bool) -> capacity_types.PriceClass:
    """Return the price class of a cheap or of any other endpoint."""
    if cheap:
        return capacity_types.PriceClass.CHEAP
    return capacity_types.PriceClass.STANDARD


def get_state(engine: Any, *, is_reachable: bool) -> role_types.EngineState:
    """Return the engine state to report to the role planner."""
    if not (engine.is_up and is_reachable) or engine.is_leaving:
        return role_types.EngineState.DOWN
    if engine.target_role is not None:
        return role_types.EngineState.CHANGING
    return role_types.EngineState.READY


def restart(engine: Any) -> None:
    """Restart a crashed engine; it keeps its role."""
    engine.is_up = True
