"""Tests of the router core and its prefix index."""

import random
from collections import Counter

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from clementinedyke.routing import events
from clementinedyke.routing.core import RouterCore
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.peer_work import EndpointWork
from clementinedyke.routing.prefix_index import (
    PrefixIndex,
    compute_block_hashes,
)
from clementinedyke.routing.selection import RouterSettings
from clementinedyke.routing.types import (
    CandidateState,
    Choice,
    ChoiceReason,
    NoChoice,
    Role,
    RoutedEndpoint,
    RouteRequest,
)


def build_endpoint(number: int, **fields) -> RoutedEndpoint:
    """Return an endpoint of the service ``chat``, in one of two zones."""
    zone = f'zone-{number % 2}'
    return RoutedEndpoint(f'e{number}', 'chat', zone, **fields)


def build_router(*endpoints: RoutedEndpoint, seed: int = 1) -> RouterCore:
    """Return a router in zone-0 with the given endpoints."""
    core = RouterCore(
        RouterSettings(availability_zone='zone-0'), random.Random(seed)
    )
    core.handle(events.EndpointsChanged(endpoints), 0)
    return core


class RouterMachine(RuleBasedStateMachine):
    """Sends random events and compares the router with a model."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.listed = {
            number: build_endpoint(number, cheap=number > 3)
            for number in range(6)
        }
        self.core = build_router(*self.listed.values())
        self.running: dict[str, Choice] = {}
        self.count = 0

    @rule(number=strategies.integers(0, 5), leaving=strategies.booleans())
    def change(self, number: int, leaving: bool) -> None:
        """Change, remove or add an endpoint."""
        if leaving and number in self.listed and number % 2:
            self.listed.pop(number)
        else:
            self.listed[number] = build_endpoint(
                number, cheap=number > 3, leaving=leaving
            )
        changed = events.EndpointsChanged(tuple(self.listed.values()))
        self.core.handle(changed, self.now)

    @rule(step=strategies.integers(1, 4000))
    def wait(self, step: int) -> None:
        """Advance the clock."""
        self.now += step

    @rule(
        number=strategies.integers(0, 5),
        streams=strategies.integers(0, 40),
        lag=strategies.integers(0, 2000),
    )
    def report(self, number: int, streams: int, lag: int) -> None:
        """Report the load of an endpoint with a delay."""
        load = LoadReport(streams, streams * 100)
        self.core.handle(events.LoadReported(f'e{number}', load, lag), self.now)

    @rule(repeatable=strategies.booleans(), size=strategies.integers(0, 3))
    def start(self, repeatable: bool, size: int) -> None:
        """Select an endpoint for a request and dispatch the request."""
        self.count += 1
        request = RouteRequest(
            f'r{self.count}',
            'chat',
            prompt_tokens=size * 1000 + 500,
            block_hashes=tuple(range(size)),
            repeatable=repeatable,
        )
        choice = self.core.select_endpoint(request, self.now)
        if isinstance(choice, NoChoice):
            assert not any(
                item.state
                in {CandidateState.CONSIDERED, CandidateState.EJECTED}
                for item in choice.candidates
            )
            return
        endpoint = self.listed[int(choice.endpoint_id[1:])]
        assert not endpoint.leaving
        assert repeatable or not endpoint.cheap
        states = {item.endpoint_id: item.state for item in choice.candidates}
        if CandidateState.CONSIDERED in states.values():
            assert states[choice.endpoint_id] is not CandidateState.EJECTED
        self.core.handle(events.RequestStarted(request, choice), self.now)
        self.running[request.request_id] = choice

    @precondition(lambda machine: machine.running)
    @rule(outcome=strategies.integers(0, 3))
    def progress(self, outcome: int) -> None:
        """Send the first token or the end of the oldest request."""
        request_id, choice = next(iter(self.running.items()))
        if outcome == 0:
            event = events.FirstTokenReceived(request_id)
        else:
            self.running.pop(request_id)
            event = (
                events.RequestFinished(request_id),
                events.RequestFailed(request_id, choice.endpoint_id),
                events.RequestCancelled(request_id),
            )[outcome - 1]
        self.core.handle(event, self.now)

    @invariant()
    def counts_match(self) -> None:
        """In-flight counts match the model and are never negative."""
        assert self.core.in_flight_count == len(self.running)
        counts = Counter(item.endpoint_id for item in self.running.values())
        for work in self.core.get_own_work('chat'):
            assert 0 <= work.streams <= counts[work.endpoint_id]

    def teardown(self) -> None:
        """No work is counted after the last request has ended."""
        for request_id in self.running:
            self.core.handle(events.RequestCancelled(request_id), self.now)
        assert not self.core.in_flight_count
        assert not self.core.get_own_work('chat')


#: Guards against requests at leaving, ejected or cheap endpoints that must not
#: get them, and against in-flight counts that are never released.
TestRouterMachine = RouterMachine.TestCase
TestRouterMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)


class TestSelection:
    """Guards against choices that ignore cache, load, role or health."""

    def test_prefers_engine_with_cached_prefix(self) -> None:
        """A prompt goes to the engine that has cached its prefix.

        Any other engine would have to process the whole prompt again.
        """
        core = build_router(*map(build_endpoint, range(4)))
        core.handle(events.CacheChanged('e3', 1, added=(7, 8)), 0)
        request = RouteRequest('r', 'chat', '', 2500, (7, 8))
        choice = core.select_endpoint(request, 0)
        assert choice.endpoint_id == 'e3'
        assert choice.uncached_tokens == 500

    def test_event_gap_clears_cached_blocks(self) -> None:
        """A gap in the sequence of cache events clears the cached blocks.

        The lost event may have evicted them.
        """
        core = build_router(build_endpoint(0))
        core.handle(events.CacheChanged('e0', 1, added=(7, 8)), 0)
        core.handle(events.CacheChanged('e0', 3, added=(9,)), 0)
        request = RouteRequest('r', 'chat', '', 2500, (7, 8))
        assert core.select_endpoint(request, 0).uncached_tokens == 2500

    def test_recent_peer_work_replaces_reports(self) -> None:
        """Recent work of other daemons takes precedence over load reports.

        A delayed load report does not include the work of other daemons yet,
        so the busy engine would look idle.
        """
        core = build_router(build_endpoint(0), build_endpoint(2))
        work = (EndpointWork('e0', 9, 9000),)
        core.handle(events.PeerReported('d1', 'chat', work), 100)
        request = RouteRequest('r', 'chat', '', 500)
        for _ in range(20):
            assert core.select_endpoint(request, 900).endpoint_id == 'e2'
        core.handle(events.LoadReported('e2', LoadReport(50, 9000)), 1500)
        assert core.select_endpoint(request, 1500).endpoint_id == 'e0'

    def test_split_choice_names_both_engines(self) -> None:
        """A service with prefill and decode engines uses one of each.

        Guards against decoding at the prefill engine.
        """
        core = build_router(
            build_endpoint(0, role=Role.PREFILL),
            build_endpoint(1, role=Role.DECODE),
        )
        choice = core.select_endpoint(RouteRequest('r', 'chat', '', 2000), 0)
        assert (choice.endpoint_id, choice.decode_endpoint_id) == ('e0', 'e1')

    def test_same_reports_spread_requests(self) -> None:
        """Daemons with the same load reports select different engines.

        Guards against all of them overloading the least loaded engine.
        """
        choices = Counter()
        for seed in range(40):
            core = build_router(*map(build_endpoint, range(4)), seed=seed)
            for number in range(4):
                load = LoadReport(number, 0)
                core.handle(events.LoadReported(f'e{number}', load), 0)
            request = RouteRequest('r', 'chat', '', 500)
            choices[core.select_endpoint(request, 0).endpoint_id] += 1
        assert max(choices.values()) < 30

    def test_slow_endpoint_is_ejected_and_probed(self) -> None:
        """A slow engine is ejected, then gets a single probe request.

        Other requests go to other engines until the probe has ended.
        """
        core = build_router(*map(build_endpoint, range(4)))
        for number in range(60):
            request = RouteRequest(f'r{number}', 'chat', '', 800)
            choice = core.select_endpoint(request, 0)
            core.handle(events.RequestStarted(request, choice), 0)
            late = 5000 if choice.endpoint_id == 'e1' else 100
            core.handle(events.FirstTokenReceived(f'r{number}'), late)
            core.handle(events.RequestFinished(f'r{number}'), late)
        request = RouteRequest('late', 'chat', '', 800)
        choice = core.select_endpoint(request, 5001)
        assert choice.endpoint_id != 'e1'
        probe = core.select_endpoint(request, 10_001)
        assert (probe.endpoint_id, probe.reason) == ('e1', ChoiceReason.PROBE)
        core.handle(events.RequestStarted(request, probe), 10_001)
        other = RouteRequest('other', 'chat', '', 800)
        assert core.select_endpoint(other, 10_001).endpoint_id != 'e1'


class TestPrefixIndex:
    """Guards against unbounded memory and false cache hits."""

    def test_memory_is_bounded(self) -> None:
        """A full index evicts the least recently added block."""
        index = PrefixIndex(3)
        index.add('e0', (1, 2, 3, 4))
        assert len(index) == 3
        assert not index.get_hits((1,))

    def test_reused_bit_has_no_old_blocks(self) -> None:
        """A new endpoint does not inherit the blocks of a removed one."""
        index = PrefixIndex(10)
        index.add('e0', (1, 2))
        index.add('e1', (1,))
        index.remove_endpoint('e0')
        index.add('e2', (9,))
        assert index.get_hits((1, 2)) == {'e1': 1}

    def test_block_hash_covers_prefix(self) -> None:
        """Equal blocks after different prefixes have different hashes."""
        same = b'x' * 4000
        first = compute_block_hashes(b'a' * 4000 + same)
        second = compute_block_hashes(b'b' * 4000 + same)
        assert first[1] != second[1]
        assert compute_block_hashes(same, b'm') != compute_block_hashes(same)
