"""Plans which endpoints of a service to order and which to return."""

from collections import Counter, deque
from collections.abc import Iterator
from functools import singledispatchmethod
from typing import TypeAlias

from clementinedyke.capacity.types import (
    CapacityOrder,
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

_Kind: TypeAlias = tuple[str, PriceClass]
Target: TypeAlias = Counter[_Kind]


class CapacityPlanner:
    """Plans the endpoints of one service; run by its lease holder.

    The target is the cheapest set of endpoints that still covers the need
    if any one availability zone loses all its cheap endpoints. The planner
    performs no I/O: events go in through :meth:`handle`, orders come out.
    """

    def __init__(self, settings: CapacitySettings) -> None:
        """Create a planner without offers, endpoints or reported need.

        :param settings: time windows and limits of the planner.
        """
        self._settings = settings
        self._offers: tuple[ZoneOffer, ...] = ()
        self._held: tuple[HeldEndpoint, ...] = ()
        self._recent_needs: deque[tuple[Milliseconds, NeedReported]] = deque()
        self._unavailable: dict[_Kind, Milliseconds] = {}
        self._pending_orders: Counter[_Kind] = Counter()

    @singledispatchmethod
    def handle(self, event: object, now: Milliseconds) -> list[CapacityOrder]:
        """Process an event and return the orders to send.

        Only :class:`CapacityTicked` yields orders.

        :param event: event of :mod:`clementinedyke.capacity.types`.
        :param now: current time in milliseconds.
        :raises TypeError: if the type of the event is not supported.
        """
        raise TypeError(
            f'capacity planner does not support the event {event!r}'
        )

    @handle.register
    def _handle_offers(
        self, event: OffersChanged, now: Milliseconds
    ) -> list[CapacityOrder]:
        self._offers = event.offers
        return []

    @handle.register
    def _handle_endpoints(
        self, event: EndpointsHeld, now: Milliseconds
    ) -> list[CapacityOrder]:
        self._held = event.endpoints
        # The list includes the endpoints of all orders sent before it.
        self._pending_orders.clear()
        return []

    @handle.register
    def _handle_need(
        self, event: NeedReported, now: Milliseconds
    ) -> list[CapacityOrder]:
        self._recent_needs.append((now, event))
        limit = now - self._settings.need_window
        while self._recent_needs[0][0] < limit:
            self._recent_needs.popleft()
        return []

    @handle.register
    def _handle_unavailable(
        self, event: OrderUnavailable, now: Milliseconds
    ) -> list[CapacityOrder]:
        kind = (event.availability_zone, event.price_class)
        self._unavailable[kind] = now + self._settings.unavailable_time
        return []

    @handle.register
    def _handle_tick(
        self, event: CapacityTicked, now: Milliseconds
    ) -> list[CapacityOrder]:
        if not (self._recent_needs and self._offers):
            return []
        target = self._get_target(now)
        held: Counter[_Kind] = Counter(
            _get_kind(item)
            for item in self._held
            if item.state is not EndpointState.LEAVING
        )
        missing = target - held - self._pending_orders
        orders: list[CapacityOrder] = [
            OrderEndpoint(zone, price_class)
            for zone, price_class in missing.elements()
        ]
        self._pending_orders.update(missing)
        if not orders:
            orders.extend(self._list_returns(target, now))
        return orders

    def _get_target(self, now: Milliseconds) -> Target:
        total = max(need.total for _, need in self._recent_needs)
        required_standard = max(
            need.non_repeatable for _, need in self._recent_needs
        )
        required_standard = max(required_standard, self._settings.min_standard)
        targets = [
            self._compile_target(total, required_standard, zones, per_zone, now)
            for zones in range(1 + len(self._offers))
            for per_zone in range(1 + total)
        ]
        return min(targets, key=self._get_cost)

    def _compile_target(
        self,
        total: int,
        required_standard: int,
        zones: int,
        per_zone: int,
        now: Milliseconds,
    ) -> Target:
        """Return a target that spreads cheap endpoints over some zones.

        The cheapest ``zones`` availability zones get ``per_zone`` cheap
        endpoints each, at most the maximum of the zone. Standard endpoints
        cover what remains after the loss of the largest of these zones.
        """
        offers = list(self._list_cheap(now))[:zones]
        counts = {
            (offer.availability_zone, PriceClass.CHEAP): min(
                per_zone, offer.maximum
            )
            for offer in offers
        }
        surviving = sum(counts.values()) - max(counts.values(), default=0)
        standard = max(required_standard, total - surviving)
        target: Target = Counter(counts)
        self._add_standard(target, standard, now)
        return +target

    def _list_cheap(self, now: Milliseconds) -> Iterator[ZoneOffer]:
        if not self._settings.cheap_allowed:
            return
        for offer in sorted(self._offers, key=_get_cheap_price):
            kind = (offer.availability_zone, PriceClass.CHEAP)
            if self._unavailable.get(kind, now) <= now:
                yield offer

    def _add_standard(
        self, target: Target, count: int, now: Milliseconds
    ) -> None:
        """Add standard endpoints to a target, spread evenly over the zones.

        Cheaper availability zones come first. The minimum of each zone is
        met even if it exceeds the count.
        """
        offers = list(self._list_standard(now))
        for minimum in offers:
            kind = (minimum.availability_zone, PriceClass.STANDARD)
            target[kind] = minimum.minimum
            count -= minimum.minimum
        while count > 0:
            offers = [
                item
                for item in offers
                if _get_zone_count(target, item) < item.maximum
            ]
            if not offers:
                return
            for offer in offers[:count]:
                target[(offer.availability_zone, PriceClass.STANDARD)] += 1
                count -= 1

    def _list_standard(self, now: Milliseconds) -> Iterator[ZoneOffer]:
        for offer in sorted(self._offers, key=_get_standard_price):
            kind = (offer.availability_zone, PriceClass.STANDARD)
            if self._unavailable.get(kind, now) <= now:
                yield offer

    def _get_cost(self, target: Target) -> tuple[float, int]:
        cost = float(0)
        for offer in self._offers:
            zone = offer.availability_zone
            standard = target[(zone, PriceClass.STANDARD)]
            cheap = target[(zone, PriceClass.CHEAP)]
            cost += standard * offer.standard_price
            cost += cheap * offer.cheap_price
        return cost, target.total()

    def _list_returns(
        self, target: Target, now: Milliseconds
    ) -> Iterator[ReturnEndpoint]:
        """Return surplus endpoints once the whole target is live.

        Endpoints younger than ``min_hold`` are kept: they are paid for.
        """
        live = [item for item in self._held if item.state is EndpointState.LIVE]
        surplus = Counter(_get_kind(item) for item in live) - target
        if target - Counter(_get_kind(item) for item in live):
            return
        for endpoint in sorted(live, key=_get_since):
            kind = _get_kind(endpoint)
            is_within_min_hold = now - endpoint.since < self._settings.min_hold
            if surplus[kind] > 0 and not is_within_min_hold:
                surplus[kind] -= 1
                yield ReturnEndpoint(endpoint.endpoint_id)


def _get_kind(endpoint: HeldEndpoint) -> _Kind:
    return endpoint.availability_zone, endpoint.price_class


def _get_since(endpoint: HeldEndpoint) -> Milliseconds:
    return endpoint.since


def _get_cheap_price(offer: ZoneOffer) -> float:
    return offer.cheap_price


def _get_standard_price(offer: ZoneOffer) -> float:
    return offer.standard_price


def _get_zone_count(target: Target, offer: ZoneOffer) -> int:
    zone = offer.availability_zone
    standard = target[(zone, PriceClass.STANDARD)]
    return standard + target[(zone, PriceClass.CHEAP)]
