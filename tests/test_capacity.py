"""Tests of the capacity planner."""

from collections import Counter

from hypothesis import given, strategies

from clementinedyke.capacity import types
from clementinedyke.capacity.core import CapacityPlanner

_ZONES = ('a', 'b', 'c', 'd')
_TICK = types.CapacityTicked()


def build_planner(**fields) -> CapacityPlanner:
    """Return a planner with four zones; cheap costs 40% of standard."""
    planner = CapacityPlanner(types.CapacitySettings(**fields))
    offers = tuple(types.ZoneOffer(zone, 1, 0.4) for zone in _ZONES)
    planner.handle(types.OffersChanged(offers), 0)
    return planner


def compile_live_endpoints(
    orders: list[types.CapacityOrder], since: int = 0
) -> types.EndpointsHeld:
    """Return an event that reports all ordered endpoints as live."""
    return types.EndpointsHeld(
        tuple(
            types.HeldEndpoint(
                f'e{number}-{since}',
                order.availability_zone,
                order.price_class,
                types.EndpointState.LIVE,
                since,
            )
            for number, order in enumerate(orders)
        )
    )


class TestCapacityPlanner:
    """Guards against lack of capacity after a loss and needless cost."""

    @given(
        total=strategies.integers(1, 60),
        fixed=strategies.integers(0, 10),
        unavailable=strategies.sets(strategies.sampled_from(_ZONES)),
    )
    def test_reserve_covers_any_zone(
        self, total: int, fixed: int, unavailable: set[str]
    ) -> None:
        """The need must be covered if any zone loses its cheap endpoints."""
        planner = build_planner()
        cheap = types.PriceClass.CHEAP
        for zone in unavailable:
            planner.handle(types.OrderUnavailable(zone, cheap), 0)
        planner.handle(types.NeedReported(total, fixed), 0)
        orders = planner.handle(_TICK, 0)
        per_zone = Counter(
            order.availability_zone
            for order in orders
            if order.price_class is cheap
        )
        assert len(orders) - max(per_zone.values(), default=0) >= total
        assert len(orders) - per_zone.total() >= fixed
        assert not per_zone.keys() & unavailable

    def test_pending_orders_are_not_repeated(self) -> None:
        """Orders take minutes to be listed; they must not be repeated."""
        planner = build_planner()
        planner.handle(types.NeedReported(5, 1), 0)
        assert planner.handle(_TICK, 0)
        assert not planner.handle(_TICK, 10_000)

    def test_reclaimed_endpoints_are_replaced(self) -> None:
        """Reclaimed endpoints are replaced, from other zones if need be."""
        planner = build_planner()
        planner.handle(types.NeedReported(6, 1), 0)
        held = planner.handle(_TICK, 0)
        cheap = types.PriceClass.CHEAP
        remaining = [
            order
            for order in held
            if (order.availability_zone, order.price_class) != ('b', cheap)
        ]
        assert len(remaining) < len(held)
        planner.handle(compile_live_endpoints(remaining), 1000)
        planner.handle(types.OrderUnavailable('b', cheap), 1000)
        orders = planner.handle(_TICK, 1000)
        assert orders
        assert ('b', cheap) not in {
            (order.availability_zone, order.price_class) for order in orders
        }

    def test_paid_or_needed_endpoints_are_kept(self) -> None:
        """Endpoints are kept while already paid for or needed recently."""
        planner = build_planner(cheap_allowed=False)
        planner.handle(types.NeedReported(6, 1), 0)
        planner.handle(compile_live_endpoints(planner.handle(_TICK, 0)), 0)
        planner.handle(types.NeedReported(3, 1), 300_000)
        assert not planner.handle(_TICK, 300_000)
        planner.handle(types.NeedReported(3, 1), 700_000)
        returned = planner.handle(_TICK, 700_000)
        assert len(returned) == 3
