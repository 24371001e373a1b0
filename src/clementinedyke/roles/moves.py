"""Weighs single moves of an engine to another role or model."""

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
    """A move and its net gain in engine seconds."""

    engine: PlannedEngine
    model: str
    role: Role
    net_gain: float

    @property
    def rank(self) -> tuple[float, str]:
        """Order of moves; the identity breaks ties the same way each time."""
        return self.net_gain, self.engine.engine_id


class MoveEvaluator:
    """Compares what the service serves before, during and after a move."""

    def __init__(
        self,
        settings: PlannerSettings,
        engines: Iterable[PlannedEngine],
        demands: Mapping[str, ModelDemand],
    ) -> None:
        """Create an evaluator of one moment.

        :param settings: settings of the planner.
        :param engines: engines of the service.
        :param demands: expected demand per model.
        """
        self._settings = settings
        self._demands = demands
        self._groups = _count_roles(engines, demands)
        self.served = self._get_served(self._groups)

    def get_served_without(self, engine: PlannedEngine) -> float:
        """Return the share that is served while an engine is out of service.

        :param engine: engine that is counted.
        """
        return self._get_served(self._remove(engine))

    def list_moves(
        self, engine: PlannedEngine, models: Iterable[str]
    ) -> Iterator[Move]:
        """Return all moves of an engine with their gains.

        :param engine: engine to move.
        :param models: models that it may serve.
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
        groups = self._remove(engine)
        without = self._get_served(groups)
        groups[model][role] += 1
        duration = settings.change_time
        if model != engine.model:
            duration += settings.load_time
        gain = (self._get_served(groups) - self.served) * settings.horizon
        loss = (self.served - without) * duration
        engines = sum(counts.total() for counts in groups.values())
        return engines * (gain - loss) / _MILLISECONDS_PER_SECOND

    def _remove(self, engine: PlannedEngine) -> _Groups:
        groups = {name: counts.copy() for name, counts in self._groups.items()}
        groups[engine.model][engine.role] -= 1
        return groups

    def _get_served(self, groups: _Groups) -> float:
        """Return the share of all demanded work that is served in time."""
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
