"""Follows one table of the store and keeps a copy of it current."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import trio
from result import Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.host_settings import ServiceBounds
from clementinedyke.entry.journal import Journal

_MILLISECONDS_PER_SECOND = 1000
#: Wait between two calls of a feed that fails. All daemons lose the store at
#: the same time, so the waits are spread.
_MIN_RETRY: Milliseconds = 80
_MAX_RETRY: Milliseconds = 250
#: The waits double so many times: each call costs money, and a daemon that
#: the store turns away is helped by others.
_MAX_DOUBLINGS = 2

_WAIT_ALONE: Milliseconds = 1500
_WAIT_EACH: Milliseconds = 150
_MIN_WAIT: Milliseconds = 3000
_MAX_WAIT: Milliseconds = 10000
_PAUSE_EACH: Milliseconds = 20
#: Part of a promised delay that a feed may use.
_DELAY_SHARE = 2


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row with its raw content; None marks a row that was dropped."""

    key: str
    version: int
    content: bytes | None


@dataclass(frozen=True, slots=True)
class FeedAnswer:
    """Rows of a table, or changes of it, up to a revision."""

    revision: int
    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer has the changes that were asked for."""


class TableFeed(Protocol):
    """What the watch needs of the store."""

    async def read_table(
        self, table: str, prefix: str = ''
    ) -> Result[FeedAnswer, TableFailure]:
        """Return all rows of a table."""

    async def follow_table(
        self, table: str, revision: int, wait: Milliseconds
    ) -> Result[FeedAnswer | HistoryLost, TableFailure]:
        """Wait for changes of a table."""


class TableView(Protocol):
    """What the rows of a watched table are given to."""

    def replace_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Take all rows of the table in place of the former ones."""

    def apply_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Take changed rows."""

    def confirm(self, as_of: Milliseconds, revision: int) -> None:
        """Take that the rows were complete at an instant and revision."""

    def record_failure(self, now: Milliseconds) -> None:
        """Take that the store did not answer."""


@dataclass(frozen=True, slots=True)
class FeedPace:
    """How long a feed's calls wait for changes, and the pause behind them.

    Without other daemons the wait bounds the time in which a silent
    connection is noticed; with them, their news tell of changes that were
    missed, and each call costs money. Each change is told to every daemon, so
    that both grow with their number, up to half of the bound that they would
    use up: the age at which keys count no more, and the time in which a
    configuration comes into force and a leaving endpoint gets its last
    request.
    """

    count_daemons: Callable[[], int]
    bounds: ServiceBounds

    def get_wait(self) -> Milliseconds:
        """Return the longest time that a call waits."""
        daemons = self.count_daemons()
        if daemons == 1:
            return _WAIT_ALONE
        limit = _MAX_WAIT
        if self.bounds.max_key_age is not None:
            limit = min(limit, self.bounds.max_key_age // _DELAY_SHARE)
        return min(limit, max(_MIN_WAIT, daemons * _WAIT_EACH))

    def get_pause(self) -> Milliseconds:
        """Return the time between changes and the next call."""
        delay = min(self.bounds.drain_delay, self.bounds.configuration_delay)
        pause = self.count_daemons() * _PAUSE_EACH
        return min(delay // _DELAY_SHARE, pause)


class TableWatch(Component):
    """One task that reads a table once and then follows its changes."""

    def __init__(
        self,
        table: str,
        feed: TableFeed,
        reader: TableView,
        pace: FeedPace,
        clock: Clock,
        journal: Journal,
        generator: Random,
    ) -> None:
        """Create the watch.

        :param table: table name.
        :param feed: client of the store.
        :param reader: takes the rows.
        :param pace: how long calls wait and how they follow one another.
        :param clock: clock of the host.
        :param journal: log of changes of state.
        :param generator: seeded source of jitter.
        """
        self._table = table
        self._feed = feed
        self._reader = reader
        self._pace = pace
        self._clock = clock
        self._journal = journal
        self._generator = generator
        self._revision: int | None = None
        self._is_connected = False
        self._failures = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs it.
        """
        nursery.start_soon(self._run)

    async def _run(self) -> None:
        while True:
            if await self._step():
                self._failures = 0
                continue
            delay = self._generator.randint(_MIN_RETRY, _MAX_RETRY)
            delay <<= min(self._failures, _MAX_DOUBLINGS)
            self._failures += 1
            await trio.sleep(delay / _MILLISECONDS_PER_SECOND)

    async def _step(self) -> bool:
        """Make one call; tell whether the store answered."""
        sent_at = self._clock.get_now()
        if self._revision is None:
            answer = await self._feed.read_table(self._table)
            if answer.is_ok():
                self._reader.replace_rows(
                    answer.unwrap().rows, self._clock.get_now()
                )
            return self._note(answer, sent_at)
        # All calls end with the same change; equal waits would end together
        # too, and all daemons would be without news for as long.
        longest = self._pace.get_wait()
        wait = self._generator.randint(longest // 2, longest)
        changes = await self._feed.follow_table(
            self._table, self._revision, wait
        )
        if self._clock.get_now() >= sent_at + wait:
            # The store looked for changes until the end of the wait.
            sent_at += wait
        outcome = changes.unwrap() if changes.is_ok() else None
        if isinstance(outcome, FeedAnswer):
            self._reader.apply_rows(outcome.rows, self._clock.get_now())
        is_answered = self._note(changes, sent_at)
        if isinstance(outcome, FeedAnswer) and outcome.rows:
            # Changes come in series; one call takes all that come meanwhile.
            pause = self._pace.get_pause()
            await trio.sleep(pause / _MILLISECONDS_PER_SECOND)
        return is_answered

    def _note(
        self,
        answer: Result[FeedAnswer, TableFailure]
        | Result[FeedAnswer | HistoryLost, TableFailure],
        sent_at: Milliseconds,
    ) -> bool:
        if answer.is_err():
            self._reader.record_failure(self._clock.get_now())
            self._note_connection(is_connected=False)
            return False
        self._note_connection(is_connected=True)
        outcome = answer.unwrap()
        if isinstance(outcome, HistoryLost):
            self._journal.write('feed_history_lost', table=self._table)
            self._revision = None
            return True
        self._revision = outcome.revision
        self._reader.confirm(sent_at, outcome.revision)
        return True

    def _note_connection(self, *, is_connected: bool) -> None:
        if is_connected == self._is_connected:
            return
        self._is_connected = is_connected
        event = 'store_regained' if is_connected else 'store_lost'
        self._journal.write(event, table=self._table)
