"""Tests of the claims of non-repeatable requests."""

import os
from collections import Counter, deque
from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from clementinedyke.claims import messages as msg
from clementinedyke.claims.core import ClaimCore, ClaimSettings
from clementinedyke.codes import ExecutionState, ResultCode, get_details
from clementinedyke.reference_platform.tables import Condition, Conflict, Write
from clementinedyke.standins.tables import MemoryTables

_DAEMONS = 3
_TABLE = 'claims'
_daemons = st.integers(0, _DAEMONS - 1)
_keys = st.sampled_from(['booking-1', 'booking-2'])
_digests = st.sampled_from(['digest-a', 'digest-a', 'digest-b'])
_fates = st.sampled_from(['applied', 'applied', 'lost', 'refused', 'delayed'])


class ClaimMachine(RuleBasedStateMachine):
    """Daemons that claim the same keys through a faulty table service.

    Each daemon performs its actions one at a time and at any later time, so
    runs include daemons that are suspended between two actions.
    """

    core_type: type[ClaimCore] = ClaimCore

    def __init__(self) -> None:
        """Start with fresh daemons and an empty table."""
        super().__init__()
        self.now = 0
        self.count = 0
        self.tables = MemoryTables()
        self.cores = [self.create_core() for _ in range(_DAEMONS)]
        self.todo: list[deque] = [deque() for _ in range(_DAEMONS)]
        self.delayed: list[msg.CommitBatch] = []
        self.running: dict[str, int] = {}
        self.requests: dict[str, tuple[str, str]] = {}
        self.sent: Counter[str] = Counter()
        self.replies: Counter[str] = Counter()
        self.answers: dict[str, tuple[str, msg.StoredAnswer]] = {}
        self.violations: list[str] = []

    def create_core(self) -> ClaimCore:
        """Return the core of a daemon that has just started."""
        return self.core_type(ClaimSettings(commits_per_second=1000), self.now)

    @rule(daemon=_daemons, key=_keys, digest=_digests)
    def send_request(self, daemon: int, key: str, digest: str) -> None:
        """A caller sends a request, possibly a repeated one."""
        self.count += 1
        request_id = f'request-{self.count}'
        self.requests[request_id] = (key, digest)
        self.feed(
            daemon,
            msg.ClaimRequested(request_id, key, digest, f'nonce-{self.count}'),
        )

    @rule(daemon=_daemons, fate=_fates)
    def perform_action(self, daemon: int, fate: str) -> None:
        """A daemon performs its oldest pending action."""
        if self.todo[daemon]:
            self.perform(daemon, self.todo[daemon].popleft(), fate)

    @rule()
    def deliver_delayed(self) -> None:
        """A commit reaches the table service after its sender timed out."""
        if self.delayed:
            self.commit(self.delayed.pop(0))

    @rule(ending=st.sampled_from(['answered', 'lost', 'nothing']))
    def end_run(self, ending: str) -> None:
        """A run ends with an answer, a lost answer or nothing sent."""
        for request_id, daemon in list(self.running.items())[:1]:
            self.running.pop(request_id)
            self.finish_run(daemon, request_id, ending)

    @rule(daemon=_daemons)
    def kill(self, daemon: int) -> None:
        """A daemon is killed; commits it has sent may still be applied."""
        self.delayed += [
            action
            for action in self.todo[daemon]
            if isinstance(action, msg.CommitBatch)
        ]
        self.todo[daemon].clear()
        self.cores[daemon] = self.create_core()
        for request_id, owner in self.running.items():
            if owner == daemon:
                self.sent[self.requests[request_id][0]] += 1
        self.running = {
            request_id: owner
            for request_id, owner in self.running.items()
            if owner != daemon
        }

    @rule(duration=st.sampled_from([1, 300, 1500, 2500]))
    def pass_time(self, duration: int) -> None:
        """Time passes on all daemons."""
        self.now += duration
        for daemon in range(_DAEMONS):
            self.feed(daemon, msg.ClaimTick())

    @invariant()
    def holds(self) -> None:
        """No second run of a key, false refusal or wrong replayed answer."""
        assert not self.violations

    def feed(self, daemon: int, event: msg.ClaimEvent) -> None:
        """Pass an event to a core and queue the resulting actions."""
        self.todo[daemon] += self.cores[daemon].handle(event, self.now)

    def perform(self, daemon: int, action: msg.ClaimAction, fate: str) -> None:
        """Perform one action; the fate is the fault to inject."""
        match action:
            case msg.CommitBatch():
                self.feed(daemon, self.try_commit(action, fate))
            case msg.ReadRow():
                self.feed(daemon, self.read(action.key, fate))
            case msg.Dispatch():
                self.running[action.request_id] = daemon
            case msg.RefuseClaim():
                self.check_refusal(action)
            case msg.ReplayAnswer():
                self.check_replay(action)
            case msg.ForwardAnswer():
                self.replies[action.request_id] += 1

    def try_commit(self, batch: msg.CommitBatch, fate: str) -> msg.ClaimEvent:
        """Apply a batch under a fault and return the event for its daemon."""
        if fate == 'refused':
            return msg.BatchFailed(batch.batch_id, is_unknown=False)
        if fate == 'delayed':
            self.delayed.append(batch)
            return msg.BatchFailed(batch.batch_id, is_unknown=True)
        outcome = self.commit(batch)
        if fate == 'lost':
            return msg.BatchFailed(batch.batch_id, is_unknown=True)
        return outcome

    def commit(self, batch: msg.CommitBatch) -> msg.ClaimEvent:
        """Apply a batch to the table."""
        outcome = self.tables.commit(
            [
                Condition(_TABLE, item.key, item.version)
                for item in batch.writes
            ],
            [Write(_TABLE, item.key, item.row) for item in batch.writes],
        )
        if isinstance(outcome, Conflict):
            keys = frozenset(found.key for found in outcome.conflicts)
            return msg.BatchConflicted(batch.batch_id, keys)
        return msg.BatchApplied(batch.batch_id, outcome.revision)

    def read(self, key: str, fate: str) -> msg.ClaimEvent:
        """Read a row; fails for any fate other than applied."""
        if fate != 'applied':
            return msg.ReadFailed(key)
        row = self.tables.get_row(_TABLE, key)
        if row is None:
            return msg.RowRead(key, 0, None)
        return msg.RowRead(key, row.version, row.value)

    def finish_run(self, daemon: int, request_id: str, ending: str) -> None:
        """Report the end of a dispatch to its core."""
        key, digest = self.requests[request_id]
        if ending == 'nothing':
            self.replies[request_id] += 1
            self.feed(daemon, msg.NothingSent(request_id))
            return
        self.sent[key] += 1
        if self.sent[key] > 1:
            self.violations.append(f'{key} ran {self.sent[key]} times')
        if ending == 'lost':
            self.feed(daemon, msg.AnswerLost(request_id))
            return
        answer = msg.StoredAnswer(201, (), request_id.encode())
        self.answers[key] = (digest, answer)
        self.feed(daemon, msg.EndpointAnswered(request_id, answer))

    def check_refusal(self, action: msg.RefuseClaim) -> None:
        """A request refused as not run must not have run."""
        self.replies[action.request_id] += 1
        execution = get_details(action.code).execution
        is_running = action.request_id in self.running
        ran = any(
            answer.body.decode() == action.request_id
            for _, answer in self.answers.values()
        )
        if execution is ExecutionState.NOT_RUN and (is_running or ran):
            self.violations.append(f'{action.request_id} was run')

    def check_replay(self, action: msg.ReplayAnswer) -> None:
        """A replayed answer must have the same key and digest."""
        self.replies[action.request_id] += 1
        key, digest = self.requests[action.request_id]
        if self.answers.get(key) != (digest, action.answer):
            self.violations.append(f'{action.request_id} got a crossed answer')

    def perform_all(self) -> None:
        """Perform the pending actions of all daemons without faults."""
        for daemon, actions in enumerate(self.todo):
            while actions:
                self.perform(daemon, actions.popleft(), 'applied')

    def teardown(self) -> None:
        """Each request gets at most one reply, and no claim stays pending."""
        for _ in range(12):
            self.perform_all()
            while self.running:
                self.end_run('answered')
            self.perform_all()
            self.pass_time(15000)
        self.holds()
        assert max(self.replies.values(), default=0) <= 1
        assert not any(core.pending_count for core in self.cores)


class _TrustingCore(ClaimCore):
    """Faulty core that treats batches of unknown outcome as applied."""

    def handle(self, event, now):  # type: ignore[no-untyped-def]
        if isinstance(event, msg.BatchFailed) and event.is_unknown:
            event = msg.BatchApplied(event.batch_id, 0)
        return super().handle(event, now)


class _SeizingCore(ClaimCore):
    """Faulty core that takes over claims without an answer.

    It assumes that the daemon of such a claim has died.
    """

    def handle(self, event, now):  # type: ignore[no-untyped-def]
        if isinstance(event, msg.RowRead) and event.row is not None:
            if event.row.state is msg.ClaimState.CLAIMED:
                row = replace(event.row, state=msg.ClaimState.NOT_RUN)
                event = replace(event, row=row)
        return super().handle(event, now)


class _TrustingMachine(ClaimMachine):
    """Machine whose daemons do not read back after unknown outcomes."""

    core_type = _TrustingCore


class _SeizingMachine(ClaimMachine):
    """Machine whose daemons take over claims of other daemons."""

    core_type = _SeizingCore


def run_machine(machine: type[ClaimMachine]) -> None:
    """Run a state machine with the fixed seed and without shrinking."""
    options = settings(
        max_examples=int(os.environ.get('CLAIM_EXAMPLES', '100')),
        stateful_step_count=40,
        phases=(Phase.generate,),
        report_multiple_bugs=False,
    )
    run_state_machine_as_test(machine, settings=options)


class TestAtMostOnce:
    """Guards against a second run of a non-repeatable request."""

    def test_holds_under_faults(self) -> None:
        """Killed or suspended daemons and late commits cause no second run."""
        run_machine(ClaimMachine)

    def test_fails_without_read_back(self) -> None:
        """The machine detects dispatches without a confirmed claim."""
        with pytest.raises(AssertionError):
            run_machine(_TrustingMachine)

    def test_fails_with_takeover(self) -> None:
        """The machine detects takeovers of claims of other daemons."""
        with pytest.raises(AssertionError):
            run_machine(_SeizingMachine)


class TestClaimCore:
    """Guards against wrong answers to repeated requests."""

    def setup_method(self) -> None:
        """Create a core with one pending claim."""
        self.core = ClaimCore(ClaimSettings())
        event = msg.ClaimRequested('first', 'key', 'digest', 'nonce')
        self.batch = self.core.handle(event, 0)[0]

    def test_failed_commit_is_refused(self) -> None:
        """A claim is refused at once if it was certainly not written."""
        event = msg.BatchFailed(self.batch.batch_id, is_unknown=False)
        refusal = msg.RefuseClaim('first', ResultCode.CLAIM_UNAVAILABLE)
        assert self.core.handle(event, 0) == [refusal]
        assert self.core.pending_count == 0

    def test_reused_key_is_refused(self) -> None:
        """A key used with another request must not return its answer."""
        event = msg.ClaimRequested('second', 'key', 'other', 'nonce-2')
        refusal = msg.RefuseClaim('second', ResultCode.IDEMPOTENCY_KEY_REUSED)
        assert self.core.handle(event, 0) == [refusal]

    def test_answer_is_stored_before_forwarding(self) -> None:
        """An answer must be stored by the time a caller can repeat."""
        self.core.handle(msg.BatchApplied(self.batch.batch_id, 7), 0)
        answer = msg.StoredAnswer(201, (), b'{}')
        keep = self.core.handle(msg.EndpointAnswered('first', answer), 1)[0]
        assert keep.writes[0].row.answer == answer
        assert keep.writes[0].version == 7
        stored = self.core.handle(msg.BatchApplied(keep.batch_id, 8), 2)
        assert stored == [msg.ForwardAnswer('first', is_stored=True)]

    def test_answer_is_forwarded_if_store_is_slow(self) -> None:
        """The answer is forwarded after ``keep_timeout`` if not stored."""
        self.core.handle(msg.BatchApplied(self.batch.batch_id, 7), 0)
        answer = msg.StoredAnswer(201, (), b'{}')
        self.core.handle(msg.EndpointAnswered('first', answer), 1)
        forwarded = msg.ForwardAnswer('first', is_stored=False)
        assert self.core.handle(msg.ClaimTick(), 1001) == [forwarded]
