"""Turns the orders of the capacity planner of one service into wishes."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from clementinedyke.capacity.core import CapacityPlanner
from clementinedyke.capacity.demand import Demand
from clementinedyke.capacity.types import (
    CapacitySettings,
    CapacityTicked,
    EndpointsHeld,
    EndpointState,
    HeldEndpoint,
    NeedReported,
    OffersChanged,
    OrderEndpoint,
    OrderUnavailable,
    PriceClass,
    ReturnEndpoint,
    ZoneOffer,
)
from clementinedyke.clock import Milliseconds
from clementinedyke.endpoints.registry import Endpoint
from clementinedyke.leases.types import Fencing
from clementinedyke.orders.component import OutboxComponent
from clementinedyke.orders.types import OrderKind
from clementinedyke.records.core import CapacityRecord
from clementinedyke.records.directory import Directory
from clementinedyke.roles.types import PlannerSettings

#: Begins the names of targets at the endpoint interface.
PLATFORM_PREFIX = 'platform:'
#: An ordered endpoint that is not listed after this time counts as lost.
_ORDER_TIME: Milliseconds = 600_000
#: Records hold no prices; only the ratio of the two matters to the planner.
_STANDARD_PRICE = 1
_CHEAP_PRICE = 0.4

_Kind = tuple[str, PriceClass]


class CapacityWishes:
    """Plans the endpoints of one service within its capacity records."""

    def __init__(self, service: str, outbox: OutboxComponent) -> None:
        """Create a planner without a plan.

        :param service: name of the service.
        :param outbox: carries out the wishes.
        """
        self._service = service
        self._outbox = outbox
        self._planner = CapacityPlanner(CapacitySettings())
        self._seen_at: dict[str, Milliseconds] = {}
        self._returned: set[str] = set()

    def plan(
        self,
        directory: Directory,
        endpoints: Sequence[Endpoint],
        demand: Demand,
        now: Milliseconds,
    ) -> None:
        """Wish for endpoints to be ordered and returned.

        :param directory: records in force.
        :param endpoints: listed endpoints of the service.
        :param demand: offered work of the service.
        :param now: current time.
        """
        bounds = {
            record.availability_zone: record
            for record in directory.capacities.values()
            if record.service == self._service
        }
        if not bounds:
            return
        is_repeatable = directory.services[self._service].repeatable
        held = self._list_held(endpoints, bounds, now)
        self._report(bounds, held, get_need(demand), is_repeatable, now)
        counts = Counter(map(_get_kind, held))
        for order in self._planner.handle(CapacityTicked(), now):
            if isinstance(order, ReturnEndpoint):
                self._want_return(order.endpoint_id)
            else:
                self._want_endpoint(order, counts, bounds)

    def _report(
        self,
        bounds: dict[str, CapacityRecord],
        held: tuple[HeldEndpoint, ...],
        need: int,
        is_repeatable: bool,
        now: Milliseconds,
    ) -> None:
        planner = self._planner
        offers = tuple(map(_compile_offer, bounds.values()))
        planner.handle(OffersChanged(offers), now)
        planner.handle(EndpointsHeld(held), now)
        planner.handle(NeedReported(need, 0 if is_repeatable else need), now)
        for zone, record in bounds.items():
            for price_class in PriceClass:
                if price_class.value not in record.price_classes:
                    planner.handle(OrderUnavailable(zone, price_class), now)

    def _list_held(
        self,
        endpoints: Iterable[Endpoint],
        zones: Iterable[str],
        now: Milliseconds,
    ) -> tuple[HeldEndpoint, ...]:
        held = [self._compile_held(endpoint, now) for endpoint in endpoints]
        counts = Counter(map(_get_kind, held))
        for zone in zones:
            for price_class in PriceClass:
                kind = (zone, price_class)
                held.extend(self._list_ordered(kind, counts[kind], now))
        return tuple(held)

    def _compile_held(
        self, endpoint: Endpoint, now: Milliseconds
    ) -> HeldEndpoint:
        is_leaving = (
            endpoint.state == 'leaving'
            or endpoint.endpoint_id in self._returned
        )
        return HeldEndpoint(
            endpoint.endpoint_id,
            endpoint.availability_zone,
            PriceClass(endpoint.price_class),
            EndpointState.LEAVING if is_leaving else EndpointState.LIVE,
            self._seen_at.setdefault(endpoint.endpoint_id, now),
        )

    def _list_ordered(
        self, kind: _Kind, listed: int, now: Milliseconds
    ) -> Iterable[HeldEndpoint]:
        """Return the endpoints that were ordered and are not listed yet.

        The recorded order says how many endpoints there are with it, so that
        the next lease holder does not order the same endpoint again.
        """
        zone, price_class = kind
        row = self._outbox.core.get_row(get_target(kind))
        if row is None or row.outcome == 'refused':
            return
        since = self._seen_at.setdefault(row.order_id, now)
        wanted = int(row.argument.rpartition('/')[2])
        if now - since >= _ORDER_TIME:
            return
        if wanted <= listed:
            # It has arrived; a later loss is no order on its way.
            self._seen_at[row.order_id] = now - _ORDER_TIME
        for number in range(listed, wanted):
            yield HeldEndpoint(
                f'{row.order_id}#{number}',
                zone,
                price_class,
                EndpointState.ORDERED,
                since,
            )

    def _want_endpoint(
        self,
        order: OrderEndpoint,
        counts: Counter[_Kind],
        bounds: dict[str, CapacityRecord],
    ) -> None:
        kind = (order.availability_zone, order.price_class)
        record = bounds[order.availability_zone]
        in_zone = sum(
            counts[(order.availability_zone, price_class)]
            for price_class in PriceClass
        )
        is_cheap = order.price_class is PriceClass.CHEAP
        if in_zone >= record.maximum or (
            is_cheap and counts[kind] >= record.cheap_maximum
        ):
            return
        row = self._outbox.core.get_row(get_target(kind))
        if row is not None and row.outcome == 'open':
            return
        counts[kind] += 1
        argument = f'{kind[0]}/{kind[1].value}/{counts[kind]}'
        self._outbox.request_order(
            get_target(kind),
            Fencing.IGNORED,
            OrderKind.ORDER_ENDPOINT,
            argument,
        )

    def _want_return(self, endpoint_id: str) -> None:
        self._returned.add(endpoint_id)
        self._outbox.request_order(
            f'{PLATFORM_PREFIX}return',
            Fencing.IGNORED,
            OrderKind.RETURN_ENDPOINT,
            endpoint_id,
        )


def get_target(kind: _Kind) -> str:
    """Return the name of the target that orders endpoints of a kind.

    :param kind: availability zone and price class.
    """
    return f'{PLATFORM_PREFIX}{kind[0]}:{kind[1].value}'


def get_need(demand: Demand) -> int:
    """Return the number of endpoints that a demand keeps busy.

    :param demand: offered work.
    """
    settings = PlannerSettings()
    busy = demand.prompt_rate / settings.profile.prefill_rate
    busy += demand.output_rate / settings.profile.decode_rate
    return math.ceil(busy / settings.utilisation)


def _compile_offer(record: CapacityRecord) -> ZoneOffer:
    return ZoneOffer(
        record.availability_zone,
        _STANDARD_PRICE,
        _CHEAP_PRICE,
        record.minimum,
        record.maximum,
    )


def _get_kind(endpoint: HeldEndpoint) -> _Kind:
    return endpoint.availability_zone, endpoint.price_class
