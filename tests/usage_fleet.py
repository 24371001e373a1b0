"""Simulation of the daemons of a zone that share the writes of their usage."""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from random import Random

import msgspec
import trio
from result import Err, Result
from tests.entry_samples import TrioClock, create_journal
from tests.row_table import InMemoryRowStore
from trio.testing import MockClock

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import ManualClock
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.usage_duty import PARTS_TABLE, PartWriter, UsagePart
from clementinedyke.entry.usage_sharing import UsageSharing
from clementinedyke.http.client import Address
from clementinedyke.rows import CommitResult

WINDOW = 5000
#: Time after the end of a window at which its parts are summed, in seconds.
DEADLINE_SECONDS = 6
_DATAGRAM_SECONDS = 0.002


class DaemonStore:
    """Store as one daemon reaches it, or not."""

    def __init__(self, store: InMemoryRowStore) -> None:
        """Create the access of a daemon that the store serves."""
        self._store = store
        self.is_refused = False

    async def commit(self, conditions: list, writes: list) -> CommitResult:
        """Commit, unless the store refuses this daemon."""
        if self.is_refused:
            return Err(TableFailure.NOT_DONE)
        return await self._store.commit(conditions, writes)

    async def get_row(self, table: str, key: str) -> Result:
        """Return a row, unless the store refuses this daemon."""
        if self.is_refused:
            return Err(TableFailure.NOT_DONE)
        return await self._store.get_row(table, key)

    async def list_rows(self, table: str, prefix: str = '') -> Result:
        """Return rows, unless the store refuses this daemon."""
        if self.is_refused:
            return Err(TableFailure.NOT_DONE)
        return await self._store.list_rows(table, prefix)


class ZoneDaemon:
    """Usage of one daemon; its address is its host."""

    def __init__(self, host: str, fleet: 'UsageFleet') -> None:
        """Create a daemon that has counted nothing."""
        self.host = host
        self._fleet = fleet
        journal = create_journal(ManualClock())
        self.counter = UsageCounter(fleet, WINDOW)
        self.store = DaemonStore(fleet.store)
        self.writer = PartWriter(
            self.store, self.counter, journal, host, f'{host}.1'
        )
        self.sharing = UsageSharing(
            host, f'{host}.1', self.writer, self, TrioClock(), journal
        )
        self.sharing.select_collector = lambda: fleet.collector
        self.scope = trio.CancelScope()

    @property
    def addresses(self) -> dict[str, Address]:
        """Addresses of all daemons."""
        return {host: Address(host, 1) for host in self._fleet.daemons}

    async def send(self, payload: bytes, addresses: Iterable[Address]) -> None:
        """Send a datagram, which may be lost."""
        for address in addresses:
            self._fleet.send(self.host, address.host, payload)

    async def run(self) -> None:
        """Write parts each second until the daemon is killed."""
        with self.scope:
            await trio.sleep(self._fleet.generator.random())
            while True:
                await self.sharing.write_parts()
                await trio.sleep(1)


class UsageFleet:
    """Daemons of one zone with a common collector."""

    def __init__(self, daemons: int, seed: int) -> None:
        """Create daemons whose collector is the first one."""
        self.store = InMemoryRowStore()
        self.generator = Random(seed)
        self.lost_share: float = 0
        self.collector: str | None = 'host-0'
        self.daemons: dict[str, ZoneDaemon] = {}
        self.nursery: trio.Nursery | None = None
        #: Counts by window and customer, as the daemons counted them.
        self.counted: dict[int, Counter[str]] = {}
        for number in range(daemons):
            host = f'host-{number}'
            self.daemons[host] = ZoneDaemon(host, self)

    def get_unix(self) -> int:
        """Return the time in ms since the start of window 0."""
        return TrioClock().get_now()

    def kill(self, host: str) -> None:
        """End a daemon at once."""
        self.daemons.pop(host).scope.cancel()

    def count(self, host: str, customer: str) -> None:
        """Count a request at a daemon."""
        daemon = self.daemons[host]
        daemon.counter.count_request(customer)
        window = self.counted.setdefault(daemon.counter.window, Counter())
        window[customer] += 1

    def sum_parts(self, window: int) -> Counter[str]:
        """Return the sum of the stored parts of a window."""
        total: Counter[str] = Counter()
        for (table, key), row in self.store.rows.items():
            if table == PARTS_TABLE and key.startswith(f'{window}/'):
                total.update(msgspec.convert(row.value, UsagePart).counts)
        return total

    def send(self, sender: str, receiver: str, payload: bytes) -> None:
        """Deliver a datagram after a moment, or lose it."""
        is_lost = self.generator.random() < self.lost_share
        if self.nursery is not None and not is_lost:
            self.nursery.start_soon(self._deliver, sender, receiver, payload)

    async def count_steadily(self, seconds: float) -> None:
        """Count a request at a random daemon each 10 ms."""
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            host = self.generator.choice(sorted(self.daemons))
            self.count(host, f'c-{self.generator.randrange(3)}')
            await trio.sleep(0.01)

    async def _deliver(
        self, sender: str, receiver: str, payload: bytes
    ) -> None:
        await trio.sleep(_DATAGRAM_SECONDS)
        daemon = self.daemons.get(receiver)
        if daemon is not None:
            await daemon.sharing.receive(payload, Address(sender, 1))


def run_usage_fleet(
    daemons: int,
    scenario: Callable[[UsageFleet], Awaitable[None]],
    seed: int = 1,
) -> None:
    """Run a scenario with daemons that write parts, in virtual time."""

    async def main() -> None:
        fleet = UsageFleet(daemons, seed)
        async with trio.open_nursery() as nursery:
            fleet.nursery = nursery
            for daemon in fleet.daemons.values():
                nursery.start_soon(daemon.run)
            await scenario(fleet)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
