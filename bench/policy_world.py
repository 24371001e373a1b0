"""Simulates one scenario on virtual time under one policy."""

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
from bench.policy_planners import Planners, get_initial_fleet
from clementinedyke.routing import events as route_events
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.types import RoutedEndpoint

#: Step of the goodput series in milliseconds.
SERIES_STEP = 10_000
SERVICES = ('chat', 'plain')
#: Requests that arrive in the first 20,000 ms of a run are not counted.
WARM_UP = 20_000
#: Interval of load reports in milliseconds.
REPORT_INTERVAL = 1000
#: Interval in milliseconds at which daemons report their work in flight to one
#: another. It grows with the number of daemons, so that the reports take less
#: than 5 KB/s per daemon.
PEER_INTERVAL = 250
PEER_INTERVAL_PER_DAEMON = 40
#: Larger groups of daemons exchange no reports of work in flight.
MAX_PEERS = 25


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of endpoints, zones, daemons and customers of a fleet.

    ``plain`` is the number of endpoints of the plain service.
    """

    name: str
    engines: int
    plain: int
    zones: int
    daemons: int
    customers: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and the faults during it; ``duration`` is in milliseconds."""

    name: str
    load: Load = Load()
    duration: int = 240_000
    crashes: bool = False
    reclaim: bool = False
    cut: bool = False
    slow: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One simulation: a fleet, a scenario, a policy and a seed.

    ``policy`` is ``core``, ``static`` or ``static_mixed`` for the decision
    cores, or a rule of the baseline daemon. The suffix ``_mixed`` means that
    all engines are mixed. ``label`` names the group of runs that the tables
    select.
    """

    size: FleetSize
    scenario: Scenario
    policy: str
    seed: int
    switches: Switches = Switches()
    label: str = ''


class World:
    """Simulation of the endpoints, daemons and faults of one run."""

    def __init__(self, run: Run) -> None:
        """Create the simulation at 0 ms."""
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
        """Whether the daemons run the decision cores of clementinedyke."""
        return self.run.policy in {'core', 'static', 'static_mixed'}

    def simulate(self) -> Figures:
        """Simulate the scenario and return its figures."""
        duration = self.run.scenario.duration
        for outcome in self.outcomes:
            daemon = self.random.choice(self.daemons)
            self.timeline.call_at(
                outcome.request.at, daemon.handle_request, outcome
            )
        self._publish_endpoints()
        self._schedule()
        self.timeline.run(duration + 60_000)
        flooded = self.run.scenario.load.flood > 1
        figures = compile_figures(
            self.outcomes, WARM_UP, duration, flooded=flooded
        )
        figures.bound = get_bound(self.requests, self.counts, WARM_UP, duration)
        changes = [engine.changes for engine in self.fleet.get_members('chat')]
        kills = sum(item.kills for item in self.fleet.get_members('chat'))
        crashing_requests = self.run.scenario.load.crashing_requests
        figures.kills = kills / crashing_requests if crashing_requests else 0
        figures.changes = sum(changes)
        figures.most_changes = max(changes)
        figures.spending = self.spending
        figures.series = compile_series(self.outcomes, duration, SERIES_STEP)
        return figures

    def count_demand(self, prompt_tokens: int, output_tokens: int) -> None:
        """Add tokens to the demand reported to the role planner."""
        self.demand[0] += prompt_tokens
        self.demand[1] += output_tokens

    def _build_endpoints(self) -> None:
        size = self.run.size
        placements = get_fixed_fleet(size)
        if self.run.scenario.reclaim and self.uses_cores:
            placements = get_initial_fleet(size)
        for service, members in placements.items():
            for zone, cheap in members:
                self.fleet.add_endpoint(service, zone, cheap=cheap)
        self.fleet.set_initial_roles(
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
            timeline.call_at(second, self._record_second)
        if self.uses_cores:
            for number, daemon in enumerate(self.daemons):
                offset = number * REPORT_INTERVAL // len(self.daemons)
                timeline.call_at(offset, self._poll_reports, daemon)
                timeline.call_at(offset % 100, self._tick_admission, daemon)
                timeline.call_at(offset, self._publish_own_work, daemon)
            self.planners.schedule()
        self.faults.schedule()

    def _record_second(self) -> None:
        self.spending += self.fleet.get_price() / 3600
        self.counts.append(
            sum(1 for item in self.fleet.get_members('chat') if item.is_up)
        )
        self._publish_endpoints()

    def _publish_endpoints(self) -> None:
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
            daemon.update_endpoints(listed)
            return
        event = route_events.EndpointsChanged(listed)
        daemon.router.handle(event, round(self.timeline.now))

    def _poll_reports(self, daemon: CoreDaemon) -> None:
        """Fetch load reports; they arrive after 0.5 to 1.5 s."""
        timeline = self.timeline
        timeline.call_at(
            timeline.now + REPORT_INTERVAL, self._poll_reports, daemon
        )
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
            daemon.quarantine_adapter.handle_report(name, boot_id, measured_at)
            event = route_events.LoadReported(name, report, lag)
            daemon.router.handle(event, now)

    def _publish_own_work(self, daemon: CoreDaemon) -> None:
        """Report free capacity to a daemon, and its work to the others.

        A report reaches only the daemons on the same side of a partition.
        """
        timeline = self.timeline
        interval = max(
            PEER_INTERVAL, PEER_INTERVAL_PER_DAEMON * len(self.daemons)
        )
        interval = min(interval, REPORT_INTERVAL)
        timeline.call_at(
            timeline.now + interval, self._publish_own_work, daemon
        )
        for service in SERVICES:
            daemon.report_free_capacity(service, len(self.daemons))
        if len(self.daemons) > MAX_PEERS or not self.run.switches.peers:
            return
        for name in SERVICES:
            peer_report = daemon.get_peer_report(name)
            for other in self.daemons:
                reachable = (
                    self.fleet.partitioned_zone is None
                    or daemon.zone == other.zone
                )
                if other is not daemon and reachable:
                    timeline.call_at(
                        timeline.now + 2,
                        self._deliver_peer_report,
                        other,
                        peer_report,
                    )

    def _deliver_peer_report(
        self, daemon: CoreDaemon, peer_report: route_events.PeerReported
    ) -> None:
        daemon.router.handle(peer_report, round(self.timeline.now))

    def _tick_admission(self, daemon: CoreDaemon) -> None:
        daemon.tick()
        self.timeline.call_at(
            self.timeline.now + 100, self._tick_admission, daemon
        )


def get_fixed_fleet(size: FleetSize) -> dict[str, list[tuple[int, bool]]]:
    """Return a fleet in which one in five endpoints is cheap.

    :param size: size of the fleet.
    :return: by service, the zone of each endpoint and whether it is cheap.
    """
    counts = {'chat': size.engines, 'plain': size.plain}
    return {
        service: [
            (number % size.zones, number % 5 == 4) for number in range(count)
        ]
        for service, count in counts.items()
    }


def simulate(run: Run) -> Figures:
    """Simulate a run in this process and return its figures.

    Without the mechanism ``own_work``, the load estimate is replaced by one
    without its correction.
    """
    if run.switches.own_work:
        return World(run).simulate()
    with mock.patch(
        'clementinedyke.routing.endpoint_table.LoadEstimate', UncorrectedLoad
    ):
        return World(run).simulate()
