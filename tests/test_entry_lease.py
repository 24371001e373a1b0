"""Tests of the lease of the duties on simulated time."""

import random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.entry_samples import create_journal

from clementinedyke.clock import ManualClock
from clementinedyke.entry.duty_lease import DutyLease
from clementinedyke.entry.duty_types import Authority
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.handover import ExpiryHandover
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
from clementinedyke.store_revision import (
    compile_fence,
    compile_revision,
    get_number,
)

_DURATION = 3000
_STEP = 100
_TIMING = LeaseTiming(
    duration=_DURATION,
    renew_interval=1000,
    drift_factor=1.1,
    call_timeout=1600,
    host_interval=10**9,
    restarts_observation=True,
)


class LeaseStore:
    """Fake of the store with the lease row and the fence row.

    Both rows take their versions from one revision counter.
    """

    def __init__(self, era: int = 0) -> None:
        """Create a store in which neither row exists.

        :param era: era in its answers.
        """
        self.era = era
        self.row = None
        self.version = 0
        self.fence = 0
        self.fence_version = 0
        self.revision = 0

    def write(self, action: WriteLease) -> int | None:
        """Apply a write and return its revision, None on a version conflict."""
        if action.version != self.version:
            return None
        self.revision += 1
        self.row = action.row
        self.version = compile_revision(self.era, self.revision)
        if action.raises_fence:
            self.fence = action.row.fence
            self.fence_version = self.version
        return self.version

    def return_from_copy(self) -> None:
        """Begin an era in which both rows have the versions of a copy."""
        self.era += 1
        for name in ('version', 'fence_version'):
            version = getattr(self, name)
            if version:
                number = get_number(version)
                setattr(self, name, compile_revision(self.era, number))


class SimulatedDaemon:
    """One run of a daemon; a restart creates another object.

    ``is_cut``: calls to the store fail. ``is_frozen``: the process does not
    run. ``is_stopping``: the daemon gives back its lease and seeks no other.
    """

    def __init__(self, host: str, run: int, store: LeaseStore) -> None:
        """Create a daemon that does not hold the lease."""
        self.host = host
        self.store = store
        self.clock = ManualClock()
        identity = Identity(host, f'{host}:1', f'{host}.{run}')
        self.core = LeaseCore(
            identity,
            random.Random(f'{host}.{run}'),
            _TIMING,
            ExpiryHandover(identity, 0, 0),
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
        """Run the lease core at the current time, including its calls."""
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
            return LeaseRead(self.store.row, self.store.version, self.store.era)
        if isinstance(action, ReadFence):
            return FenceRead(self.store.fence, self.store.fence_version)
        if isinstance(action, WriteLease):
            revision = self.store.write(action)
            if revision is None:
                return LeaseCallFailed()
            return LeaseWritten(action.row.nonce, revision)
        return OrdersClosed()


class DutyTurns(RuleBasedStateMachine):
    """Kills, freezes, disconnects and stops three daemons in any order."""

    def __init__(self) -> None:
        """Start a daemon on each of three hosts."""
        super().__init__()
        self.store = LeaseStore()
        self.now = 0
        self.runs = 0
        self.holders = [
            self.create_holder(host) for host in ('host-0', 'host-1', 'host-2')
        ]
        #: (time in ms, host, fence) of each call to the platform.
        self.calls: list[tuple[int, str, int]] = []

    def create_holder(self, host: str) -> SimulatedDaemon:
        """Return a new run of the daemon of a host."""
        self.runs += 1
        holder = SimulatedDaemon(host, self.runs, self.store)
        holder.clock.advance(self.now)
        return holder

    @rule(steps=st.integers(1, 60))
    def pass_time(self, steps: int) -> None:
        """Run all daemons, which call the platform whenever permitted."""
        for _ in range(steps):
            self.now += _STEP
            for holder in self.holders:
                holder.clock.advance(_STEP)
                holder.step()
                self.act(holder)

    def act(self, holder: SimulatedDaemon) -> None:
        """Record a call if the daemon has the authority for it."""
        if holder.is_frozen:
            return
        authority = holder.lease.get_authority()
        if authority is not None:
            self.calls.append((self.now, holder.host, authority.fence))

    @rule(number=st.integers(0, 2), is_cut=st.booleans())
    def cut(self, number: int, is_cut: bool) -> None:
        """Disconnect a daemon from the store or reconnect it."""
        self.holders[number].is_cut = is_cut

    @rule(number=st.integers(0, 2), is_frozen=st.booleans())
    def freeze(self, number: int, is_frozen: bool) -> None:
        """Suspend the process of a daemon or resume it."""
        self.holders[number].is_frozen = is_frozen

    @rule(number=st.integers(0, 2))
    def restart(self, number: int) -> None:
        """Kill a daemon and start a new one on its host."""
        self.holders[number] = self.create_holder(self.holders[number].host)

    @rule(number=st.integers(0, 2))
    def stop(self, number: int) -> None:
        """Begin an orderly stop, in which a daemon releases the lease."""
        self.holders[number].is_stopping = True

    @invariant()
    def fences_never_fall(self) -> None:
        """Guards against a call of a former holder after one of a later."""
        fences = [fence for _, _, fence in self.calls]
        assert fences == sorted(fences)

    @invariant()
    def one_host_a_fence(self) -> None:
        """Guards against calls of two hosts with the same fence."""
        hosts: dict[int, str] = {}
        for _, host, fence in self.calls:
            assert hosts.setdefault(fence, host) == host

    @invariant()
    def no_quick_turns(self) -> None:
        """Guards against holders A, B, A within the lease duration."""
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
    """Guards against duties that no daemon performs."""

    def run_until_held(
        self, daemons: list[SimulatedDaemon], limit: int
    ) -> int | None:
        """Return the milliseconds until a daemon may act, None at the limit."""
        for now in range(0, limit, _STEP):
            for daemon in daemons:
                daemon.clock.advance(_STEP)
                daemon.step()
                if daemon.lease.get_authority() and not daemon.is_frozen:
                    return now
        return None

    def test_first_holder_does_not_wait(self) -> None:
        """The first daemon must not wait for a former one."""
        daemon = SimulatedDaemon('host-1', 1, LeaseStore())
        assert self.run_until_held([daemon], 2000) is not None

    def test_killed_holder_is_replaced_in_time(self) -> None:
        """Duties of a killed daemon must be taken over within 5.5 s."""
        store = LeaseStore()
        first = SimulatedDaemon('host-1', 1, store)
        second = SimulatedDaemon('host-2', 2, store)
        self.run_until_held([first], 2000)
        takeover_time = self.run_until_held([second], 8000)
        assert takeover_time is not None
        assert takeover_time <= 5500

    def test_store_outage_keeps_holder(self) -> None:
        """An outage that affects all daemons must not move the lease."""
        store = LeaseStore()
        first = SimulatedDaemon('host-1', 1, store)
        second = SimulatedDaemon('host-2', 2, store)
        self.run_until_held([first, second], 2000)
        for daemon in (first, second):
            daemon.is_cut = True
        assert first.core.fence == 1
        self.run_steps([first, second], 80)
        for healed in (second, first):
            healed.is_cut = False
        self.run_steps([second, first], 20)
        assert store.row.holder.host == 'host-1'
        assert msgspec.structs.asdict(store.row)['fence'] == 1

    def run_steps(self, daemons: list[SimulatedDaemon], steps: int) -> None:
        """Run the daemons for a number of steps."""
        for _ in range(steps):
            for daemon in daemons:
                daemon.clock.advance(_STEP)
                daemon.step()


class TestStoreFromOlderCopy:
    """Guards against a fence that two holders use."""

    def test_fence_is_not_given_again(self) -> None:
        """A holder must get a higher fence although the store lost the last.

        The former holder is cut off from the store and doesn't know of the
        loss.
        """
        former = SimulatedDaemon('host-0', 1, LeaseStore(era=1))
        former_authority = run_until_authorized(former)
        store_without_rows = LeaseStore(era=2)
        following = SimulatedDaemon('host-1', 2, store_without_rows)
        authority = run_until_authorized(following)
        assert authority.fence > former_authority.fence

    def test_two_losses(self) -> None:
        """Fences rise although the store loses each holder's tenure."""
        fences = []
        for era in range(1, 4):
            daemon = SimulatedDaemon('host-0', era, LeaseStore(era))
            fences.append(run_until_authorized(daemon).fence)
        assert fences == sorted(set(fences))

    @pytest.mark.parametrize('former_is_cut', [False, True])
    def test_row_of_an_earlier_holder(self, *, former_is_cut: bool) -> None:
        """The holder in a copy must not go on with its fence.

        The store may have lost a later holder, which acted with a higher one.
        A new holder acts only when the lease of the former one has ended.
        """
        store = LeaseStore(era=1)
        former = SimulatedDaemon('host-0', 1, store)
        former_fence = run_until_authorized(former).fence
        following = SimulatedDaemon('host-1', 2, store)
        following.clock.advance(former.clock.get_now())
        former.is_cut = former_is_cut
        store.return_from_copy()
        authorities = set()
        for _ in range(3 * _DURATION // _STEP):
            held = []
            for daemon in (former, following):
                daemon.clock.advance(_STEP)
                daemon.step()
                authority = daemon.lease.get_authority()
                if authority is not None:
                    held.append(authority)
            assert len(held) <= 1
            authorities.update(held)
        newest = max(authorities, key=lambda item: item.fence)
        assert newest.fence > compile_fence(1, former_fence)
        assert newest.holder == 'host-1' or not former_is_cut


def run_until_authorized(daemon: SimulatedDaemon) -> Authority:
    """Run a daemon until it may act and return its authority."""
    while daemon.lease.get_authority() is None:
        daemon.clock.advance(_STEP)
        daemon.step()
    return daemon.lease.get_authority()
