"""Tests of the authority over the duties, on virtual time."""

import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.entry_samples import create_journal

from clementinedyke.clock import ManualClock
from clementinedyke.entry.duty_lease import DutyLease
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.handover import LapseHandover
from clementinedyke.leases.messages import (
    FenceRead,
    LeaseCallFailed,
    LeaseRead,
    LeaseTick,
    LeaseWritten,
    OrdersClosed,
    ReadFence,
    ReadLease,
    StopRequested,
    WriteLease,
)
from clementinedyke.leases.types import Identity, LeaseTiming

_DURATION = 3000
_STEP = 100
_TIMING = LeaseTiming(
    duration=_DURATION,
    renew_interval=1000,
    drift_factor=1.1,
    call_timeout=1600,
    host_interval=10**9,
    observes_anew=True,
)


class LeaseStore:
    """The two rows of the lease, with one counter of versions."""

    def __init__(self) -> None:
        """Create a store without rows."""
        self.row = None
        self.version = 0
        self.fence = 0
        self.fence_version = 0
        self.revision = 0

    def write(self, action: WriteLease) -> int | None:
        """Apply a write if its condition holds; return the revision."""
        if action.version != self.version:
            return None
        self.revision += 1
        self.row = action.row
        self.version = self.revision
        if action.raises_fence:
            self.fence = action.row.fence
            self.fence_version = self.revision
        return self.revision


class SimulatedDaemon:
    """One daemon on a host; a restart makes a new one."""

    def __init__(self, host: str, run: int, store: LeaseStore) -> None:
        """Create a daemon that holds nothing."""
        self.host = host
        self.store = store
        self.clock = ManualClock()
        identity = Identity(host, f'{host}:1', f'{host}.{run}')
        self.core = LeaseCore(
            identity,
            random.Random(f'{host}.{run}'),
            _TIMING,
            LapseHandover(identity, 0, 0),
        )
        self.lease = DutyLease(
            self.core,
            host,
            self.clock,
            _DURATION,
            create_journal(self.clock),
        )
        self.is_cut = False
        self.is_frozen = False
        self.is_stopping = False

    def step(self) -> None:
        """Let the daemon see the time and make its calls."""
        now = self.clock.get_now()
        if self.is_frozen:
            return
        if self.is_stopping:
            self._handle(StopRequested(), now)
        self._handle(LeaseTick(not self.is_stopping), now)

    def _handle(self, event: object, now: int) -> None:
        actions = self.core.handle(event, now)
        while actions:
            outcome = self._call(actions.pop(0))
            actions.extend(self.core.handle(outcome, now))

    def _call(self, action: object) -> object:
        if self.is_cut:
            return LeaseCallFailed()
        if isinstance(action, ReadLease):
            return LeaseRead(self.store.row, self.store.version)
        if isinstance(action, ReadFence):
            return FenceRead(self.store.fence, self.store.fence_version)
        if isinstance(action, WriteLease):
            revision = self.store.write(action)
            if revision is None:
                return LeaseCallFailed()
            return LeaseWritten(action.row.nonce, revision)
        return OrdersClosed()


class DutyTurns(RuleBasedStateMachine):
    """Kills, freezes, cuts and stops of three hosts in any order."""

    def __init__(self) -> None:
        """Start three daemons."""
        super().__init__()
        self.store = LeaseStore()
        self.now = 0
        self.runs = 0
        self.holders = [
            self.create_holder(host) for host in ('host-0', 'host-1', 'host-2')
        ]
        #: (instant, host, fence) of each call that the platform gets.
        self.calls: list[tuple[int, str, int]] = []

    def create_holder(self, host: str) -> SimulatedDaemon:
        """Return a new run of a daemon."""
        self.runs += 1
        holder = SimulatedDaemon(host, self.runs, self.store)
        holder.clock.advance(self.now)
        return holder

    @rule(steps=st.integers(1, 60))
    def pass_time(self, steps: int) -> None:
        """Let all daemons run, and act whenever they may."""
        for _ in range(steps):
            self.now += _STEP
            for holder in self.holders:
                holder.clock.advance(_STEP)
                holder.step()
                self.act(holder)

    def act(self, holder: SimulatedDaemon) -> None:
        """Make a call if the daemon believes that it may."""
        if holder.is_frozen:
            return
        authority = holder.lease.get_authority()
        if authority is not None:
            self.calls.append((self.now, holder.host, authority.fence))

    @rule(number=st.integers(0, 2), is_cut=st.booleans())
    def cut(self, number: int, is_cut: bool) -> None:
        """Cut a daemon off from the store, or heal the cut."""
        self.holders[number].is_cut = is_cut

    @rule(number=st.integers(0, 2), is_frozen=st.booleans())
    def freeze(self, number: int, is_frozen: bool) -> None:
        """Stop a daemon in its tracks, or let it go on."""
        self.holders[number].is_frozen = is_frozen

    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Kill a daemon; a new one starts on its host."""
        self.holders[number] = self.create_holder(self.holders[number].host)

    @rule(number=st.integers(0, 2))
    def stop(self, number: int) -> None:
        """Let a daemon give the lease back."""
        self.holders[number].is_stopping = True

    @invariant()
    def fences_never_fall(self) -> None:
        """Guards against a call of a former holder behind a later one."""
        fences = [fence for _, _, fence in self.calls]
        assert fences == sorted(fences)

    @invariant()
    def one_host_a_fence(self) -> None:
        """Guards against two hosts under one fence."""
        hosts: dict[int, str] = {}
        for _, host, fence in self.calls:
            assert hosts.setdefault(fence, host) == host

    @invariant()
    def no_quick_turns(self) -> None:
        """Guards against hosts that act A, B, A within the lease time."""
        turns: list[tuple[int, int, str]] = []
        for at, host, _ in self.calls:
            if turns and turns[-1][2] == host:
                turns[-1] = (turns[-1][0], at, host)
            else:
                turns.append((at, at, host))
        last: dict[str, int] = {}
        for begun, ended, host in turns:
            assert begun - last.get(host, -_DURATION) >= _DURATION
            last[host] = ended


DutyTurns.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
TestDutyTurns = DutyTurns.TestCase


class TestDutyLease:
    """Guards against duties that nobody does."""

    def run_until_held(
        self, holders: list[SimulatedDaemon], limit: int
    ) -> int | None:
        """Return after how long one of the daemons may act."""
        for now in range(0, limit, _STEP):
            for holder in holders:
                holder.clock.advance(_STEP)
                holder.step()
                if holder.lease.get_authority() and not holder.is_frozen:
                    return now
        return None

    def test_first_holder(self) -> None:
        """At the first start nobody is waited for."""
        holder = SimulatedDaemon('host-1', 1, LeaseStore())
        assert self.run_until_held([holder], 2000) is not None

    def test_killed_holder(self) -> None:
        """The duties of a killed daemon are taken over within seconds."""
        store = LeaseStore()
        first = SimulatedDaemon('host-1', 1, store)
        second = SimulatedDaemon('host-2', 2, store)
        self.run_until_held([first], 2000)
        taken = self.run_until_held([second], 8000)
        assert taken is not None
        assert taken <= 5500

    def test_outage_of_the_store(self) -> None:
        """An outage for all must leave the lease with its holder."""
        store = LeaseStore()
        first = SimulatedDaemon('host-1', 1, store)
        second = SimulatedDaemon('host-2', 2, store)
        self.run_until_held([first, second], 2000)
        for holder in (first, second):
            holder.is_cut = True
        assert first.core.fence == 1
        self.run_steps([first, second], 80)
        for healed in (second, first):
            healed.is_cut = False
        self.run_steps([second, first], 20)
        assert store.row.holder.host == 'host-1'
        assert msgspec.structs.asdict(store.row)['fence'] == 1

    def run_steps(self, holders: list[SimulatedDaemon], steps: int) -> None:
        """Let daemons run for a while."""
        for _ in range(steps):
            for holder in holders:
                holder.clock.advance(_STEP)
                holder.step()
