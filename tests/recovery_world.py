"""Simulation of daemons that follow one store and lend each other its state."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace

import trio
from result import Err, Ok, Result
from tests.entry_samples import (
    BOUNDS,
    TrioClock,
    create_endpoint,
    create_journal,
)
from trio.testing import MockClock

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import ManualClock
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.lending import LendingLimit
from clementinedyke.entry.news import PeerTable, PeerUpdate
from clementinedyke.entry.recovery import RecoveryComponent
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import (
    FeedAnswer,
    FeedPace,
    HistoryLost,
    StoredRow,
    TableWatch,
)

#: Smallest link of the users' sites, in Mbit/s and in bytes per ms.
LINK_MEGABITS = 5
LINK_RATE = 625
#: Size of the state of 72 daemons and 65 endpoints, in bytes.
STATE_SIZE = 30000
#: Times of the store's answers, which differ with the links of the hosts.
_ANSWER_SECONDS = (0.006, 0.066)
_BOUNDS = replace(BOUNDS, drain_delay=3000, configuration_delay=3000)
#: Interval of the updates of 72 daemons.
_UPDATE_SECONDS = 1.2
#: Interval at which a daemon writes its usage.
_USAGE_SECONDS = 4
#: Time after which keep-alive probes break a connection that went silent, and
#: after which a new one is given up.
_SILENCE_SECONDS = 2
_CONNECT_SECONDS = 1
_VERSION = 1


class SimulatedStore:
    """Table with a change feed."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.revision = 0
        self._history: list[StoredRow] = []
        self._changed = trio.Event()

    def put(self, key: str, content: bytes) -> None:
        """Write a row."""
        self._write(key, content)

    def remove(self, key: str) -> None:
        """Delete a row."""
        self._write(key, None)

    def return_to(self, revision: int) -> None:
        """Lose all that was written after a revision."""
        self.revision = revision
        self._history = [
            row for row in self._history if row.version <= revision
        ]
        self._changed.set()
        self._changed = trio.Event()

    def list_changes(self, revision: int) -> tuple[StoredRow, ...]:
        """Return the rows written after a revision."""
        return tuple(row for row in self._history if row.version > revision)

    async def wait_for_change(self, revision: int, wait: int) -> None:
        """Wait up to ``wait`` ms for a row written after a revision."""
        with trio.move_on_after(wait / 1000):
            while self.revision == revision:
                await self._changed.wait()

    def _write(self, key: str, content: bytes | None) -> None:
        self.revision += 1
        self._history.append(StoredRow(key, self.revision, content))
        self._changed.set()
        self._changed = trio.Event()


class Gate:
    """Holds the tasks of a daemon that stands still."""

    def __init__(self) -> None:
        """Create an open gate."""
        self._opened: trio.Event | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the daemon stands still."""
        return self._opened is not None

    def close(self) -> None:
        """Let the daemon stand still."""
        self._opened = trio.Event()

    def open(self) -> None:
        """Let the daemon go on."""
        if self._opened is not None:
            self._opened.set()
            self._opened = None

    async def wait(self) -> None:
        """Wait until the daemon goes on."""
        while self._opened is not None:
            await self._opened.wait()


@dataclass
class StoreAccess:
    """Access of one daemon to the store, which may refuse the daemon.

    ``gate`` is closed while the daemon stands still: the store answers it, but
    it reads the answers later.
    """

    store: SimulatedStore
    generator: Random
    contact: StoreContact
    is_refused: bool = False
    is_cut: bool = False
    calls: int = 0
    gate: Gate = field(default_factory=Gate)
    #: Calls in progress, and those whose answers get lost.
    _running: set[trio.CancelScope] = field(default_factory=set)
    _lost: set[trio.CancelScope] = field(default_factory=set)
    _has_silent_connection: bool = False

    def silence(self) -> None:
        """Let the kept connection go silent while new ones work."""
        self._has_silent_connection = not self._running
        for scope in self._running:
            self._lose(scope)

    def cut(self) -> None:
        """Lose all packets, those of new connections too."""
        self.silence()
        self.is_cut = True

    async def read_table(
        self, table: str, prefix: str = ''
    ) -> Result[FeedAnswer, TableFailure]:
        """Return all rows."""
        return await self.follow_table(table, 0, 0)

    async def follow_table(
        self,
        table: str,
        revision: int,
        wait: int,
        *,
        doubts_idle: bool = False,
    ) -> Result[FeedAnswer | HistoryLost, TableFailure]:
        """Return the rows written after a revision, waiting for one."""
        self.calls += 1
        answer: Result = Err(TableFailure.UNKNOWN)
        with trio.CancelScope() as scope:
            self._running.add(scope)
            if self._has_silent_connection:
                self._has_silent_connection = False
                self._lose(scope)
            answer = await self._call(scope, revision, wait)
        self._running.discard(scope)
        self._lost.discard(scope)
        await self.gate.wait()
        if answer.is_ok():
            self.contact.record_answer(TrioClock().get_now())
        return answer

    def _lose(self, scope: trio.CancelScope) -> None:
        self._lost.add(scope)
        scope.deadline = trio.current_time() + _SILENCE_SECONDS

    async def _call(
        self, scope: trio.CancelScope, revision: int, wait: int
    ) -> Result[FeedAnswer | HistoryLost, TableFailure]:
        if self.is_cut:
            await trio.sleep(_CONNECT_SECONDS)
            return Err(TableFailure.NOT_DONE)
        if not self.is_refused:
            await self.store.wait_for_change(revision, wait)
        if revision > self.store.revision:
            return Ok(HistoryLost())
        answer = FeedAnswer(
            self.store.revision, self.store.list_changes(revision)
        )
        await trio.sleep(self.generator.uniform(*_ANSWER_SECONDS))
        if scope in self._lost:
            await trio.sleep_forever()
        if self.is_refused:
            return Err(TableFailure.NOT_DONE)
        return Ok(answer)


@dataclass
class SimulatedDaemon:
    """The parts of a daemon that follow the store, and its link.

    ``link_free_at`` is the time in ms at which the link has sent all lent
    states, ``longest_backlog`` the longest time in ms for which a request
    would have waited behind them. ``fetches`` counts the states asked for,
    which others lend if ``may_fetch`` is set.
    """

    host: str
    access: StoreAccess
    view: EndpointView
    watch: TableWatch
    peer_table: PeerTable
    limit: LendingLimit
    recovery: RecoveryComponent | None = None
    link_free_at: float = 0
    longest_backlog: float = 0
    fetches: int = 0
    may_fetch: bool = True

    def apply_update(self, update: PeerUpdate, now: int) -> None:
        """Apply an update as the component of the daemon does."""
        if self.peer_table.apply_update(update, now) and update.store_age >= 0:
            instant = now - update.store_age
            self.access.contact.record_remote_answer(instant)

    def lend(self, now: int) -> float:
        """Queue the state in the link; return the ms until it is sent."""
        started_at = max(self.link_free_at, now)
        self.link_free_at = started_at + STATE_SIZE / LINK_RATE
        backlog = self.link_free_at - now
        self.longest_backlog = max(self.longest_backlog, backlog)
        return backlog


class RecoveryWorld:
    """Daemons of a large site, in virtual time."""

    def __init__(self, daemons: int, seed: int) -> None:
        """Create the daemons.

        :param daemons: number of daemons.
        :param seed: seed of the jitter of all daemons.
        """
        self.store = SimulatedStore()
        self.clock = TrioClock()
        self.daemons: dict[str, SimulatedDaemon] = {}
        self._count = daemons
        self._seed = seed
        for number in range(daemons):
            self._add_daemon(f'host-{number}')

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all daemons."""
        for number, daemon in enumerate(self.daemons.values()):
            await daemon.watch.start(nursery)
            await daemon.recovery.start(nursery)
            nursery.start_soon(self._send_updates, daemon, number)
            nursery.start_soon(self._write_usage, daemon, number)

    def set_refused(self, count: int, *, is_refused: bool) -> None:
        """Set whether the store and all lenders refuse the first daemons."""
        for daemon in tuple(self.daemons.values())[:count]:
            daemon.access.is_refused = is_refused
            daemon.may_fetch = not is_refused

    async def remove_engine(self) -> int:
        """Remove the entry of an engine in 100 ms; return when in ms."""
        await trio.sleep(0.1)
        self.store.remove('engine')
        return self.clock.get_now()

    async def release(self, rounds: int) -> None:
        """Replace engines in rounds, as the operator's releases do.

        In each round four engines report at the same time that they leave,
        and new ones start 100 and 200 ms later.
        """
        for number in range(rounds):
            for engine in range(4):
                self.store.put(f'old-{number}-{engine}', b'leaving')
                await trio.sleep(0.0003)
            for step in range(2):
                await trio.sleep(0.1)
                self.store.put(f'new-{number}-{step}', b'ready')
            await trio.sleep(0.9)

    async def fetch_state(self, asker: SimulatedDaemon, lender: str) -> bool:
        """Copy the state of another daemon, as slowly as its link sends it."""
        asker.fetches += 1
        source = self.daemons[lender]
        now = self.clock.get_now()
        if not asker.may_fetch or not source.limit.may_lend(now):
            await trio.sleep(_ANSWER_SECONDS[0])
            return False
        rows = tuple(source.view.list_rows())
        revision = source.view.as_of_revision
        source.limit.record_lent(STATE_SIZE, now)
        backlog = source.lend(now)
        if backlog > 500:
            await trio.sleep(0.5)
            return False
        await trio.sleep(backlog / 1000)
        asker.view.replace_rows(rows, self.clock.get_now())
        asker.view.confirm(self.clock.get_now(), revision)
        return True

    async def _send_updates(self, daemon: SimulatedDaemon, number: int) -> None:
        await trio.sleep(_UPDATE_SECONDS * number / self._count)
        sequence = 0
        while True:
            sequence += 1
            store_age = daemon.access.contact.get_age(self.clock.get_now())
            update = PeerUpdate(
                host=daemon.host,
                run_id=daemon.host,
                sequence=sequence,
                version=_VERSION,
                configuration_age=0,
                endpoints_revision=daemon.view.changed_revision,
                interval=6000,
                work={},
                read_parts={},
                store_age=-1 if store_age is None else store_age,
            )
            for other in self.daemons.values():
                other.apply_update(update, self.clock.get_now())
            await trio.sleep(_UPDATE_SECONDS)

    async def _write_usage(self, daemon: SimulatedDaemon, number: int) -> None:
        await trio.sleep(_USAGE_SECONDS * number / self._count)
        while True:
            if not daemon.access.is_refused:
                daemon.access.contact.record_answer(self.clock.get_now())
            await trio.sleep(_USAGE_SECONDS)

    def _add_daemon(self, host: str) -> None:
        generator = Random(f'{self._seed} {host}')
        contact = StoreContact()
        access = StoreAccess(self.store, generator, contact)
        pace = FeedPace(lambda: self._count, _BOUNDS)
        journal = create_journal(ManualClock())
        view = EndpointView(
            _decode_entry,
            _BOUNDS.drain_delay,
            pace.get_pause,
            contact,
            journal,
        )
        watch = TableWatch(
            'servers', access, view, pace, self.clock, journal, generator
        )
        daemon = SimulatedDaemon(
            host,
            access,
            view,
            watch,
            PeerTable(host),
            LendingLimit(LINK_MEGABITS),
        )
        daemon.recovery = RecoveryComponent(
            daemon.peer_table,
            (SimpleNamespace(version=_VERSION), view),
            (SimpleNamespace(is_pausing=False), watch),
            lambda lender: self.fetch_state(daemon, lender),
            self.clock,
            generator,
        )
        self.daemons[host] = daemon


def run_outage(refused: int, seconds: float) -> list[int]:
    """Remove the entry of an engine while the store refuses daemons.

    The entry is removed 100 ms after the outage begins.

    :param refused: number of the 72 daemons that the store refuses; they get
        no state from the others.
    :param seconds: time from the removal to the end of the outage.
    :return: times in ms after the removal, up to 2 s after the outage, at
        which the first daemon would send requests to the engine.
    """
    used: list[int] = []

    async def remove_and_record(world: RecoveryWorld) -> None:
        removed_at = await world.remove_engine()
        view = world.daemons['host-0'].view
        while True:
            now = world.clock.get_now()
            if view.list_endpoints(now):
                used.append(now - removed_at)
            await trio.sleep(0.02)

    async def main() -> None:
        world = RecoveryWorld(72, seed=1)
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            world.store.put('engine', b'ready')
            await trio.sleep(2)
            world.set_refused(refused, is_refused=True)
            nursery.start_soon(remove_and_record, world)
            await trio.sleep(seconds + 0.1)
            world.set_refused(refused, is_refused=False)
            await trio.sleep(2)
            nursery.cancel_scope.cancel()

    _run_in_virtual_time(main)
    return used


def run_world(daemons: int, refused: int, seed: int) -> RecoveryWorld:
    """Run six rounds of a release and return the world.

    :param daemons: number of daemons.
    :param refused: number of daemons that the store refuses from 2 s on.
    :param seed: seed of the jitter.
    """
    worlds = []

    async def main() -> None:
        world = RecoveryWorld(daemons, seed)
        worlds.append(world)
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            await trio.sleep(2)
            for daemon in tuple(world.daemons.values())[:refused]:
                daemon.access.is_refused = True
            await world.release(6)
            await trio.sleep(8)
            nursery.cancel_scope.cancel()

    _run_in_virtual_time(main)
    return worlds[0]


def _run_in_virtual_time(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main, clock=MockClock(autojump_threshold=0))


def _decode_entry(endpoint_id: str, content: bytes) -> Result:
    return Ok(create_endpoint(endpoint_id, is_leaving=content == b'leaving'))
