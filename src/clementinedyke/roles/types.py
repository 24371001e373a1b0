"""Events, orders and settings of the role planner."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.types import Role


class EngineState(enum.Enum):
    """State of an engine; only ready engines receive orders."""

    READY = 'ready'
    CHANGING = 'changing'
    DOWN = 'down'


@dataclass(frozen=True, slots=True)
class PlannedEngine:
    """Last reported state of an engine; ``streams`` are answers in progress."""

    engine_id: str
    model: str
    version: int
    role: Role
    state: EngineState = EngineState.READY
    streams: int = 0
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Demand for a model in tokens/s.

    ``prompt_rate`` excludes cached prompt tokens. ``adapters`` are the
    adapters that requests use.
    """

    model: str
    prompt_rate: float
    output_rate: float
    version: int = 1
    adapters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class EnginesReported:
    """All engines of the service that have reported their state."""

    engines: tuple[PlannedEngine, ...]


@dataclass(frozen=True, slots=True)
class DemandReported:
    """Demand of all models of the service, summed over the daemons."""

    demands: tuple[ModelDemand, ...]


@dataclass(frozen=True, slots=True)
class ChangeEnded:
    """An order to an engine has completed, or the engine has been removed."""

    engine_id: str


@dataclass(frozen=True, slots=True)
class PlannerTicked:
    """Triggers planning; sent about once a second."""


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Orders an engine to drain and switch to a role."""

    engine_id: str
    role: Role


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Orders an engine to drain and load a version of a model."""

    engine_id: str
    model: str
    version: int
    role: Role


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Orders an engine to load an adapter without draining."""

    engine_id: str
    adapter: str


RoleOrder: TypeAlias = ChangeRole | LoadModel | LoadAdapter


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Throughput of an engine in tokens/s.

    ``prefill_rate`` and ``decode_rate`` apply to an engine that does only one
    kind of work. A mixed engine with a constant backlog of prompts reaches
    ``mixed_prefill_rate`` and ``mixed_decode_rate`` at the same time.
    """

    prefill_rate: float = 8000
    decode_rate: float = 2000
    mixed_prefill_rate: float = 4000
    mixed_decode_rate: float = 1000


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of the role planner.

    ``roles`` are the roles that the service uses; a mixed engine among
    specialised ones absorbs small changes of the demand without a role change.
    ``utilisation`` is the load above which queueing delays grow too long.
    ``horizon`` is the period over which a gain counts and ``change_time`` the
    time a role change takes. ``min_net_gain`` is the hysteresis, in engine
    seconds per square root of the number of engines. ``dwell`` is the minimum
    time between changes of an engine, the length of a swing in the ratio of
    prompts to output. ``load_time`` is the time that the weight store needs to
    deliver a model. After ``change_timeout`` without an outcome a change no
    longer counts as in progress. ``max_changing_share`` is the share of
    engines that may change at the same time. ``demand_window`` is the time
    constant of the smoothing of the demand. ``adapter_copies`` is the number
    of engines that load each adapter.
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
