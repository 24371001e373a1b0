"""Runs one scenario on virtual time with one kind of daemon."""

import random
from dataclasses import dataclass
from typing import Any
from unittest import mock

from bench.fakes import Timeline
from bench.policy_bound import get_bound, get_demand
from bench.policy_daemons import (
    BaselineDaemon,
    CoreDaemon,
    Switches,
    UncorrectedLoad,
)
from bench.policy_faults import Faults
from bench.policy_fleet import Fleet
from bench.policy_load import Load, LoadGenerator
from bench.policy_outcome import (
    Figures,
    Outcome,
    compile_figures,
    compile_series,
)
from bench.policy_planners import Planners, get_first_fleet
from clementinedyke.routing import events as route_events
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.types import RoutedEndpoint

SERIES_STEP = 10_000
SERVICES = ('chat', 'plain')
WARM_UP = 20_000
REPORT_INTERVAL = 1000
#: Daemons tell one another of their work every 250 ms, or more slowly where
#: there are many of them, so that this takes less than 5 KB/s per daemon.
PEER_INTERVAL = 250
PEER_PAUSE = 40
MAX_PEERS = 25


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a user's fleet."""

    name: str
    engines: int
    plain: int
    zones: int
    daemons: int
    customers: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and the faults that happen to it."""

    name: str
    load: Load = Load()
    duration: int = 240_000
    crashes: bool = False
    reclaim: bool = False
    cut: bool = False
    slow: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One run: who decides, on what, with which seed.

    ``policy`` is core, static, mixed, or a rule of the baseline daemon with
    ``_mixed`` appended where no roles are split.
    """

    size: Size
    scenario: Scenario
    policy: str
    seed: int
    switches: Switches = Switches()
    label: str = ''


class World:
    """The endpoints, daemons and faults of one run."""

    def __init__(self, run: Run) -> None:
        """Create the world at 0 ms."""
        self.run = run
        self.timeline = Timeline()
        self.fleet = Fleet(self.timeline, run.seed)
        self.random = random.Random(run.seed)
        self.spending = float(0)
        self.demand = [0, 0]
        self.counts: list[int] = []
        self._listed: tuple[RoutedEndpoint, ...] = ()
        size = run.size
        generator = LoadGenerator(
            run.scenario.load,
            size.engines,
            size.plain,
            size.customers,
            run.seed,
        )
        self.requests = generator.generate(run.scenario.duration)
        self.outcomes = [Outcome(request) for request in self.requests]
        self._build_endpoints()
        self.daemons = [
            self._build_daemon(number) for number in range(size.daemons)
        ]
        self.planners = Planners(self)
        self.faults = Faults(self)

    @property
    def uses_cores(self) -> bool:
        """Whether the daemons run the cores of clementinedyke."""
        return self.run.policy in {'core', 'static', 'static_mixed'}

    def play(self) -> Figures:
        """Run the scenario and return its figures."""
        duration = self.run.scenario.duration
        for outcome in self.outcomes:
            daemon = self.random.choice(self.daemons)
            self.timeline.call_at(outcome.request.at, daemon.arrive, outcome)
        self._tell_endpoints()
        self._schedule()
        self.timeline.run(duration + 60_000)
        flooded = self.run.scenario.load.flood > 1
        figures = compile_figures(
            self.outcomes, WARM_UP, duration, flooded=flooded
        )
        figures.bound = get_bound(self.requests, self.counts, WARM_UP, duration)
        changes = [engine.changes for engine in self.fleet.get_members('chat')]
        kills = sum(item.kills for item in self.fleet.get_members('chat'))
        killers = self.run.scenario.load.killers
        figures.kills = kills / killers if killers else 0
        figures.changes = sum(changes)
        figures.most_changes = max(changes)
        figures.spending = self.spending
        figures.series = compile_series(self.outcomes, duration, SERIES_STEP)
        return figures

    def count_demand(self, prompt_tokens: int, output_tokens: int) -> None:
        """Add to the demand that the role planner is told of."""
        self.demand[0] += prompt_tokens
        self.demand[1] += output_tokens

    def _build_endpoints(self) -> None:
        size = self.run.size
        places = get_fixed_fleet(size)
        if self.run.scenario.reclaim and self.uses_cores:
            places = get_first_fleet(size)
        for service, members in places.items():
            for zone, cheap in members:
                self.fleet.add_endpoint(service, zone, cheap=cheap)
        self.fleet.set_first_roles(
            get_demand(self.requests, 0, 60_000),
            is_mixed=self.run.policy.endswith('mixed'),
        )

    def _build_daemon(self, number: int) -> CoreDaemon | BaselineDaemon:
        run = self.run
        zone = number % run.size.zones
        seed = run.seed * 1000 + number
        if self.uses_cores:
            return CoreDaemon(self, zone, seed, run.switches)
        rule = run.policy.removesuffix('_mixed')
        return BaselineDaemon(self, zone, seed, rule)

    def _schedule(self) -> None:
        timeline = self.timeline
        scenario = self.run.scenario
        for second in range(1000, scenario.duration + 30_000, 1000):
            timeline.call_at(second, self._pass_second)
        if self.uses_cores:
            for number, daemon in enumerate(self.daemons):
                offset = number * REPORT_INTERVAL // len(self.daemons)
                timeline.call_at(offset, self._poll, daemon)
                timeline.call_at(offset % 100, self._tick, daemon)
                timeline.call_at(offset, self._tell_peers, daemon)
            self.planners.schedule()
        self.faults.schedule()

    def _pass_second(self) -> None:
        self.spending += self.fleet.get_price() / 3600
        self.counts.append(
            sum(1 for item in self.fleet.get_members('chat') if item.is_up)
        )
        self._tell_endpoints()

    def _tell_endpoints(self) -> None:
        listed = self.fleet.list_endpoints()
        if listed == self._listed:
            return
        self._listed = listed
        for daemon in self.daemons:
            delay = self.random.randint(0, 1000) if self.timeline.now else 0
            at = self.timeline.now + delay
            self.timeline.call_at(at, self._deliver_list, daemon, listed)

    def _deliver_list(
        self,
        daemon: CoreDaemon | BaselineDaemon,
        listed: tuple[RoutedEndpoint, ...],
    ) -> None:
        if isinstance(daemon, BaselineDaemon):
            daemon.learn(listed)
            return
        event = route_events.EndpointsChanged(listed)
        daemon.router.handle(event, round(self.timeline.now))

    def _poll(self, daemon: CoreDaemon) -> None:
        """Fetch load reports and cache events; they arrive late."""
        timeline = self.timeline
        timeline.call_at(timeline.now + REPORT_INTERVAL, self._poll, daemon)
        reports = [
            (name, LoadReport(item.stream_count, item.backlog), str(item.boots))
            for name, item in self.fleet.endpoints.items()
            if item.is_up and self.fleet.is_reachable(daemon.zone, name)
        ]
        lag = self.random.randint(500, 1500)
        timeline.call_at(
            timeline.now + lag, self._deliver_reports, daemon, reports, lag
        )

    def _deliver_reports(
        self, daemon: CoreDaemon, reports: list[Any], lag: int
    ) -> None:
        now = round(self.timeline.now)
        measured_at = self.timeline.now - lag
        for name, report, boot_id in reports:
            daemon.guard.note_report(name, boot_id, measured_at)
            event = route_events.LoadReported(name, report, lag)
            daemon.router.handle(event, now)

    def _tell_peers(self, daemon: CoreDaemon) -> None:
        """Tell the other daemons of the work in flight, at a bounded rate."""
        timeline = self.timeline
        interval = max(PEER_INTERVAL, PEER_PAUSE * len(self.daemons))
        interval = min(interval, REPORT_INTERVAL)
        timeline.call_at(timeline.now + interval, self._tell_peers, daemon)
        for service in SERVICES:
            daemon.report_free_capacity(service, len(self.daemons))
        if len(self.daemons) > MAX_PEERS or not self.run.switches.peers:
            return
        for name in SERVICES:
            news = daemon.get_peer_news(name)
            for other in self.daemons:
                reachable = (
                    self.fleet.cut_zone is None or daemon.zone == other.zone
                )
                if other is not daemon and reachable:
                    timeline.call_at(
                        timeline.now + 2, self._deliver_peer, other, news
                    )

    def _deliver_peer(
        self, daemon: CoreDaemon, news: route_events.PeerReported
    ) -> None:
        daemon.router.handle(news, round(self.timeline.now))

    def _tick(self, daemon: CoreDaemon) -> None:
        daemon.tick()
        self.timeline.call_at(self.timeline.now + 100, self._tick, daemon)


def get_fixed_fleet(size: Size) -> dict[str, list[tuple[int, bool]]]:
    """Return zones and price classes; one in five endpoints is cheap."""
    counts = {'chat': size.engines, 'plain': size.plain}
    return {
        service: [
            (number % size.zones, number % 5 == 4) for number in range(count)
        ]
        for service, count in counts.items()
    }


def play(run: Run) -> Figures:
    """Play a run in this process."""
    if run.switches.own_work:
        return World(run).play()
    with mock.patch(
        'clementinedyke.routing.endpoint_table.LoadEstimate', UncorrectedLoad
    ):
        return World(run).play()
