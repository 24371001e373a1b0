"""Runs one scenario on virtual time with one kind of daemon."""

import math
import random
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from bench.fakes import FakeEngine, FakeService, Timeline
from bench.policy_daemons import BaselineDaemon, CoreDaemon, Switches
from bench.policy_load import (
    DECODE_RATE,
    PREFILL_RATE,
    Load,
    LoadGenerator,
    Request,
)
from bench.policy_outcome import (
    Figures,
    Outcome,
    compile_figures,
    compile_series,
)
from bench.policy_planners import Planners
from clementinedyke import load, route_events
from clementinedyke.role_capacity import get_served_share
from clementinedyke.role_types import EngineProfile, ModelDemand
from clementinedyke.route_types import Role, RoutedEndpoint

#: Rates of the fakes: 2,048 prompt tokens or 64 streams per step; mixed steps
#: hold 256 prompt tokens and 64 streams.
PROFILE = EngineProfile(
    prefill_rate=PREFILL_RATE,
    decode_rate=DECODE_RATE,
    mixed_prefill_rate=4200,
    mixed_decode_rate=1050,
)
SERIES_STEP = 10_000
WARM_UP = 20_000
REPORT_INTERVAL = 1000
#: Daemons tell one another of their work every 250 ms, or more slowly where
#: there are many of them, so that this takes less than 5 KB/s per daemon.
PEER_INTERVAL = 250
PEER_PAUSE = 40
MAX_PEER_INTERVAL = 1000
CACHE_EVENT_LOSS = 0.01
REPAIR_TIME = 30_000
CHEAP_PRICE = 0.4
MAX_PROMPT_TOKENS = 16_000


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


class _UncorrectedLoad(load.LoadEstimate):
    """Load as reported, for the ablation of own work in flight."""

    __slots__ = ()

    def get_load(self, now: int) -> load.Load:
        """Return the last report."""
        if self._report is None:
            return load.Load(0, 0)
        return load.Load(self._report.streams, self._backlog)


class World:
    """The endpoints, daemons and faults of one run."""

    def __init__(self, run: Run) -> None:
        """Create the world at 0 ms."""
        self.run = run
        self.timeline = Timeline()
        self.endpoints: dict[str, Any] = {}
        self.random = random.Random(run.seed)
        self.cut_zone: int | None = None
        self.spending = float(0)
        self.demand = [0, 0]
        self.counts: list[int] = []
        self._services: dict[str, list[Any]] = {'chat': [], 'plain': []}
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

    @property
    def uses_cores(self) -> bool:
        """Whether the daemons run the cores of clementinedyke."""
        return self.run.policy in {'core', 'static', 'mixed'}

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
        figures.bound = self._get_bound(WARM_UP, duration)
        changes = [engine.changes for engine in self._services['chat']]
        figures.changes = sum(changes)
        figures.most_changes = max(changes)
        figures.spending = self.spending
        figures.series = compile_series(self.outcomes, duration, SERIES_STEP)
        return figures

    def add_endpoint(self, service: str, zone: int, *, cheap: bool) -> Any:
        """Add a live endpoint of a service."""
        members = self._services[service]
        name = f'{service}-{len(members)}'
        if service == 'chat':
            endpoint = FakeEngine(self.timeline, name, zone)
            endpoint.role = self._get_scarce_role()
        else:
            seed = self.run.seed * 1000 + len(members)
            endpoint = FakeService(self.timeline, name, zone, seed)
        endpoint.cheap = cheap
        members.append(endpoint)
        self.endpoints[name] = endpoint
        return endpoint

    def get_members(self, service: str) -> list[Any]:
        """Return all endpoints of a service that ever were."""
        return self._services[service]

    def is_reachable(self, zone: int, endpoint_id: str) -> bool:
        """Return whether no partition separates a zone from an endpoint."""
        if self.cut_zone is None:
            return True
        target = self.endpoints[endpoint_id].zone
        return (zone == self.cut_zone) == (target == self.cut_zone)

    def has_room(self, service: str) -> bool:
        """Return whether endpoints were idle enough to take a request."""
        working = [item for item in self._services[service] if item.takes_work]
        if service == 'plain':
            return any(item.stream_count < item.workers for item in working)
        prompts = any(
            item.role is not Role.DECODE and not item.backlog
            for item in working
        )
        streams = any(
            item.role is not Role.PREFILL and item.stream_count < 48
            for item in working
        )
        return prompts and streams

    def count_demand(self, prompt_tokens: int, output_tokens: int) -> None:
        """Add to the demand that the role planner is told of."""
        self.demand[0] += prompt_tokens
        self.demand[1] += output_tokens

    def _build_endpoints(self) -> None:
        size = self.run.size
        if self.run.scenario.reclaim and self.uses_cores:
            fleet = Planners.get_first_fleet(size)
        else:
            fleet = {
                service: [
                    (number % size.zones, number % 5 == 4)
                    for number in range(members)
                ]
                for service, members in (
                    ('chat', size.engines),
                    ('plain', size.plain),
                )
            }
        for service, places in fleet.items():
            for zone, cheap in places:
                self.add_endpoint(service, zone, cheap=cheap)
        self._set_first_roles()

    def _set_first_roles(self) -> None:
        """Give the engines the best fixed roles for the first mix."""
        engines = self._services['chat']
        for engine in engines:
            engine.role = Role.MIXED
        if self.run.policy.endswith('mixed'):
            return
        demand = get_demand(self.requests, 0, 60_000)
        total = len(engines)
        best = max(
            range(1, total),
            key=lambda prefill: get_served_share(
                Counter({Role.PREFILL: prefill, Role.DECODE: total - prefill}),
                demand,
                PROFILE,
            ),
        )
        for index, engine in enumerate(engines):
            # Roles are spread over the availability zones.
            is_prefill = (index + 1) * best // total > index * best // total
            engine.role = Role.PREFILL if is_prefill else Role.DECODE

    def _get_scarce_role(self) -> Role:
        working = [item.role for item in self._services['chat'] if item.is_up]
        if Role.MIXED in working or not working:
            return Role.MIXED
        counts = Counter(working)
        return min((Role.PREFILL, Role.DECODE), key=counts.__getitem__)

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
        if scenario.crashes:
            for index, at in enumerate((80_000, 110_000)):
                timeline.call_at(at, self._crash, index)
        if scenario.cut:
            timeline.call_at(90_000, self._cut, 0)
            timeline.call_at(150_000, self._cut, None)
        if scenario.reclaim:
            timeline.call_at(100_000, self._announce_reclaim)

    def _pass_second(self) -> None:
        hours = 1 / 3600
        held = [item for item in self.endpoints.values() if item.is_up]
        for item in held:
            self.spending += hours * (CHEAP_PRICE if item.cheap else 1)
        self.counts.append(
            sum(1 for item in self._services['chat'] if item.is_up)
        )
        self._tell_endpoints()

    def _tell_endpoints(self) -> None:
        listed = tuple(
            RoutedEndpoint(
                endpoint_id=item.name,
                service=service,
                availability_zone=f'zone-{item.zone}',
                cheap=item.cheap,
                leaving=not item.takes_work,
                role=item.role,
                prefill_rate=4200 if item.role is Role.MIXED else PREFILL_RATE,
                max_prompt_tokens=MAX_PROMPT_TOKENS,
                max_streams=128 if service == 'chat' else 4,
            )
            for service, members in self._services.items()
            for item in members
            if item.is_up or self._is_repaired(item)
        )
        if listed == self._listed:
            return
        self._listed = listed
        for daemon in self.daemons:
            delay = self.random.randint(0, 1000) if self.timeline.now else 0
            at = self.timeline.now + delay
            self.timeline.call_at(at, self._deliver_list, daemon, listed)

    def _is_repaired(self, item: Any) -> bool:
        # The platform goes on listing an engine that crashed.
        return not item.is_leaving

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
            (name, item.get_report())
            for name, item in self.endpoints.items()
            if item.is_up and self.is_reachable(daemon.zone, name)
        ]
        lag = self.random.randint(500, 1500)
        timeline.call_at(
            timeline.now + lag, self._deliver_reports, daemon, reports, lag
        )

    def _deliver_reports(
        self, daemon: CoreDaemon, reports: list[Any], lag: int
    ) -> None:
        now = round(self.timeline.now)
        for name, report in reports:
            event = route_events.LoadReported(name, report, lag)
            daemon.router.handle(event, now)

    def _tell_peers(self, daemon: CoreDaemon) -> None:
        """Tell the other daemons of the work in flight, at a bounded rate."""
        timeline = self.timeline
        interval = max(PEER_INTERVAL, PEER_PAUSE * len(self.daemons))
        if interval > MAX_PEER_INTERVAL or not self.run.switches.peers:
            return
        timeline.call_at(timeline.now + interval, self._tell_peers, daemon)
        for service in self._services:
            news = daemon.get_peer_news(service)
            for other in self.daemons:
                reachable = self.cut_zone is None or daemon.zone == other.zone
                if other is not daemon and reachable:
                    timeline.call_at(
                        timeline.now + 2, self._deliver_peer, other, news
                    )

    def _deliver_peer(
        self, daemon: CoreDaemon, news: route_events.PeerReported
    ) -> None:
        daemon.router.handle(news, round(self.timeline.now))

    def _tick(self, daemon: CoreDaemon) -> None:
        for service in self._services:
            daemon.report_room(service, len(self.daemons))
        daemon.tick()
        self.timeline.call_at(self.timeline.now + 100, self._tick, daemon)

    def _cut(self, zone: int | None) -> None:
        self.cut_zone = zone

    def _crash(self, index: int) -> None:
        engine = self._services['chat'][index]
        engine.crash()
        self.timeline.call_at(
            self.timeline.now + REPAIR_TIME, self._repair, engine
        )

    def _repair(self, engine: FakeEngine) -> None:
        engine.is_up = True

    def _announce_reclaim(self) -> None:
        """Give 10 s notice of the loss of one zone's cheap endpoints."""
        zones = Counter(
            item.zone for item in self.endpoints.values() if item.cheap
        )
        zone = max(zones, key=zones.__getitem__)
        for item in self.endpoints.values():
            if item.cheap and item.zone == zone:
                item.is_leaving = True
                at = self.timeline.now + 10_000
                self.timeline.call_at(at, item.crash)
        self.planners.note_reclaim(zone)

    def _get_bound(self, start: int, end: int) -> float:
        """Return the share that an ideal fleet serves.

        It has the engines that were up, an ideal prefix cache, free changes
        of roles in any fractions, or mixed engines where they serve more, and
        no waiting. Under overload it serves an equal share of each class.
        """
        step = 5000
        served = float(0)
        total = 0
        for begin in range(start, end, step):
            demand = get_demand(self.requests, begin, begin + step)
            arrivals = sum(
                begin <= item.at < begin + step and item.service == 'chat'
                for item in self.requests
            )
            counts = self.counts[begin // 1000 : (begin + step) // 1000]
            engines = sum(counts) / max(1, len(counts))
            served += arrivals * min(1, get_ideal_share(engines, demand))
            total += arrivals
        return served / max(1, total)


def get_demand(requests: list[Request], start: int, end: int) -> ModelDemand:
    """Return the demand of the requests of a window with an ideal cache."""
    window = [
        item
        for item in requests
        if start <= item.at < end and item.service == 'chat'
    ]
    seconds = (end - start) / 1000
    prompt = sum(item.prompt_tokens - item.shared_tokens for item in window)
    output = sum(item.output_tokens for item in window)
    return ModelDemand('model', prompt / seconds, output / seconds)


def get_ideal_share(engines: float, demand: ModelDemand) -> float:
    """Return how often engines with free role changes serve a demand."""
    work = demand.prompt_rate / PREFILL_RATE + demand.output_rate / DECODE_RATE
    if not work:
        return math.inf
    mixed = get_served_share(Counter({Role.MIXED: 1}), demand, PROFILE)
    return engines * max(1 / work, mixed)


def play(run: Run) -> Figures:
    """Play a run in this process."""
    if run.switches.own_work:
        return World(run).play()
    with mock.patch(
        'clementinedyke.endpoint_table.LoadEstimate', _UncorrectedLoad
    ):
        return World(run).play()


def with_policy(run: Run, policy: str) -> Run:
    """Return the same run with another policy."""
    return replace(run, policy=policy, label=policy)
