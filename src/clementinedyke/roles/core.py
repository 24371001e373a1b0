"""Plans the role, model, version and adapters of a service's engines."""

import math
from collections import Counter
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.roles.capacity import DemandTable
from clementinedyke.roles.moves import Move, MoveEvaluator
from clementinedyke.roles.types import (
    ChangeEnded,
    ChangeRole,
    DemandReported,
    EnginesReported,
    EngineState,
    LoadAdapter,
    LoadModel,
    ModelDemand,
    PlannedEngine,
    PlannerSettings,
    PlannerTicked,
    RoleOrder,
)
from clementinedyke.routing.types import Role


class RolePlanner:
    """Plans changes to the engines of one service; run by its lease holder.

    Each plan considers moves of a single engine. A move is ordered if the
    work that it gains within the horizon exceeds the work lost while the
    engine is out of service by more than the hysteresis. The planner performs
    no I/O: events go in through :meth:`handle`, orders come out.
    """

    def __init__(self, settings: PlannerSettings) -> None:
        """Create a planner without engines or demand.

        :param settings: engine profile, thresholds and timeouts.
        """
        self._settings = settings
        self._engines: dict[str, PlannedEngine] = {}
        self._demands = DemandTable(settings.demand_window)
        self._changing: dict[str, Milliseconds] = {}
        self._changed: dict[str, Milliseconds] = {}
        self._store_free_at: Milliseconds = 0

    @property
    def changing_count(self) -> int:
        """Number of engines with an order whose outcome is not yet known."""
        return len(self._changing)

    @property
    def max_changing(self) -> int:
        """Maximum number of engines that may change at the same time."""
        share = self._settings.max_changing_share
        return max(1, int(len(self._engines) * share))

    @singledispatchmethod
    def handle(self, event: object, now: Milliseconds) -> list[RoleOrder]:
        """Process an event and return the orders to send.

        Only :class:`PlannerTicked` yields an order, one at most.

        :param event: event of :mod:`clementinedyke.roles.types`.
        :param now: current time in milliseconds.
        :raises TypeError: if the type of the event is not supported.
        """
        raise TypeError(f'role planner does not support the event {event!r}')

    @handle.register
    def _handle_engines(
        self, event: EnginesReported, now: Milliseconds
    ) -> list[RoleOrder]:
        self._engines = {engine.engine_id: engine for engine in event.engines}
        for engine_id in self._changing.keys() - self._engines.keys():
            self._changing.pop(engine_id)
        for engine_id in self._changed.keys() - self._engines.keys():
            self._changed.pop(engine_id)
        return []

    @handle.register
    def _handle_demand(
        self, event: DemandReported, now: Milliseconds
    ) -> list[RoleOrder]:
        self._demands.apply(event.demands, now)
        return []

    @handle.register
    def _handle_change_ended(
        self, event: ChangeEnded, now: Milliseconds
    ) -> list[RoleOrder]:
        self._changing.pop(event.engine_id, None)
        return []

    @handle.register
    def _handle_tick(
        self, event: PlannerTicked, now: Milliseconds
    ) -> list[RoleOrder]:
        self._expire_changes(now)
        if len(self._changing) >= self.max_changing:
            return []
        demands = self._demands.get_demands()
        order = self._plan_move(demands, now)
        if order is None and now >= self._store_free_at:
            order = self._plan_version(demands) or self._plan_adapter(demands)
        if order is None:
            return []
        self._record_order(order, now)
        return [order]

    def _expire_changes(self, now: Milliseconds) -> None:
        # An engine that crashes during a change may never report an outcome.
        limit = now - self._settings.change_timeout
        for engine_id, since in list(self._changing.items()):
            if since < limit:
                self._changing.pop(engine_id)

    def _plan_move(
        self, demands: dict[str, ModelDemand], now: Milliseconds
    ) -> RoleOrder | None:
        evaluator = MoveEvaluator(
            self._settings, self._engines.values(), demands
        )
        moves: list[Move] = []
        for engine in self._get_movable(now):
            models = list(demands)
            if now < self._store_free_at:
                models = [engine.model] if engine.model in demands else []
            moves.extend(evaluator.list_moves(engine, models))
        best = max(moves, key=_get_rank, default=None)
        # With random arrivals the demand fluctuates by about the square root
        # of the number of engines; a smaller gain may vanish before the
        # change is complete.
        fluctuation = math.sqrt(len(self._engines))
        threshold = self._settings.min_net_gain * fluctuation
        if best is None or best.net_gain <= threshold:
            return None
        target = best.engine
        if best.model == target.model:
            return ChangeRole(target.engine_id, best.role)
        version = demands[best.model].version
        return LoadModel(target.engine_id, best.model, version, best.role)

    def _get_movable(self, now: Milliseconds) -> list[PlannedEngine]:
        """Return the engine to move next for each model and role.

        It is the one whose last change is longest ago, so that no engine
        changes twice while others have not changed; among equals, the one
        with the fewest streams. Engines within the dwell time are left out.
        """
        latest_change = now - self._settings.dwell
        groups: dict[tuple[str, Role], list[PlannedEngine]] = {}
        for engine in self._get_ready():
            if (
                self._changed.get(engine.engine_id, latest_change)
                <= latest_change
            ):
                group = (engine.model, engine.role)
                groups.setdefault(group, []).append(engine)
        return [
            min(group, key=self._get_move_order) for group in groups.values()
        ]

    def _get_move_order(self, engine: PlannedEngine) -> tuple[float, int]:
        changed = self._changed.get(engine.engine_id, -math.inf)
        return changed, engine.streams

    def _plan_version(
        self, demands: dict[str, ModelDemand]
    ) -> RoleOrder | None:
        evaluator = MoveEvaluator(
            self._settings, self._engines.values(), demands
        )
        # A new version is loaded only while the other engines can serve the
        # demand.
        required_share = evaluator.served * self._settings.utilisation
        for engine in self._get_ready():
            demand = demands.get(engine.model)
            if demand is None or engine.version == demand.version:
                continue
            if evaluator.get_served_without(engine) >= required_share:
                return LoadModel(
                    engine.engine_id, engine.model, demand.version, engine.role
                )
        return None

    def _plan_adapter(
        self, demands: dict[str, ModelDemand]
    ) -> RoleOrder | None:
        ready = self._get_ready()
        for model, demand in demands.items():
            engines = [item for item in ready if item.model == model]
            copies = Counter(
                adapter for item in engines for adapter in item.adapters
            )
            for adapter in sorted(demand.adapters):
                missing = [
                    item for item in engines if adapter not in item.adapters
                ]
                if missing and copies[adapter] < self._settings.adapter_copies:
                    target = min(missing, key=_get_adapter_count)
                    return LoadAdapter(target.engine_id, adapter)
        return None

    def _get_ready(self) -> list[PlannedEngine]:
        return [
            engine
            for engine in self._engines.values()
            if engine.state is EngineState.READY
            and engine.engine_id not in self._changing
        ]

    def _record_order(self, order: RoleOrder, now: Milliseconds) -> None:
        self._changing[order.engine_id] = now
        if isinstance(order, ChangeRole | LoadModel):
            self._changed[order.engine_id] = now
        if isinstance(order, LoadModel | LoadAdapter):
            self._store_free_at = now + self._settings.load_time


def _get_rank(move: Move) -> tuple[float, str]:
    return move.rank


def _get_adapter_count(engine: PlannedEngine) -> int:
    return len(engine.adapters)
