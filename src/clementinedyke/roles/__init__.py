"""Planning of the roles, models and adapters of engines."""

from clementinedyke.roles.core import (
    RolePlanner,
)
from clementinedyke.roles.types import (
    ChangeEnded,
    ChangeRole,
    DemandReported,
    EngineProfile,
    EnginesReported,
    EngineState,
    LoadAdapter,
    LoadModel,
    ModelDemand,
    PlannedEngine,
    PlannerSettings,
    PlannerTicked,
)

__all__ = (
    'ChangeEnded',
    'ChangeRole',
    'DemandReported',
    'EngineProfile',
    'EngineState',
    'EnginesReported',
    'LoadAdapter',
    'LoadModel',
    'ModelDemand',
    'PlannedEngine',
    'PlannerSettings',
    'PlannerTicked',
    'RolePlanner',
)
