"""Computes the net gain of moving one engine to another role or model."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.roles.capacity import get_capacity_ratio
from clementinedyke.roles.types import (
    EngineState,
    ModelDemand,
    PlannedEngine,
    PlannerSettings,
)
from clementinedyke.routing.types import Role

_MILLISECONDS_PER_SECOND = 1000
_Groups: TypeAlias = Mapping[str, Counter[Role]]


@dataclass(frozen=True, slots=True)
class Move:
    """Move of an engine to a model and role; the gain in engine seconds."""

    engine: PlannedEngine
    model: str
    role: Role
    net_gain: float

    @property
    def rank(self) -> tuple[float, str]:
        """Sort key of moves; the engine id makes the order deterministic."""
        return self.net_gain, self.engine.engine_id


class MoveEvaluator:
    """Compares the work served before, during and after a move."""

    def __init__(
        self,
        settings: PlannerSettings,
        engines: Iterable[PlannedEngine],
        demands: Mapping[str, ModelDemand],
    ) -> None:
        """Create an evaluator for the current state of a service.

        :param settings: settings of the planner.
        :param engines: engines of the service.
        :param demands: expected demand by model.
        """
        self._settings = settings
        self._demands = demands
        self._groups = _count_roles(engines, demands)
        self.served = self._get_served(self._groups)

    def get_served_without(self, engine: PlannedEngine) -> float:
        """Return the share of the demand served without an engine.

        :param engine: engine to leave out; must be one that is not down.
        """
        return self._get_served(self._copy_groups_without(engine))

    def list_moves(
        self, engine: PlannedEngine, models: Iterable[str]
    ) -> Iterator[Move]:
        """Return all moves of an engine to another model or role.

        :param engine: engine to move.
        :param models: models to consider.
        """
        for model in models:
            for role in self._settings.roles:
                if (model, role) != (engine.model, engine.role):
                    net_gain = self._get_net_gain(engine, model, role)
                    yield Move(engine, model, role, net_gain)

    def _get_net_gain(
        self, engine: PlannedEngine, model: str, role: Role
    ) -> float:
        settings = self._settings
        groups = self._copy_groups_without(engine)
        served_without = self._get_served(groups)
        groups[model][role] += 1
        duration = settings.change_time
        if model != engine.model:
            duration += settings.load_time
        gain = (self._get_served(groups) - self.served) * settings.horizon
        loss = (self.served - served_without) * duration
        engines = sum(counts.total() for counts in groups.values())
        return engines * (gain - loss) / _MILLISECONDS_PER_SECOND

    def _copy_groups_without(self, engine: PlannedEngine) -> _Groups:
        groups = {name: counts.copy() for name, counts in self._groups.items()}
        groups[engine.model][engine.role] -= 1
        return groups

    def _get_served(self, groups: _Groups) -> float:
        """Return the share of the demand of all models that is served.

        Engines are loaded up to the utilisation limit; 1 without demand.
        """
        profile = self._settings.profile
        total = float(0)
        served = float(0)
        for model, demand in self._demands.items():
            work = demand.prompt_rate / profile.prefill_rate
            work += demand.output_rate / profile.decode_rate
            share = get_capacity_ratio(groups[model], demand, profile)
            total += work
            served += work * min(1, share * self._settings.utilisation)
        return served / total if total else 1


def _count_roles(
    engines: Iterable[PlannedEngine], models: Iterable[str]
) -> _Groups:
    groups: dict[str, Counter[Role]] = {model: Counter() for model in models}
    for engine in engines:
        if engine.state is not EngineState.DOWN:
            groups.setdefault(engine.model, Counter())[engine.role] += 1
    return groups
