"""Builds decision cores of given sizes to measure their cost."""

import random

from clementinedyke.admission import events as admission_events
from clementinedyke.admission.core import AdmissionCore
from clementinedyke.admission.service import AdmissionLimits
from clementinedyke.capacity.core import CapacityPlanner
from clementinedyke.capacity.types import (
    CapacitySettings,
    CapacityTicked,
    NeedReported,
    OffersChanged,
    ZoneOffer,
)
from clementinedyke.roles.core import RolePlanner
from clementinedyke.roles.types import (
    DemandReported,
    EnginesReported,
    ModelDemand,
    PlannedEngine,
    PlannerSettings,
    PlannerTicked,
)
from clementinedyke.routing import events as route_events
from clementinedyke.routing.core import RouterCore
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.peer_work import EndpointWork
from clementinedyke.routing.selection import RouterSettings
from clementinedyke.routing.types import (
    Choice,
    FreeCapacity,
    Role,
    RoutedEndpoint,
    RouteRequest,
)

#: Hashes of the prompt blocks that all requests share.
HASHES = tuple(range(8))


def build_router(endpoints: int) -> RouterCore:
    """Return a router for one service with a load report per endpoint."""
    core = RouterCore(RouterSettings(availability_zone='z0'), random.Random(1))
    listed = tuple(
        RoutedEndpoint(
            f'e{number}', 'chat', f'z{number % 5}', role=tuple(Role)[number % 3]
        )
        for number in range(endpoints)
    )
    core.handle(route_events.EndpointsChanged(listed), 0)
    for endpoint in listed:
        report = LoadReport(20, 3000)
        event = route_events.LoadReported(endpoint.endpoint_id, report, 900)
        core.handle(event, 1000)
    return core


def build_request(number: int) -> RouteRequest:
    """Return a request with a prompt of 9,000 tokens and a unique id."""
    return RouteRequest(f'r{number}', 'chat', '', 9000, HASHES)


def start_request(core: RouterCore, number: int) -> None:
    """Route a request and start it if an endpoint was selected."""
    request = build_request(number)
    choice = core.select_endpoint(request, 1000)
    if isinstance(choice, Choice):
        core.handle(route_events.RequestStarted(request, choice), 1000)


def run_request(core: RouterCore, number: int) -> None:
    """Route and start a request, then report first token and end."""
    start_request(core, number)
    core.handle(route_events.FirstTokenReceived(f'r{number}'), 1100)
    core.handle(route_events.RequestFinished(f'r{number}'), 1200)


def build_loaded_router(requests: int) -> RouterCore:
    """Return a router for 25 endpoints with a number of requests in flight."""
    core = build_router(25)
    for number in range(requests):
        start_request(core, number)
    return core


def build_cached_router(blocks: int) -> RouterCore:
    """Return a router whose prefix index has blocks of 25 endpoints.

    :param blocks: number of cached blocks, distributed over the endpoints.
    """
    core = build_router(25)
    for number in range(25):
        added = tuple(range(number, blocks, 25)) + HASHES
        event = route_events.CacheChanged(f'e{number}', 1, added)
        core.handle(event, 0)
    return core


def build_arrival(number: int, customers: int) -> object:
    """Return the arrival of a request; customers take turns by number."""
    customer = f'c{number % customers}'
    return admission_events.RequestArrived(
        f'q{number}', 'chat', customer, 2000, 1000, 10**9
    )


def build_admission(customers: int) -> AdmissionCore:
    """Return an admission core with two queued requests per customer.

    There is no free capacity, so none of them starts.

    :param customers: number of customers.
    """
    limits = AdmissionLimits(max_total_requests=10**6)
    core = AdmissionCore(limits)
    no_capacity = FreeCapacity(0, 0)
    core.handle(
        admission_events.FreeCapacityReported('chat', no_capacity, no_capacity),
        0,
    )
    for number in range(customers * 2):
        core.handle(build_arrival(number, customers), 0)
    return core


def admit(core: AdmissionCore, customers: int, number: int) -> None:
    """Queue a request, then start and end those that one slot admits."""
    core.handle(build_arrival(10**6 + number, customers), 0)
    one = FreeCapacity(1, 1)
    event = admission_events.FreeCapacityReported('chat', one, one)
    for action in core.handle(event, 0):
        ended = admission_events.RequestEnded(action.request_id, 1800)
        core.handle(ended, 0)


def report_peer_work(core: RouterCore, number: int) -> None:
    """Apply the report of one of 25 peers about 20 endpoints."""
    work = tuple(EndpointWork(f'e{index}', 2, 3000) for index in range(20))
    peer = f'd{number % 25}'
    core.handle(route_events.PeerReported(peer, 'chat', work), 1000)


def build_planner(engines: int) -> RolePlanner:
    """Return a planner for one model with reported engines and demand."""
    planner = RolePlanner(PlannerSettings())
    reported = tuple(
        PlannedEngine(f'e{number}', 'm', 1, tuple(Role)[number % 3])
        for number in range(engines)
    )
    planner.handle(EnginesReported(reported), 0)
    demand = ModelDemand('m', engines * 1500, engines * 300)
    planner.handle(DemandReported((demand,)), 0)
    return planner


def plan_roles(planner: RolePlanner, number: int) -> None:
    """Run one planning cycle; the number of the call is the time in ms."""
    planner.handle(PlannerTicked(), number)


def plan_capacity(endpoints: int, number: int) -> None:
    """Plan the capacity of a service that holds no endpoints.

    :param endpoints: number of endpoints needed.
    :param number: number of the call, used as the time in milliseconds.
    """
    planner = CapacityPlanner(CapacitySettings())
    offers = tuple(ZoneOffer(f'z{zone}', 1, 0.4) for zone in range(5))
    planner.handle(OffersChanged(offers), number)
    planner.handle(NeedReported(endpoints, endpoints // 5), number)
    planner.handle(CapacityTicked(), number)
