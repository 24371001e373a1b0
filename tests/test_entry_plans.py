"""Tests of the plans of capacity and of stages."""

from tests.entry_samples import ZONES, create_endpoint, create_service

from clementinedyke.entry.capacity_plan import CapacityPlan, CapacityTargets
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.duty_types import CapacityOrder, OrderOutcome
from clementinedyke.entry.stage_plan import StagePlan

_SERVICE = create_service()


def create_fleet(cheap: int, standard: int) -> list[EntryEndpoint]:
    """Return so many engines of each kind in every zone."""
    kinds = [True for _ in range(cheap)] + [False for _ in range(standard)]
    return [
        create_endpoint(f'{zone}-{number}', zone=zone, is_cheap=is_cheap)
        for zone in ZONES
        for number, is_cheap in enumerate(kinds)
    ]


def create_plan() -> CapacityPlan:
    """Return a plan for three cheap engines in each zone."""
    return CapacityPlan(CapacityTargets(0.75, 0.4))


def select_kind(orders: list[CapacityOrder], *, is_cheap: bool) -> list[int]:
    """Return the counts that are ordered of a kind."""
    return [order.count for order in orders if order.is_cheap is is_cheap]


class TestCapacityPlan:
    """Guards against paying for engines that earn nothing, and too few."""

    def test_cheap_ones_first(self) -> None:
        """Standard engines stay until enough cheap ones serve."""
        orders = create_plan().list_orders(_SERVICE, create_fleet(0, 1), 0)
        assert select_kind(orders, is_cheap=True) == [2, 2, 2, 2]
        assert not select_kind(orders, is_cheap=False)

    def test_standard_ones_go(self) -> None:
        """Standard engines cost several times as much for the same work."""
        orders = create_plan().list_orders(_SERVICE, create_fleet(2, 1), 0)
        assert select_kind(orders, is_cheap=False) == [0, 0, 0, 0]

    def test_first_start(self) -> None:
        """Before the first callers no engine is missed."""
        plan = create_plan()
        plan.releases_standard_at_once = True
        orders = plan.list_orders(_SERVICE, create_fleet(0, 1), 0)
        assert select_kind(orders, is_cheap=False) == [0, 0, 0, 0]

    def test_reclaimed_zone(self) -> None:
        """A zone whose cheap engines are reclaimed is filled again."""
        fleet = [
            endpoint
            for endpoint in create_fleet(3, 0)
            if endpoint.availability_zone != 'zone-d'
        ]
        orders = create_plan().list_orders(_SERVICE, fleet, 0)
        assert orders == [CapacityOrder('chat', 'zone-d', True, 3)]

    def test_no_repeats_while_booting(self) -> None:
        """An order that was accepted is not sent again while engines start."""
        plan = create_plan()
        fleet = create_fleet(2, 0)
        for order in plan.list_orders(_SERVICE, fleet, 0):
            plan.record_outcome(order, OrderOutcome.DONE, _SERVICE.scaling, 0)
        assert not plan.list_orders(_SERVICE, fleet, 4000)
        assert plan.list_orders(_SERVICE, fleet, 60000)

    def test_none_to_be_had(self) -> None:
        """An order that can't be met is repeated at a pace."""
        plan = create_plan()
        fleet = create_fleet(2, 0)
        for order in plan.list_orders(_SERVICE, fleet, 0):
            plan.record_outcome(
                order, OrderOutcome.UNAVAILABLE, _SERVICE.scaling, 0
            )
        assert not plan.list_orders(_SERVICE, fleet, 2000)
        assert plan.list_orders(_SERVICE, fleet, 4000)

    def test_stand_ins(self) -> None:
        """With cheap engines nowhere to be had, standard ones are ordered."""
        plan = create_plan()
        for order in plan.list_orders(_SERVICE, create_fleet(0, 0), 0):
            plan.record_outcome(
                order, OrderOutcome.UNAVAILABLE, _SERVICE.scaling, 0
            )
        orders = plan.list_orders(_SERVICE, create_fleet(0, 0), 500)
        assert select_kind(orders, is_cheap=False) == [2, 2, 2, 2]
        back = plan.list_orders(_SERVICE, create_fleet(3, 2), 20000)
        assert select_kind(back, is_cheap=False) == [0, 0, 0, 0]

    def test_reclaimed_under_load(self) -> None:
        """Zones without cheap engines get stand-ins if prompts have to wait.

        On a quiet day of 64 hosts two of four zones were reclaimed; the mean
        wait rose from 160 to 1100 ms and no engine was ordered.
        """
        service = create_service(maximum=15)
        fleet = [
            create_endpoint(f'{zone}-{number}', zone=zone, is_cheap=True)
            for zone in ZONES[:2]
            for number in range(15)
        ]
        plan = CapacityPlan(CapacityTargets(1, 0.4))
        for order in plan.list_orders(service, fleet, 0):
            plan.record_outcome(
                order, OrderOutcome.UNAVAILABLE, service.scaling, 0
            )
        idle = plan.list_orders(service, fleet, 500, 40)
        assert not select_kind(idle, is_cheap=False)
        pressed = plan.list_orders(service, fleet, 500, 400)
        assert select_kind(pressed, is_cheap=False) == [9, 9]
        kept = plan.list_orders(service, fleet, 2500, 40)
        assert select_kind(kept, is_cheap=False) == [9, 9]

    def test_one_reclaimed_zone_under_load(self) -> None:
        """One zone of four is made up for by the others.

        Stand-ins for it lowered the worth of four days on the small site by
        0.05 on average.
        """
        service = create_service(maximum=3)
        fleet = [
            create_endpoint(f'{zone}-{number}', zone=zone, is_cheap=True)
            for zone in ZONES[:3]
            for number in range(3)
        ]
        plan = CapacityPlan(CapacityTargets(1, 0.4))
        for order in plan.list_orders(service, fleet, 0):
            plan.record_outcome(
                order, OrderOutcome.UNAVAILABLE, service.scaling, 0
            )
        pressed = plan.list_orders(service, fleet, 500, 400)
        assert not select_kind(pressed, is_cheap=False)

    def test_new_holder_keeps_stand_ins(self) -> None:
        """A holder that has just taken over knows nothing of waits yet.

        On a quiet day of 64 hosts the new one gave 18 stand-ins back at once,
        4 s before cheap engines could replace them.
        """
        service = create_service(maximum=15)
        fleet = [
            create_endpoint(f'{zone}-{number}', zone=zone, is_cheap=is_cheap)
            for zone, is_cheap in zip(
                ZONES, (True, True, False, False), strict=True
            )
            for number in range(9)
        ]
        plan = CapacityPlan(CapacityTargets(1, 0.3))
        plan.clear_orders(1000)
        first = plan.list_orders(service, fleet, 1500, 130)
        assert not select_kind(first, is_cheap=False)
        later = plan.list_orders(service, fleet, 30000, 40)
        assert select_kind(later, is_cheap=False) == [0, 0]

    def test_satisfied(self) -> None:
        """A fleet as planned causes no calls."""
        assert not create_plan().list_orders(_SERVICE, create_fleet(3, 0), 0)

    def test_leaving_engines(self) -> None:
        """Engines that leave are not counted as standing."""
        fleet = create_fleet(3, 0)
        fleet[0] = create_endpoint(
            'leaving', zone=ZONES[0], is_cheap=True, is_leaving=True
        )
        orders = create_plan().list_orders(_SERVICE, fleet, 0)
        assert [order.availability_zone for order in orders] == [ZONES[0]]


class TestStagePlan:
    """Guards against fleets that can only read, or only generate."""

    def create_engines(self, *stages: Stage) -> list[EntryEndpoint]:
        """Return engines in turn over the zones."""
        return [
            create_endpoint(f'i-{number:02}', stage, ZONES[number % len(ZONES)])
            for number, stage in enumerate(stages)
        ]

    def apply(
        self, engines: list[EntryEndpoint], plan: StagePlan
    ) -> list[EntryEndpoint]:
        """Return the engines once all orders have taken effect."""
        changed = {
            order.endpoint.endpoint_id: order.stage
            for order in plan.list_orders('chat', engines, 0)
        }
        return [
            create_endpoint(
                engine.endpoint_id,
                changed.get(engine.endpoint_id, engine.stage),
                engine.availability_zone,
            )
            for engine in engines
        ]

    def test_each_zone_generates(self) -> None:
        """A zone that is cut off must be able to go on by itself."""
        engines = self.create_engines(*[Stage.PREFILL for _ in range(12)])
        engines = self.apply(engines, StagePlan(0.25))
        zones = {
            engine.availability_zone
            for engine in engines
            if engine.stage is Stage.DECODE
        }
        assert zones == set(ZONES)

    def test_settles(self) -> None:
        """Changes must come to an end: each takes an engine for seconds."""
        plan = StagePlan(0.25)
        engines = self.create_engines(*[Stage.DECODE for _ in range(12)])
        engines = self.apply(engines, plan)
        assert not StagePlan(0.25).list_orders('chat', engines, 0)

    def test_sent_orders_count(self) -> None:
        """An order is not repeated before the entry can show its effect."""
        plan = StagePlan(0.25)
        engines = self.create_engines(*[Stage.DECODE for _ in range(12)])
        orders = plan.list_orders('chat', engines, 0)
        for order in orders:
            plan.record_sent(order, 0)
        assert orders
        assert not plan.list_orders('chat', engines, 100)
        assert plan.list_orders('chat', engines, 60000)

    def test_two_engines(self) -> None:
        """Two engines must have one of each stage."""
        engines = self.create_engines(Stage.DECODE, Stage.DECODE)
        engines = self.apply(engines, StagePlan(0.25))
        assert {engine.stage for engine in engines} == set(Stage)

    def test_one_engine(self) -> None:
        """A single engine is left as it is."""
        engines = self.create_engines(Stage.PREFILL)
        assert not StagePlan(0.25).list_orders('chat', engines, 0)
