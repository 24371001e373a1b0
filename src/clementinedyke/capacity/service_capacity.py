"""Plans the capacity of one service and submits orders to the outbox."""

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

#: Prefix of order targets at the platform's endpoint interface.
PLATFORM_PREFIX = 'platform:'
#: Ordered endpoints not listed within this time are considered lost.
_ORDER_TIMEOUT: Milliseconds = 600_000
#: Records hold no prices; the planner needs only the ratio of the two.
_STANDARD_PRICE = 1
_CHEAP_PRICE = 0.4

_Kind = tuple[str, PriceClass]


class ServiceCapacityPlanner:
    """Plans the endpoints of one service within its capacity records.

    Orders and returns are submitted to the outbox, which carries them out.
    """

    def __init__(self, service: str, outbox: OutboxComponent) -> None:
        """Create a planner for a service.

        :param service: name of the service.
        :param outbox: carries out the orders.
        """
        self._service = service
        self._outbox = outbox
        self._planner = CapacityPlanner(CapacitySettings())
        self._first_seen: dict[str, Milliseconds] = {}
        self._returned: set[str] = set()

    def plan(
        self,
        directory: Directory,
        endpoints: Sequence[Endpoint],
        demand: Demand,
        now: Milliseconds,
    ) -> None:
        """Plan once and submit the resulting orders and returns.

        Services without capacity records are not planned.

        :param directory: records in force.
        :param endpoints: endpoints of the service that the platform lists.
        :param demand: demand of the service over all daemons.
        :param now: current time in milliseconds.
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
        self._update_planner(bounds, held, get_need(demand), is_repeatable, now)
        counts = Counter(map(_get_kind, held))
        for order in self._planner.handle(CapacityTicked(), now):
            if isinstance(order, ReturnEndpoint):
                self._return_endpoint(order.endpoint_id)
            else:
                self._order_endpoint(order, counts, bounds)

    def _update_planner(
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
            self._first_seen.setdefault(endpoint.endpoint_id, now),
        )

    def _list_ordered(
        self, kind: _Kind, listed: int, now: Milliseconds
    ) -> Iterable[HeldEndpoint]:
        """Return placeholders for ordered endpoints that are not listed yet.

        The argument of a recorded order contains the total number of
        endpoints of the kind, so that the next lease holder does not order
        the same endpoint again.
        """
        zone, price_class = kind
        row = self._outbox.core.get_row(get_target(kind))
        if row is None or row.outcome == 'refused':
            return
        since = self._first_seen.setdefault(row.order_id, now)
        ordered_count = int(row.argument.rpartition('/')[2])
        if now - since >= _ORDER_TIMEOUT:
            return
        if ordered_count <= listed:
            # The endpoint was delivered. Expire the order, so that a loss of
            # an endpoint later on is not mistaken for a pending order.
            self._first_seen[row.order_id] = now - _ORDER_TIMEOUT
        for number in range(listed, ordered_count):
            yield HeldEndpoint(
                f'{row.order_id}#{number}',
                zone,
                price_class,
                EndpointState.ORDERED,
                since,
            )

    def _order_endpoint(
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

    def _return_endpoint(self, endpoint_id: str) -> None:
        self._returned.add(endpoint_id)
        self._outbox.request_order(
            f'{PLATFORM_PREFIX}return',
            Fencing.IGNORED,
            OrderKind.RETURN_ENDPOINT,
            endpoint_id,
        )


def get_target(kind: _Kind) -> str:
    """Return the order target for endpoints of a kind.

    :param kind: availability zone and price class.
    """
    return f'{PLATFORM_PREFIX}{kind[0]}:{kind[1].value}'


def get_need(demand: Demand) -> int:
    """Return the number of endpoints needed to serve a demand.

    Endpoints are loaded up to the utilisation limit of the role planner.

    :param demand: work offered by callers.
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
