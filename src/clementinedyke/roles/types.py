"""Events, orders and settings of the role planner."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.types import Role


class EngineState(enum.Enum):
    """Whether an engine can be planned with."""

    READY = 'ready'
    CHANGING = 'changing'
    DOWN = 'down'


@dataclass(frozen=True, slots=True)
class PlannedEngine:
    """An engine as it was last reported."""

    engine_id: str
    model: str
    version: int
    role: Role
    state: EngineState = EngineState.READY
    streams: int = 0
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Offered work for a model in tokens/s; prompts without cached tokens.

    ``adapters`` are the adapters that requests ask for.
    """

    model: str
    prompt_rate: float
    output_rate: float
    version: int = 1
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class EnginesReported:
    """All engines of the service, as far as reports have come in."""

    engines: tuple[PlannedEngine, ...]


@dataclass(frozen=True, slots=True)
class DemandReported:
    """Demand of all models of the service, summed over the daemons."""

    demands: tuple[ModelDemand, ...]


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """The outcome of an order is known, or the engine is known to be gone."""

    engine_id: str


@dataclass(frozen=True, slots=True)
class PlannerTicked:
    """Time to plan; sent about once a second."""


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Order an engine to drain and take a role."""

    engine_id: str
    role: Role


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Order an engine to drain and load a model version."""

    engine_id: str
    model: str
    version: int
    role: Role


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order an engine to load an adapter while it serves."""

    engine_id: str
    adapter: str


RoleOrder: TypeAlias = ChangeRole | LoadModel | LoadAdapter


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Tokens/s of an engine that does only one kind of work, or both.

    A mixed engine that always has prompts to process runs
    ``mixed_prefill_rate`` and ``mixed_decode_rate`` at once.
    """

    prefill_rate: float = 8000
    decode_rate: float = 2000
    mixed_prefill_rate: float = 4000
    mixed_decode_rate: float = 1000


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of the role planner.

    ``roles`` are the roles that the service uses; a mixed engine among the
    others takes up small swings without a change. ``utilisation`` is the load
    above which waiting grows too long. ``min_net_gain`` is the hysteresis, in
    engine seconds per square root of the number of engines. ``dwell`` is the
    time that an engine keeps a role, the length of a swing of the mix.
    ``load_time`` is the time the weight store needs for a model.
    """

    profile: EngineProfile = EngineProfile()
    roles: tuple[Role, ...] = (Role.PREFILL, Role.DECODE, Role.MIXED)
    utilisation: float = 0.85
    horizon: Milliseconds = 60_000
    change_time: Milliseconds = 8000
    load_time: Milliseconds = 30_000
    min_net_gain: float = 9
    dwell: Milliseconds = 120_000
    change_timeout: Milliseconds = 60_000
    max_changing_share: float = 0.05
    demand_window: Milliseconds = 6000
    adapter_copies: int = 2
