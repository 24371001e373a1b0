"""Follows a table of the store and passes its changes to a view."""

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
#: Bounds of the random delay before a failed call is repeated. All daemons lose
#: the store at the same time, so their retries have to be spread.
_MIN_RETRY: Milliseconds = 80
_MAX_RETRY: Milliseconds = 250
#: Repeated failures double the delay this many times: each call costs money,
#: and a daemon that the store refuses gets the state from other daemons.
_MAX_DOUBLINGS = 2

_SINGLE_DAEMON_WAIT: Milliseconds = 1500
_WAIT_PER_DAEMON: Milliseconds = 150
_MIN_WAIT: Milliseconds = 3000
_MAX_WAIT: Milliseconds = 10000
_PAUSE_PER_DAEMON: Milliseconds = 20
#: A feed may use up to 1/n of a guaranteed delay.
_DELAY_DIVISOR = 2


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row with its raw content; content None marks a deleted row."""

    key: str
    version: int
    content: bytes | None


@dataclass(frozen=True, slots=True)
class FeedAnswer:
    """All rows of a table, or its changed rows, as of a revision."""

    revision: int
    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer holds the requested changes."""


class TableFeed(Protocol):
    """Calls to the store that a watch makes."""

    async def read_table(
        self, table: str, prefix: str = ''
    ) -> Result[FeedAnswer, TableFailure]:
        """Return all rows of a table whose keys start with a prefix."""

    async def follow_table(
        self, table: str, revision: int, wait: Milliseconds
    ) -> Result[FeedAnswer | HistoryLost, TableFailure]:
        """Wait up to ``wait`` ms for changes after a revision."""


class TableView(Protocol):
    """Local view of a table, updated by the table's watch."""

    def replace_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Replace the contents of the view with all rows of the table."""

    def apply_rows(
        self, rows: tuple[StoredRow, ...], now: Milliseconds
    ) -> None:
        """Apply changed rows."""

    def confirm(self, as_of: Milliseconds, revision: int) -> None:
        """Record that the rows were complete at a time and revision."""

    def record_failure(self, now: Milliseconds) -> None:
        """Record that the store did not answer."""


@dataclass(frozen=True, slots=True)
class FeedPace:
    """Wait time of a feed's calls and the pause between calls.

    A daemon on its own needs short waits to detect a dead connection. With
    other daemons, their updates reveal missed changes, and longer waits save
    calls, which cost money. The store reports each change to every daemon, so
    the wait and the pause grow with the number of daemons. Each is limited to
    half of the guarantee that it delays: the wait by ``max_key_age``, the pause
    by ``drain_delay`` and ``configuration_delay``.
    """

    count_daemons: Callable[[], int]
    bounds: ServiceBounds

    def get_wait(self) -> Milliseconds:
        """Return the longest wait of a call, in milliseconds."""
        daemons = self.count_daemons()
        if daemons == 1:
            return _SINGLE_DAEMON_WAIT
        limit = _MAX_WAIT
        if self.bounds.max_key_age is not None:
            limit = min(limit, self.bounds.max_key_age // _DELAY_DIVISOR)
        return min(limit, max(_MIN_WAIT, daemons * _WAIT_PER_DAEMON))

    def get_pause(self) -> Milliseconds:
        """Return the pause after a call that returned changes, in ms."""
        delay = min(self.bounds.drain_delay, self.bounds.configuration_delay)
        pause = self.count_daemons() * _PAUSE_PER_DAEMON
        return min(delay // _DELAY_DIVISOR, pause)


class TableWatch(Component):
    """Reads a table once and then follows its changes."""

    def __init__(
        self,
        table: str,
        feed: TableFeed,
        view: TableView,
        pace: FeedPace,
        clock: Clock,
        journal: Journal,
        generator: Random,
    ) -> None:
        """Create the watch.

        :param table: table name.
        :param feed: client of the store.
        :param view: view that the rows are applied to.
        :param pace: wait time of calls and pause between them.
        :param clock: clock of the host.
        :param journal: log of state changes.
        :param generator: random generator for jitter.
        """
        self._table = table
        self._feed = feed
        self._view = view
        self._pace = pace
        self._clock = clock
        self._journal = journal
        self._generator = generator
        self._revision: int | None = None
        self._is_connected = False
        self._is_pausing = False
        self._failures = 0

    @property
    def is_pausing(self) -> bool:
        """Whether the next call is delayed because the last had changes."""
        return self._is_pausing

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
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
        """Make one call; return whether the store answered."""
        sent_at = self._clock.get_now()
        if self._revision is None:
            answer = await self._feed.read_table(self._table)
            if answer.is_ok():
                self._view.replace_rows(
                    answer.unwrap().rows, self._clock.get_now()
                )
            return self._process_answer(answer, sent_at)
        # A change ends the calls of all daemons at the same time. With equal
        # waits the next calls would end together too, and no daemon would get
        # a confirmation in between.
        max_wait = self._pace.get_wait()
        wait = self._generator.randint(max_wait // 2, max_wait)
        changes = await self._feed.follow_table(
            self._table, self._revision, wait
        )
        outcome = changes.unwrap() if changes.is_ok() else None
        has_changes = isinstance(outcome, FeedAnswer) and bool(outcome.rows)
        now = self._clock.get_now()
        if isinstance(outcome, FeedAnswer):
            self._view.apply_rows(outcome.rows, now)
        if not has_changes and now >= sent_at + wait:
            # Without changes the store checked until the end of the wait.
            sent_at += wait
        has_answered = self._process_answer(changes, sent_at)
        if has_changes:
            # Changes come in bursts; the next call returns the whole burst.
            pause = self._pace.get_pause()
            self._is_pausing = True
            await trio.sleep(pause / _MILLISECONDS_PER_SECOND)
            self._is_pausing = False
        return has_answered

    def _process_answer(
        self,
        answer: Result[FeedAnswer, TableFailure]
        | Result[FeedAnswer | HistoryLost, TableFailure],
        sent_at: Milliseconds,
    ) -> bool:
        if answer.is_err():
            now = self._clock.get_now()
            if self._failures:
                # A single failure may be that of a kept connection, while the
                # store answers on new ones.
                self._view.record_failure(now)
            if self._is_connected:
                self._is_connected = False
                self._journal.write(
                    'store_lost',
                    table=self._table,
                    reason=answer.unwrap_err().value,
                    waited_ms=now - sent_at,
                )
            return False
        if not self._is_connected:
            self._is_connected = True
            self._journal.write('store_regained', table=self._table)
        outcome = answer.unwrap()
        if isinstance(outcome, HistoryLost):
            self._journal.write('feed_history_lost', table=self._table)
            self._revision = None
            return True
        self._revision = outcome.revision
        self._view.confirm(sent_at, outcome.revision)
        return True
