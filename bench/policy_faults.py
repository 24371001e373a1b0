"""Schedules the faults of a scenario."""

from collections import Counter
from typing import Any

from bench.fakes import REPAIR_TIME
from bench.policy_planners import restart

#: Time in milliseconds from which one engine is slow.
SLOW_FROM = 40_000
#: Factor on the time of each step of the slow engine.
SLOWNESS = 4


class Faults:
    """Crashes, partitions, slow engines and reclaims of one run."""

    def __init__(self, world: Any) -> None:
        """Create the faults of a simulation; none is scheduled yet.

        :param world: simulation.
        """
        self._world = world

    def schedule(self) -> None:
        """Schedule the faults that the scenario asks for."""
        timeline = self._world.timeline
        scenario = self._world.run.scenario
        if scenario.crashes:
            for index, at in enumerate((80_000, 110_000)):
                timeline.call_at(at, self._crash, index)
        if scenario.cut:
            timeline.call_at(90_000, self._set_partition, 0)
            timeline.call_at(150_000, self._set_partition, None)
        if scenario.slow:
            engine = self._world.fleet.get_members('chat')[1]
            timeline.call_at(SLOW_FROM, setattr, engine, 'slowness', SLOWNESS)
        if scenario.reclaim:
            timeline.call_at(100_000, self._start_reclaim)

    def _set_partition(self, zone: int | None) -> None:
        self._world.fleet.partitioned_zone = zone

    def _crash(self, index: int) -> None:
        engine = self._world.fleet.get_members('chat')[index]
        engine.crash()
        self._world.timeline.call_at(
            self._world.timeline.now + REPAIR_TIME, restart, engine
        )

    def _start_reclaim(self) -> None:
        """Reclaim the cheap endpoints of one zone after 10 s notice.

        The zone with the most cheap endpoints is reclaimed.
        """
        zones = Counter(
            item.zone
            for item in self._world.fleet.endpoints.values()
            if item.cheap
        )
        zone = max(zones, key=zones.__getitem__)
        for item in self._world.fleet.endpoints.values():
            if item.cheap and item.zone == zone:
                item.is_leaving = True
                at = self._world.timeline.now + 10_000
                self._world.timeline.call_at(at, item.crash)
        self._world.planners.handle_reclaim(zone)
