"""Tests of the role planner."""

from itertools import repeat

from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from clementinedyke.roles import types
from clementinedyke.roles.core import RolePlanner
from clementinedyke.routing.types import Role

_MODEL = 'm'


def build_engines(*roles: Role, **fields) -> types.EnginesReported:
    """Return a report of one ready engine per role."""
    return types.EnginesReported(
        tuple(
            types.PlannedEngine(f'e{number}', _MODEL, 1, role, **fields)
            for number, role in enumerate(roles)
        )
    )


def build_demand(
    prompt: float, output: float, **fields
) -> types.DemandReported:
    """Return a report of the demand for the model in tokens/s."""
    demand = types.ModelDemand(_MODEL, prompt, output, **fields)
    return types.DemandReported((demand,))


def plan(
    engines: types.EnginesReported, *demands: types.DemandReported
) -> list[types.RoleOrder]:
    """Return the orders of a new planner after one demand per second."""
    planner = RolePlanner(types.PlannerSettings())
    planner.handle(engines, 0)
    for second, demand in enumerate(demands):
        planner.handle(demand, second * 1000)
    return planner.handle(types.PlannerTicked(), len(demands) * 1000)


class PlannerMachine(RuleBasedStateMachine):
    """Plans under random demand, crashes and missing outcomes."""

    def __init__(self) -> None:
        super().__init__()
        self.settings = types.PlannerSettings(max_changing_share=0.25)
        self.planner = RolePlanner(self.settings)
        self.now = 0
        self.roles = [*repeat(Role.PREFILL, 5), *repeat(Role.DECODE, 4)]
        self.down: set[int] = set()
        self.open: dict[str, int] = {}
        self.ordered: dict[str, int] = {}
        self.report()

    def report(self) -> None:
        """Report the state of all engines to the planner."""
        engines = tuple(
            types.PlannedEngine(
                f'e{number}',
                _MODEL,
                1,
                role,
                types.EngineState.DOWN
                if number in self.down
                else types.EngineState.READY,
            )
            for number, role in enumerate(self.roles)
        )
        self.planner.handle(types.EnginesReported(engines), self.now)

    @rule(
        prompt=strategies.integers(0, 80_000),
        output=strategies.integers(0, 20_000),
    )
    def demand(self, prompt: int, output: int) -> None:
        """Report a demand, plan and check the orders."""
        self.now += 1000
        self.planner.handle(build_demand(prompt, output), self.now)
        limit = self.now - self.settings.change_timeout
        self.open = {
            name: since for name, since in self.open.items() if since >= limit
        }
        for order in self.planner.handle(types.PlannerTicked(), self.now):
            assert order.engine_id not in self.open
            assert int(order.engine_id[1:]) not in self.down
            former = self.ordered.get(order.engine_id, -self.settings.dwell)
            assert self.now - former >= self.settings.dwell
            self.open[order.engine_id] = self.now
            self.ordered[order.engine_id] = self.now

    @rule(crashed=strategies.booleans(), known=strategies.booleans())
    def end(self, crashed: bool, known: bool) -> None:
        """Complete a change, crash its engine, or report no outcome."""
        if not (self.open and known):
            return
        engine_id = min(self.open)
        self.open.pop(engine_id)
        number = int(engine_id[1:])
        if crashed:
            self.down.add(number)
        else:
            switched = {Role.PREFILL: Role.DECODE, Role.DECODE: Role.PREFILL}
            self.roles[number] = switched[self.roles[number]]
        self.planner.handle(types.ChangeEnded(engine_id), self.now)
        self.report()

    @rule()
    def recover(self) -> None:
        """Restart all crashed engines."""
        self.down.clear()
        self.report()

    @rule(step=strategies.integers(1, 70_000))
    def wait(self, step: int) -> None:
        """Advance the time by the given milliseconds."""
        self.now += step

    @invariant()
    def changes_are_bounded(self) -> None:
        """At most a quarter of the nine engines may change at the same time."""
        assert self.planner.changing_count <= 2


#: Guards against too many engines out of service at the same time and against
#: a second order to an engine whose change is in progress.
TestPlannerMachine = PlannerMachine.TestCase
TestPlannerMachine.settings = settings(
    max_examples=50, stateful_step_count=50, deadline=None
)


class TestRolePlanner:
    """Guards against missing changes and changes that lose more work."""

    def test_engine_moves_to_overloaded_role(self) -> None:
        """An engine switches to prefill if prompts exceed the capacity."""
        engines = build_engines(Role.PREFILL, *repeat(Role.DECODE, 4))
        orders = plan(engines, *repeat(build_demand(14_000, 1500), 5))
        assert orders == [types.ChangeRole('e1', Role.PREFILL)]

    def test_no_change_with_spare_capacity(self) -> None:
        """No engine may change while the demand is already served."""
        engines = build_engines(Role.PREFILL, *repeat(Role.DECODE, 4))
        assert not plan(engines, *repeat(build_demand(6000, 200), 5))

    def test_no_change_if_loss_exceeds_gain(self) -> None:
        """The work lost during a change must be subtracted from its gain."""
        engines = build_engines(Role.PREFILL, Role.PREFILL, Role.DECODE)
        assert not plan(engines, *repeat(build_demand(15_000, 1750), 5))

    def test_engine_moves_in_large_service(self) -> None:
        """An engine moves although its share of 120 engines is small."""
        engines = build_engines(
            *repeat(Role.PREFILL, 30), *repeat(Role.DECODE, 90)
        )
        orders = plan(engines, *repeat(build_demand(300_000, 100_000), 5))
        assert [type(order) for order in orders] == [types.ChangeRole]

    def test_swing_back_moves_another_engine(self) -> None:
        """An engine must not change twice before others have changed."""
        planner = RolePlanner(types.PlannerSettings())
        roles = [*repeat(Role.PREFILL, 3), *repeat(Role.DECODE, 5)]
        planner.handle(build_engines(*roles, streams=1), 0)
        planner.handle(build_demand(30_000, 500), 1000)
        changed = planner.handle(types.PlannerTicked(), 1000)[0].engine_id
        planner.handle(types.ChangeEnded(changed), 9000)
        engines = [
            types.PlannedEngine(f'e{number}', _MODEL, 1, Role.PREFILL)
            if f'e{number}' == changed
            else types.PlannedEngine(f'e{number}', _MODEL, 1, role, streams=1)
            for number, role in enumerate(roles)
        ]
        planner.handle(types.EnginesReported(tuple(engines)), 9000)
        later = 1000 + types.PlannerSettings().dwell
        planner.handle(build_demand(500, 12_000), later)
        orders = planner.handle(types.PlannerTicked(), later)
        assert orders
        assert orders[0].engine_id != changed

    def test_version_loads_one_engine_at_a_time(self) -> None:
        """Loading a new version must not take all engines out of service."""
        engines = build_engines(*repeat(Role.MIXED, 3))
        orders = plan(engines, build_demand(100, 10, version=2))
        assert orders == [types.LoadModel('e0', _MODEL, 2, Role.MIXED)]

    def test_missing_adapter_is_loaded(self) -> None:
        """An adapter that requests use must be loaded on some engine."""
        engines = build_engines(Role.MIXED, Role.MIXED)
        demand = build_demand(100, 10, adapters=frozenset('x'))
        assert plan(engines, demand) == [types.LoadAdapter('e0', 'x')]

    def test_model_loads_do_not_overlap(self) -> None:
        """A second load waits until the weight store has finished the first."""
        planner = RolePlanner(types.PlannerSettings())
        planner.handle(build_engines(*repeat(Role.MIXED, 3)), 0)
        planner.handle(build_demand(100, 10, version=2), 0)
        tick = types.PlannerTicked()
        assert planner.handle(tick, 0)
        planner.handle(types.ChangeEnded('e0'), 1000)
        assert not planner.handle(tick, 1000)
        assert planner.handle(tick, 30_000)
