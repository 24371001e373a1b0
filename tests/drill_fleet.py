"""Daemons that count and report usage while the store loses writes.

Leases, parts, sums and reports are those of the daemon; store, network delays
and time are simulated.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from random import Random
from typing import TypeVar

import trio
from result import Err, Ok, Result
from tests.entry_samples import TrioClock, create_journal
from tests.row_table import InMemoryRowStore
from trio.testing import MockClock

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import ManualClock
from clementinedyke.entry.duty_lease import DUTIES_SCOPE, DutyLease
from clementinedyke.entry.duty_types import Authority
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.usage_closer import WindowCloser
from clementinedyke.entry.usage_component import UsageComponent, UsageTiming
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_sharing import create_sharing
from clementinedyke.leases.component import LeaseComponent, LeasePolicy
from clementinedyke.leases.handover import ExpiryHandover
from clementinedyke.leases.types import Identity, LeaseTiming
from clementinedyke.rows import (
    CommitResult,
    Condition,
    Conflict,
    Row,
    Snapshot,
    Write,
)
from clementinedyke.store_revision import (
    compile_revision,
    get_number,
)

WINDOW = 5000
#: Time after the end of a window until which its report counts.
REPORT_DELAY = 10000
_LEASE = 3000
_TIMING = LeaseTiming(
    duration=_LEASE,
    renew_interval=1000,
    drift_factor=1.1,
    call_timeout=1600,
    host_interval=10**9,
    restarts_observation=True,
)
_Answer = TypeVar('_Answer')


class ReturningStore(InMemoryRowStore):
    """Store that is away for a moment and returns from a copy."""

    def __init__(self) -> None:
        """Create an empty store in its first era."""
        super().__init__()
        self.era = 1
        self.revision = compile_revision(1, 0)

    async def play_drill(self, copy: dict, away: float) -> None:
        """Return from a copy after some seconds in which all calls fail."""
        self.is_down = True
        await trio.sleep(away)
        self.is_down = False
        self.return_from(copy)


class StoreAccess:
    """Store as one daemon reaches it: with delays, and by numbers of an era.

    A condition is sent as a number, which the store may have given out again.
    """

    def __init__(self, store: ReturningStore, generator: Random) -> None:
        """Create an access that was not answered yet."""
        self._store = store
        self._generator = generator
        self._era: int | None = None
        self.is_cut = False
        self.return_observers: list[Callable[[], None]] = []

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> CommitResult:
        """Commit, unless a condition is of an earlier era."""
        oldest = compile_revision(self._era or 0, 0)
        if any(0 < item.version < oldest for item in conditions):
            return Ok(Conflict([]))

        async def send() -> CommitResult:
            current = [
                Condition(
                    item.table,
                    item.key,
                    compile_revision(self._store.era, get_number(item.version))
                    if item.version
                    else 0,
                )
                for item in conditions
            ]
            return await self._store.commit(current, writes)

        return await self._call(send)

    async def get_row(
        self, table: str, key: str
    ) -> Result[Row | None, TableFailure]:
        """Return a row."""
        return await self._call(lambda: self._store.get_row(table, key))

    async def list_rows(
        self, table: str, prefix: str = ''
    ) -> Result[Snapshot, TableFailure]:
        """Return the rows whose key begins with a prefix."""
        return await self._call(lambda: self._store.list_rows(table, prefix))

    async def _call(
        self, call: Callable[[], Awaitable[Result[_Answer, TableFailure]]]
    ) -> Result[_Answer, TableFailure]:
        await trio.sleep(self._generator.uniform(0.001, 0.03))
        if self.is_cut:
            await trio.sleep(0.2)
            return Err(TableFailure.NOT_DONE)
        answer = await call()
        era = self._store.era
        await trio.sleep(self._generator.uniform(0.001, 0.03))
        if self._store.is_down or self.is_cut:
            return Err(TableFailure.UNKNOWN)
        if era < (self._era or 0):
            return Err(TableFailure.UNKNOWN)
        has_returned = self._era is not None and era > self._era
        self._era = era
        if has_returned:
            for observer in self.return_observers:
                observer()
        return answer


class Reports:
    """Interface for usage reports, which records them by window."""

    def __init__(self, generator: Random) -> None:
        """Create an interface without reports."""
        self._generator = generator
        #: Counts, holder, fence and time in ms of each report.
        self.received: list[tuple[int, dict[str, int], Authority, int]] = []
        self.lost_share: float = 0
        self.is_down = False

    async def report_usage(
        self, window: int, counts: dict[str, int], authority: Authority
    ) -> Result[None, TableFailure]:
        """Record a report; its answer may be lost."""
        await trio.sleep(self._generator.uniform(0.001, 0.02))
        if self.is_down:
            return Err(TableFailure.NOT_DONE)
        now = TrioClock().get_now()
        self.received.append((window, counts, authority, now))
        if self._generator.random() < self.lost_share:
            return Err(TableFailure.UNKNOWN)
        return Ok(None)

    def list_figures(self) -> dict[int, set[str]]:
        """Return the different counts that were reported of each window."""
        figures: dict[int, set[str]] = {}
        for window, counts, _, _ in self.received:
            figures.setdefault(window, set()).add(str(sorted(counts.items())))
        return figures

    def list_holders(self) -> dict[int, set[str]]:
        """Return the hosts that used each fence."""
        holders: dict[int, set[str]] = {}
        for _, _, authority, _ in self.received:
            holders.setdefault(authority.fence, set()).add(authority.holder)
        return holders


class NoHosts:
    """Host list of a platform that has none."""

    async def list_hosts(self) -> Result[frozenset[str], TableFailure]:
        """Return no host."""
        return Ok(frozenset())


class DrillDaemon:
    """One run of a daemon."""

    def __init__(self, fleet: 'DrillFleet', host: str, run: int) -> None:
        """Create a daemon that is not started."""
        self._fleet = fleet
        self.host = host
        self.scope = trio.CancelScope()
        clock = TrioClock()
        journal = create_journal(ManualClock())
        run_id = f'{host}.{run}'
        self.access = StoreAccess(fleet.store, fleet.generator)
        self.counter = UsageCounter(fleet, WINDOW)
        identity = Identity(host, f'{host}:1', run_id)
        self.leases = LeaseComponent(
            identity,
            self.access,
            NoHosts(),
            clock,
            fleet.generator,
            is_candidate=lambda scope: True,
            policy=LeasePolicy(_TIMING, ExpiryHandover(identity, 0, 0), 400),
        )
        self.lease = DutyLease(
            self.leases.add_scope(DUTIES_SCOPE), host, clock, _LEASE, journal
        )
        sharing = create_sharing(
            host,
            run_id,
            self.access,
            self.counter,
            (PeerNetwork(journal), clock, journal),
        )
        closer = WindowCloser(
            self.access, fleet.reports, journal, fleet.list_hosts
        )
        self.usage = UsageComponent(
            self.lease,
            sharing,
            closer,
            fleet,
            UsageTiming(WINDOW, REPORT_DELAY, lambda: len(fleet.daemons)),
        )
        self.access.return_observers.append(self.usage.record_return)

    async def run(self) -> None:
        """Run until the daemon is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.leases.start(nursery)
                await self.usage.start(nursery)


class DrillFleet:
    """Daemons of a deployment, their store and the reports."""

    def __init__(self, daemons: int, seed: int) -> None:
        """Create daemons that are not started."""
        self.generator = Random(seed)
        self.store = ReturningStore()
        self.reports = Reports(self.generator)
        #: Requests by window and customer, as the daemons counted them.
        self.counted: dict[int, Counter[str]] = {}
        self.daemons: dict[str, DrillDaemon] = {}
        #: Time in ms at which the scenario ended.
        self.ended_at = 0
        self._runs = 0
        self._hosts = [f'host-{number}' for number in range(daemons)]

    def get_unix(self) -> int:
        """Return the time in ms since the start of window 0."""
        return TrioClock().get_now()

    def list_hosts(self, age: int) -> frozenset[str]:
        """Return the hosts of all daemons that run."""
        return frozenset(self.daemons)

    def find_holder(self) -> str | None:
        """Return the host of the daemon that holds the duties."""
        for host, daemon in self.daemons.items():
            if daemon.lease.is_held:
                return host
        return None

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario with all daemons."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for host in self._hosts:
                self._start(host)
            nursery.start_soon(self._count_steadily)
            await scenario()
            self.ended_at = self.get_unix()
            nursery.cancel_scope.cancel()

    async def restart(self, host: str, pause: float) -> None:
        """Kill a daemon and start it again after some seconds."""
        self.daemons.pop(host).scope.cancel()
        await trio.sleep(pause)
        self._start(host)

    async def cut(self, host: str, duration: float) -> None:
        """Cut a daemon off from the store for some seconds."""
        daemon = self.daemons.get(host)
        if daemon is not None:
            daemon.access.is_cut = True
            await trio.sleep(duration)
            daemon.access.is_cut = False

    async def play_drill(self, copy_age: float, away: float) -> None:
        """Take a copy now, and return from it after some seconds."""
        copy = self.store.copy()
        await trio.sleep(copy_age)
        await self.store.play_drill(copy, away)

    def _start(self, host: str) -> None:
        self._runs += 1
        daemon = DrillDaemon(self, host, self._runs)
        self.daemons[host] = daemon
        self._nursery.start_soon(daemon.run)

    async def _count_steadily(self) -> None:
        while True:
            await trio.sleep(0.05)
            host = self.generator.choice(self._hosts)
            with suppress(KeyError):
                counter = self.daemons[host].counter
                customer = f'c-{self.generator.randrange(3)}'
                counter.count_request(customer)
                window = self.counted.setdefault(counter.window, Counter())
                window[customer] += 1


def run_drill_fleet(
    seed: int,
    scenario: Callable[[DrillFleet], Awaitable[None]],
    daemons: int = 4,
) -> DrillFleet:
    """Run a scenario in virtual time and return the fleet at its end."""
    fleet = DrillFleet(daemons, seed)

    async def main() -> None:
        await fleet.run(lambda: scenario(fleet))

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return fleet
