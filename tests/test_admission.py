"""Tests of the admission core."""

from collections import Counter

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from clementinedyke.admission import events
from clementinedyke.admission.core import AdmissionCore
from clementinedyke.admission.fair_queue import FairQueue, QueuedRequest
from clementinedyke.admission.service import AdmissionLimits
from clementinedyke.codes import ResultCode
from clementinedyke.routing.types import FreeCapacity

_CUSTOMERS = ('a', 'b', 'c')
_WEIGHTS = {'a': 1, 'b': 2, 'c': 4}
_MAX_COST = 1000


def build_arrival(
    number: int, customer: str, **fields
) -> events.RequestArrived:
    """Return an arrival; its deadline is far away by default."""
    defaults = {'cost': 100, 'prompt_tokens': 50, 'start_by': 10**9}
    return events.RequestArrived(
        f'r{number}', 'chat', customer, **{**defaults, **fields}
    )


def build_free_capacity(
    streams: int, tokens: int
) -> events.FreeCapacityReported:
    """Return free capacity; customers over their share may use half."""
    return events.FreeCapacityReported(
        'chat',
        FreeCapacity(streams, tokens),
        FreeCapacity(streams / 2, tokens / 2),
    )


class FairQueueMachine(RuleBasedStateMachine):
    """Compares the work served for customers that always have requests."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue(max_lead=10_000)
        self.queue.set_weights(_WEIGHTS)
        self.count = 0
        self.served = Counter()
        self.times = dict.fromkeys(_CUSTOMERS, float(0))
        for customer in _CUSTOMERS:
            self.push(customer, _MAX_COST)

    @rule(
        customer=strategies.sampled_from(_CUSTOMERS),
        cost=strategies.integers(1, _MAX_COST),
    )
    def push(self, customer: str, cost: int) -> None:
        """Queue a request."""
        self.count += 1
        self.queue.push(
            QueuedRequest(self.count, f'r{self.count}', customer, cost, 0)
        )

    @rule()
    def serve(self) -> None:
        """Serve the next request and queue another one of its customer."""
        request = self.queue.pop()
        self.served[request.customer] += request.cost
        self.push(request.customer, request.cost)

    @invariant()
    def shares_hold(self) -> None:
        """Work by weight differs by at most one request of each customer."""
        for first in _CUSTOMERS:
            for second in _CUSTOMERS:
                bound = (
                    _MAX_COST / _WEIGHTS[first] + _MAX_COST / _WEIGHTS[second]
                )
                ahead = self.served[first] / _WEIGHTS[first]
                behind = self.served[second] / _WEIGHTS[second]
                assert ahead - behind <= bound

    @invariant()
    def times_rise(self) -> None:
        """Virtual times never decrease."""
        for customer in _CUSTOMERS:
            current = self.queue.get_virtual_time(customer)
            assert current >= self.times[customer]
            self.times[customer] = current


#: Guards against customers with queued requests getting less than their share.
TestFairQueueMachine = FairQueueMachine.TestCase
TestFairQueueMachine.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None
)


class AdmissionMachine(RuleBasedStateMachine):
    """Random arrivals, ends, disconnects and free capacity."""

    def __init__(self) -> None:
        super().__init__()
        limits = AdmissionLimits(max_queued_requests=4, max_total_requests=9)
        self.core = AdmissionCore(limits)
        self.now = 0
        self.count = 0
        self.waiting: dict[str, int] = {}
        self.started: set[str] = set()

    def apply(self, actions: list[events.AdmissionAction]) -> None:
        """Check that each request is started in time or refused, only once."""
        for action in actions:
            start_by = self.waiting.pop(action.request_id)
            if isinstance(action, events.StartRequest):
                assert self.now <= start_by
                self.started.add(action.request_id)
            else:
                assert action.retry_after > 0

    @rule(
        customer=strategies.sampled_from(_CUSTOMERS),
        cost=strategies.integers(1, _MAX_COST),
        patience=strategies.integers(0, 3000),
    )
    def arrive(self, customer: str, cost: int, patience: int) -> None:
        """Add a request that must start within ``patience`` ms."""
        self.count += 1
        start_by = self.now + patience
        self.waiting[f'r{self.count}'] = start_by
        event = build_arrival(
            self.count,
            customer,
            cost=cost,
            prompt_tokens=cost // 2,
            start_by=start_by,
        )
        self.apply(self.core.handle(event, self.now))

    @rule(
        streams=strategies.integers(0, 4), tokens=strategies.integers(0, 4000)
    )
    def report_room(self, streams: int, tokens: int) -> None:
        """Report the free capacity of the endpoints."""
        event = build_free_capacity(streams, tokens)
        self.apply(self.core.handle(event, self.now))

    @rule(step=strategies.integers(1, 1000))
    def wait(self, step: int) -> None:
        """Advance the time; no request stays queued past its deadline."""
        self.now += step
        self.apply(self.core.handle(events.AdmissionTicked(), self.now))
        assert all(limit >= self.now for limit in self.waiting.values())

    @precondition(lambda machine: machine.started)
    @rule(outcome=strategies.integers(0, 2))
    def progress(self, outcome: int) -> None:
        """Finish the prompt of a started request, end it or disconnect."""
        request_id = min(self.started)
        if outcome == 0:
            event = events.PromptProcessed(request_id)
        else:
            self.started.remove(request_id)
            event = (
                events.RequestEnded(request_id, 30),
                events.CallerLeft(request_id),
            )[outcome - 1]
        self.apply(self.core.handle(event, self.now))

    @precondition(lambda machine: machine.waiting)
    @rule()
    def leave(self) -> None:
        """Disconnect a queued caller; its request gets no decision later."""
        request_id = min(self.waiting)
        self.waiting.pop(request_id)
        self.apply(self.core.handle(events.CallerLeft(request_id), self.now))

    @invariant()
    def counts_match(self) -> None:
        """The core holds exactly the requests that are queued or started."""
        assert self.core.queued_count == len(self.waiting)
        assert self.core.started_count == len(self.started)


#: Guards against refusals after a start, late starts and lost requests.
TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None
)


class TestAdmissionDecisions:
    """Guards against unfair start order and late refusals."""

    def build_full_core(self) -> AdmissionCore:
        """Return a core that has started 1,000 tokens and has no capacity."""
        core = AdmissionCore(AdmissionLimits())
        core.handle(build_arrival(0, 'z', cost=1000), 0)
        core.handle(build_free_capacity(0, 0), 0)
        return core

    def test_remote_consumption_delays_customer(self) -> None:
        """Consumption at other daemons puts a customer behind the others."""
        core = self.build_full_core()
        consumed = (events.CustomerTokens('a', 5000),)
        core.handle(events.RemoteConsumption('chat', consumed), 0)
        core.handle(build_arrival(1, 'a'), 0)
        core.handle(build_arrival(2, 'b'), 0)
        actions = core.handle(build_free_capacity(1, 1), 0)
        assert [action.request_id for action in actions] == ['r2']

    def test_earlier_deadline_starts_first(self) -> None:
        """A short request must not wait for long ones of its customer."""
        core = self.build_full_core()
        core.handle(build_arrival(1, 'a', prompt_tokens=9000, start_by=9000), 0)
        core.handle(build_arrival(2, 'a', start_by=400), 0)
        actions = core.handle(build_free_capacity(1, 1), 0)
        assert actions == [events.StartRequest('r2', 4)]

    def test_unreachable_deadline_is_refused_on_arrival(self) -> None:
        """A caller must not wait in a queue that will miss its deadline."""
        core = self.build_full_core()
        large = build_arrival(1, 'a', cost=8000, start_by=9000)
        refusal = core.handle(large, 0)[0]
        assert refusal.code is ResultCode.DEADLINE_UNREACHABLE
        assert refusal.retry_after > 10_000
        assert not core.handle(build_arrival(2, 'a', start_by=450), 0)
        behind = core.handle(build_arrival(3, 'a', start_by=500), 0)[0]
        assert behind.code is ResultCode.DEADLINE_UNREACHABLE

    def test_customer_over_share_leaves_capacity(self) -> None:
        """A customer over its share must not use the last free capacity."""
        core = AdmissionCore(AdmissionLimits())
        for number, customer in enumerate('abcd'):
            core.handle(build_arrival(number, customer), 0)
        core.handle(build_arrival(5, 'a', cost=9000), 0)
        core.handle(
            events.FreeCapacityReported(
                'chat', FreeCapacity(1, 1), FreeCapacity(0, 0)
            ),
            0,
        )
        assert not core.handle(build_arrival(6, 'a'), 0)
        actions = core.handle(build_arrival(7, 'b'), 0)
        assert [action.request_id for action in actions] == ['r7']

    def test_consumption_is_reported_once(self) -> None:
        """Consumption reported twice would cut the share of a customer."""
        core = self.build_full_core()
        message = core.pop_consumption(0)[0]
        assert message.consumed == (events.CustomerTokens('z', 1000),)
        assert not core.pop_consumption(0)
