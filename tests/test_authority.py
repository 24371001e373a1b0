"""State machine tests of leases, orders and usage under faults.

``AUTHORITY_EXAMPLES=1000 AUTHORITY_SEED=7 .venv/bin/pytest -s
tests/test_authority.py -k test_guarantees`` runs longer and prints the seed.
"""

import os
import sys
from collections.abc import Callable, Container
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from authority_world import (
    FENCING,
    STEP,
    Mechanisms,
    World,
)
from clementinedyke.leases.messages import StopRequested
from clementinedyke.usage.closing_messages import SendReport
from clementinedyke.usage.messages import WorkDone

EXAMPLES = int(os.environ.get('AUTHORITY_EXAMPLES', '15'))
SEED = int(os.environ.get('AUTHORITY_SEED', '1'))
HOSTS = st.sampled_from(['a', 'b', 'c'])
TARGETS = st.sampled_from(sorted(FENCING))
#: In ms: a few actions, a renewal, an expiry, and a take-over with its wait.
DURATIONS = st.sampled_from([500, 1000, 3000, 12000])


def fault(**strategies: Any) -> Callable[[Any], Any]:
    """Declare a rule that runs only if the focus contains its name."""

    def decorate(function: Any) -> Any:
        name = function.__name__
        guard = precondition(lambda machine: name in machine.focus)
        return rule(**strategies)(guard(function))

    return decorate


class AllRules:
    """Focus that contains every rule."""

    def __contains__(self, name: object) -> bool:
        """Return True for every rule name."""
        return True


ALL_RULES = AllRules()


class AuthorityMachine(RuleBasedStateMachine):
    """Interleaves faults with the actions of three processes."""

    mechanisms = Mechanisms()
    focus: Container[str] = ALL_RULES

    @initialize(number=st.integers(0, 99), lag=st.sampled_from([0, 60000]))
    def begin(self, number: int, lag: int) -> None:
        """Start three processes and let one acquire the lease."""
        self.world = World(number, replace(self.mechanisms), lag)
        self.world.run(2000)

    @fault(duration=DURATIONS, deliver=st.booleans())
    def advance(self, duration: int, deliver: bool) -> None:
        """Advance the time, with orders delivered at once or held back."""
        self.world.run(duration, deliver)

    @fault(index=st.integers(0, 3), arrives=st.booleans())
    def move_copy(self, index: int, arrives: bool) -> None:
        """Deliver an order out of sequence, or lose its connection."""
        if index < len(self.world.in_flight):
            move = self.world.deliver if arrives else self.world.lose_connection
            move(index)

    @fault(name=TARGETS, number=st.integers(0, 9), steps=st.integers(1, 4))
    def want(self, name: str, number: int, steps: int) -> None:
        """Request a change in every process and run some of its steps."""
        self.world.want(name, number)
        self.world.run(steps * STEP, deliver=False)

    @fault(host=HOSTS, amount=st.integers(1, 9))
    def work(self, host: str, amount: int) -> None:
        """Finish work on a daemon."""
        process = self.world.processes.get(host)
        if process and not process.is_frozen:
            process.handle(process.part, WorkDone({'tokens': amount}))
            self.world.ended += amount

    @fault(
        name=st.sampled_from(['checked', 'ignored']),
        steps=st.sampled_from([2, 2, 1, 3]),
        tail=st.sampled_from(['crash', 'deliver', 'hold']),
    )
    def freeze_holder(self, name: str, steps: int, tail: str) -> None:
        """Freeze the holder during an order until its lease has expired."""
        self.world.want(name, self.world.now % 10)
        self.world.run(steps * STEP, deliver=False)
        for holder in self.world.get_holders():
            holder.is_frozen = True
        self.world.run(20000)
        self.world.want(name, (self.world.now + 1) % 10)
        self.world.run(3000)
        for process in self.world.processes.values():
            process.is_frozen = False
        self.world.run(STEP, deliver=False)
        self._finish(name, tail)

    @fault()
    def kill_thawed_holder(self) -> None:
        """Kill a resumed former holder whose order is in flight."""
        self.freeze_holder(name='ignored', steps=2, tail='kill')

    @fault(name=TARGETS, host=HOSTS)
    def bounce_host(self, name: str, host: str) -> None:
        """Freeze a holder whose host was absent from the host list before."""
        self.world.bounce(host)
        self.world.want(name, self.world.now % 10)
        self.world.run(2 * STEP, deliver=False)
        self.world.processes[host].is_frozen = True
        self.world.run(60000)
        self.world.want(name, (self.world.now + 1) % 10)
        self.world.run(20000)
        self.world.processes[host].is_frozen = False
        self.world.run(STEP, deliver=False)
        self.world.deliver_newest_first()

    @fault(name=TARGETS)
    def stop_holder(self, name: str) -> None:
        """Stop the holder with an order in flight; restart the others."""
        self.world.want(name, self.world.now % 10)
        self.world.run(3 * STEP, deliver=False)
        for process in list(self.world.processes.values()):
            if process in self.world.get_holders():
                process.handle(process.lease, StopRequested())
        self.world.run(1500, deliver=False)
        self.world.restart_all_but_holders()
        self.world.run(2500, deliver=False)
        self.world.deliver_newest_first()

    def _finish(self, name: str, tail: str) -> None:
        if tail == 'kill':
            self.world.kill_senders()
            self.world.run(4000, deliver=False)
        if tail == 'crash':
            self.world.crash_target(name)
        if tail != 'hold':
            self.world.deliver_newest_first()

    @fault(host=HOSTS)
    def freeze_reporter(self, host: str) -> None:
        """Freeze the holder before a report until its lease has expired."""
        frozen = self.world.freeze_before(SendReport)
        self.world.run(20000)
        self.work(host, 5)
        self.world.run(6000)
        if frozen:
            frozen.is_frozen = False
        self.world.run(STEP)

    @fault(name=TARGETS)
    def change_mind(self, name: str) -> None:
        """Request another change after the answer to an order was lost."""
        self.world.want(name, 1)
        self.world.run(3 * STEP, deliver=False)
        self.world.lose_all_connections()
        self.world.want(name, 2)
        self.world.run(8 * STEP, deliver=False)
        self.world.deliver_newest_first()

    @fault(
        host=HOSTS, rate=st.sampled_from([0.96, 1.04]), at_once=st.booleans()
    )
    def kill(self, host: str, rate: float, at_once: bool) -> None:
        """Kill a process and start a new one on its host."""
        self.world.kill(host)
        if not at_once:
            self.world.run(14000, deliver=False)
        self.world.start(host, rate)

    @fault(host=HOSTS)
    def stop(self, host: str) -> None:
        """Stop a process gracefully."""
        process = self.world.processes.get(host)
        if process and not process.is_frozen:
            process.handle(process.lease, StopRequested())

    @fault(host=HOSTS, duration=DURATIONS)
    def cut(self, host: str, duration: int) -> None:
        """Disconnect a process from everything for a time in ms."""
        self.world.processes[host].is_cut = True
        self.world.run(duration)
        for process in self.world.processes.values():
            process.is_cut = False

    @fault(duration=DURATIONS)
    def break_store(self, duration: int) -> None:
        """Make the platform unavailable for a time in ms."""
        self.world.is_outage = True
        self.world.run(duration)
        self.world.is_outage = False

    @fault(count=st.integers(1, 4))
    def lose_answers(self, count: int) -> None:
        """Lose the answers to the next commits, which may be applied later."""
        self.world.lose_answers += count

    @fault()
    def apply_delayed(self) -> None:
        """Apply the delayed commits whose answers were lost."""
        self.world.apply_delayed()

    @fault(name=TARGETS)
    def crash_target(self, name: str) -> None:
        """Restart a target."""
        self.world.crash_target(name)

    @invariant()
    def check(self) -> None:
        """Check all invariants after each rule."""
        if hasattr(self, 'world'):
            self.world.check()

    def teardown(self) -> None:
        """End all faults and check that the system reaches its final state."""
        if hasattr(self, 'world'):
            self.world.heal()
            self.world.run(90000)
            self.world.check_end()


def run_machine(
    mechanisms: Mechanisms,
    examples: int,
    focus: Container[str] = ALL_RULES,
) -> None:
    """Run the state machine with the given mechanisms enabled."""

    members = {'mechanisms': mechanisms, 'focus': focus}
    machine = seed(SEED)(type('Machine', (AuthorityMachine,), members))
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=20,
            derandomize=False,
            database=None,
            deadline=None,
            print_blob=False,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )


class TestGuarantees:
    """Guards against fault interleavings that violate an invariant."""

    def test_guarantees(self) -> None:
        """Every invariant holds with all mechanisms in place."""
        sys.stdout.write(f'AUTHORITY_SEED={SEED} EXAMPLES={EXAMPLES}\n')
        run_machine(Mechanisms(), EXAMPLES)


class TestMechanisms:
    """Guards against invariants that can never fail."""

    @pytest.mark.parametrize(
        ('removed', 'violation', 'focus'),
        [
            ('fence_check', 'former holder', 'freeze_holder'),
            ('kept_fence', 'former holder', 'freeze_holder'),
            ('unreleased', 'former holder|two reporters', 'freeze_holder'),
            (
                'host_lag seen_hosts',
                'former holder|two reporters',
                '',
            ),
            ('quiet_wait', 'former holder', 'kill_thawed_holder advance'),
            ('close_before_release', 'former holder', 'stop_holder'),
            (
                'fence_condition',
                'left open|one identity|conflicting',
                'freeze_holder',
            ),
            ('recorded_first', 'conflicting|one identity', 'freeze_holder'),
            ('wait_for_outcome', 'conflicting', ''),
            ('drift_factor', 'two holders', 'cut advance'),
            ('window_condition', 'sum differs', 'work advance'),
            ('carried_rest', 'counted twice', ''),
            ('report_wait', 'two reporters', ''),
            (
                'report_wait window_condition recorded_figures',
                'two figures',
                '',
            ),
        ],
    )
    def test_removal_is_found(
        self, removed: str, violation: str, focus: str
    ) -> None:
        """The same rules and seed pass with the mechanism and fail without."""
        rules = focus.split() or ALL_RULES
        run_machine(Mechanisms(), 1, rules)
        without: dict[str, Any] = dict.fromkeys(removed.split(), False)
        with pytest.raises(AssertionError, match=violation):
            run_machine(Mechanisms(**without), 25 if focus else 100, rules)
