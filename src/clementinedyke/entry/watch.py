"""Follows a table of the store and passes its changes to a view."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import trio
from result import Err, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.change_signal import ChangeSignal
from clementinedyke.entry.feed_messages import NewsRow, TableNews
from clementinedyke.entry.host_settings import ServiceBounds
from clementinedyke.entry.journal import Journal
from clementinedyke.store_revision import get_era
from clementinedyke.tasks import run_restarting

_MILLISECONDS_PER_SECOND = 1000
#: Bounds of the random delay before a failed call is repeated. All daemons lose
#: the store at the same time, so their retries have to be spread.
_MIN_RETRY: Milliseconds = 80
_MAX_RETRY: Milliseconds = 250
#: Repeated failures double the delay this many times: each call costs money,
#: and a daemon that the store refuses gets the state from other daemons.
_MAX_DOUBLINGS = 2

_MIN_WAIT: Milliseconds = 500
#: Longest wait of a daemon that reads for itself. A call that returns a change
#: confirms its start only, so two waits may pass between confirmations. Entries
#: that come and go meanwhile are missed; they stay for at least 3.6 s.
_MAX_OWN_WAIT: Milliseconds = 1600
#: Waits are between 1/n of the longest one and all of it.
_WAIT_SPREAD = 4
_MAX_WAIT: Milliseconds = 10000
_PAUSE_PER_DAEMON: Milliseconds = 20
#: Delay before a daemon that missed a change reads it from the store. A reader
#: may send the change once more, and datagrams overtake each other.
_GAP_DELAY: Milliseconds = 120
#: Time that a message may take. A later one makes its answer look newer than it
#: is, which costs a needless read of the table.
_MAX_MESSAGE_DELAY: Milliseconds = 300
#: Interval at which a daemon checks whether others still read for it.
_FOLLOW_INTERVAL: Milliseconds = 250
#: A feed may use up to 1/n of a guaranteed delay.
_DELAY_DIVISOR = 2
#: Interval at which the readers together confirm a table: their calls end one
#: after the other. Each confirmation is one call to the store.
_CONFIRMATION_INTERVAL: Milliseconds = 500
#: A reader that begins a call just before its turn leaves out that turn.
_MIN_READER_WAIT: Milliseconds = 100
#: Time in which a daemon that no longer relies on readers connects to the store
#: and reads from it: 0.2 s, and more on a host that is short of processor time.
_OWN_READ_TIME: Milliseconds = 700
#: Time that the answer to a call may take beyond its wait.
ANSWER_TIME: Milliseconds = 700
#: Time from an answer of the store to a reader until all daemons have heard of
#: it, with the interval between two such answers and one heartbeat of a reader.
_CONFIRMATION_LAG: Milliseconds = 900


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
        self,
        table: str,
        revision: int,
        wait: Milliseconds,
        *,
        doubts_idle: bool = False,
    ) -> Result[FeedAnswer | HistoryLost, TableFailure]:
        """Wait up to ``wait`` ms for changes after a revision.

        ``doubts_idle`` is whether idle connections may have gone silent.
        """


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


def _get_no_turn() -> None:
    """Return no turn; default of a daemon that reads for itself only."""


@dataclass(frozen=True, slots=True)
class ReaderTurn:
    """Place of a daemon among those that read for others, and their number."""

    place: int
    readers: int


@dataclass(slots=True)
class FeedPace:
    """Wait time of a feed's calls and the pause between calls.

    A call that is not answered by the end of its wait tells that its connection
    has gone silent, which may happen to all daemons at once. So a daemon that
    reads for itself waits for less than the shortest guaranteed delay, and for
    less than entries stay. Longer waits save calls, which cost money: daemons
    that read for others have a turn (``get_turn``) and end their calls one
    after the other, so that one of them soon tells the rest. The store reports
    each change to every daemon, so the pause grows with the number of daemons.
    It is limited to half of ``drain_delay`` and ``configuration_delay``, the
    wait to half of ``max_key_age``.
    """

    count_daemons: Callable[[], int]
    bounds: ServiceBounds
    get_turn: Callable[[], ReaderTurn | None] = _get_no_turn

    def get_wait(self) -> Milliseconds:
        """Return the longest wait of a call, in milliseconds."""
        wait = max(_MIN_WAIT, self._get_shortest_delay() - _OWN_READ_TIME)
        return min(self._get_longest_wait(), _MAX_OWN_WAIT, wait)

    def select_wait(
        self, unchanged_time: Milliseconds, generator: Random
    ) -> Milliseconds:
        """Return for how long the next call may wait for changes, in ms.

        A change ends the calls of all daemons at the same time. With equal
        waits the next calls would end together too, and no daemon would get a
        confirmation in between.

        :param unchanged_time: time in ms since the last change, by which the
            readers agree on their turns.
        :param generator: random generator for daemons without a turn.
        """
        turn = self.get_turn()
        if turn is None:
            longest = self.get_wait()
            return generator.randint(longest // _WAIT_SPREAD, longest)
        period = turn.readers * _CONFIRMATION_INTERVAL
        offset = (turn.place + 1) * _CONFIRMATION_INTERVAL
        wait = (offset - unchanged_time) % period
        if wait < _MIN_READER_WAIT:
            wait += period
        return min(wait, self._get_longest_wait())

    def get_pause(self) -> Milliseconds:
        """Return the pause after a call that returned changes, in ms.

        It leaves time for a confirmation before daemons stop relying on
        readers.
        """
        delay = self._get_shortest_delay()
        pause = self.count_daemons() * _PAUSE_PER_DAEMON
        limit = self.get_max_news_age() - _CONFIRMATION_LAG
        return min(delay // _DELAY_DIVISOR, max(0, limit), pause)

    def get_max_news_age(self) -> Milliseconds:
        """Return the age of a confirmation up to which others are relied on.

        Readers may have lost the store without noticing it yet.
        """
        return max(0, self._get_shortest_delay() - _OWN_READ_TIME)

    def _get_longest_wait(self) -> Milliseconds:
        if self.bounds.max_key_age is None:
            return _MAX_WAIT
        return min(_MAX_WAIT, self.bounds.max_key_age // _DELAY_DIVISOR)

    def _get_shortest_delay(self) -> Milliseconds:
        return min(self.bounds.drain_delay, self.bounds.configuration_delay)


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
        #: Whether kept connections may have gone silent: others read for this
        #: daemon, or its last call failed.
        self._doubts_idle = False
        self._is_pausing = False
        self._failures = 0
        self._failed_at: Milliseconds | None = None
        self._changed_revision = 0
        self._confirmed_at: Milliseconds = 0
        #: Instant at which the known revision was learned.
        self._learned_at: Milliseconds = 0
        #: Instant at which the last changed rows were learned.
        self._changed_at: Milliseconds = 0
        self._is_unconfirmed = False
        self._behind_since: Milliseconds | None = None
        #: Scope of a call that reads what this daemon missed.
        self._gap_scope: trio.CancelScope | None = None
        self._gap = ChangeSignal()
        #: Era of the store at the last read of the table, None before.
        self._era: int | None = None
        #: Called when the store has returned from an older copy.
        self.return_observers: list[Callable[[], None]] = []
        #: Returns whether another daemon reads the table for this one.
        self.is_followed: Callable[[], bool] = bool
        #: Called with the changes in each answer of the store.
        self.publish: Callable[[TableNews], None] = _discard_news

    @property
    def is_pausing(self) -> bool:
        """Whether the next call is delayed because the last had changes."""
        return self._is_pausing

    @property
    def is_failing(self) -> bool:
        """Whether two or more calls in a row have failed."""
        return self._failures > 1

    @property
    def failed_at(self) -> Milliseconds | None:
        """Instant of the last failure that the view was told of."""
        return self._failed_at

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(run_restarting, self._run, 'watch')

    def compile_news(self, now: Milliseconds) -> TableNews | None:
        """Return the known revision and when it was confirmed.

        None before the table was read, and while it has to be read again.

        :param now: current instant.
        """
        if self._revision is None:
            return None
        return TableNews(
            self._table,
            min(self._changed_revision, self._revision),
            self._revision,
            max(0, now - self._confirmed_at),
        )

    def apply_news(self, news: TableNews, now: Milliseconds) -> bool:
        """Apply what another daemon has read; return whether it was new.

        News that begin after the known revision are not applied: the changes
        in between are missing, and this daemon reads them itself.

        :param news: changes of this table.
        :param now: current instant.
        """
        if self._revision is None:
            return False
        if news.revision < self._revision:
            self._check_return(now - max(0, news.age))
            return False
        if news.after > self._revision:
            if self._behind_since is None:
                self._behind_since = now
                self._gap.record_change()
            return False
        self._behind_since = None
        is_new = news.revision > self._revision
        if is_new:
            rows = tuple(
                StoredRow(row.key, row.version, row.content)
                for row in news.rows
            )
            self._apply_changes(rows, news.after, news.revision, now)
            if self._gap_scope is not None:
                self._gap_scope.cancel()
                self._gap_scope = None
        self._confirm(now - max(0, news.age), news.revision)
        return is_new

    def _check_return(self, as_of: Milliseconds) -> None:
        """Read the table again if the store has gone back.

        Its revision was lower when it last answered another daemon than the
        one that this daemon had learned before.

        :param as_of: instant of that answer.
        """
        if as_of - self._learned_at > _MAX_MESSAGE_DELAY:
            self._journal.write('feed_went_back', table=self._table)
            self._revision = None
            self._gap.record_change()

    def _update_era(self, era: int) -> None:
        if self._era is not None and era > self._era:
            self._journal.write('store_returned', table=self._table, era=era)
            for observer in self.return_observers:
                observer()
        self._era = era

    def record_failure(self, instant: Milliseconds) -> None:
        """Tell the view that the feed failed at another daemon.

        :param instant: instant of the failure, on the clock of this host.
        """
        self._view.record_failure(instant)

    async def _run(self) -> None:
        while True:
            if self._may_follow():
                await self._wait_for_gap()
                continue
            if await self._step():
                self._failures = 0
                continue
            delay = self._generator.randint(_MIN_RETRY, _MAX_RETRY)
            delay <<= min(self._failures, _MAX_DOUBLINGS)
            self._failures += 1
            await trio.sleep(delay / _MILLISECONDS_PER_SECOND)

    async def _wait_for_gap(self) -> None:
        """Wait while others read for this daemon.

        A missed change ends the wait after its delay.
        """
        self._doubts_idle = True
        expires_at = self._confirmed_at + self._pace.get_max_news_age()
        left = expires_at + 1 - self._clock.get_now()
        await self._gap.wait(max(0, min(left, _FOLLOW_INTERVAL)))
        if self._behind_since is not None:
            await trio.sleep(_GAP_DELAY / _MILLISECONDS_PER_SECOND)

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
        wait = self._select_wait()
        after = self._revision
        changes = await self._follow(after, wait)
        if changes is None:
            return True
        outcome = changes.unwrap() if changes.is_ok() else None
        has_changes = isinstance(outcome, FeedAnswer) and bool(outcome.rows)
        now = self._clock.get_now()
        if isinstance(outcome, FeedAnswer):
            self._process_changes(outcome, after, now)
            if not has_changes and now >= sent_at + wait:
                # The store checked until the end of the wait.
                sent_at += wait
        has_answered = self._process_answer(changes, sent_at)
        if has_answered and not has_changes:
            self._publish_confirmation()
        if has_changes:
            # Changes come in bursts; the next call returns the whole burst.
            pause = self._pace.get_pause()
            self._is_pausing = True
            await trio.sleep(pause / _MILLISECONDS_PER_SECOND)
            self._is_pausing = False
        return has_answered

    async def _follow(
        self, after: int, wait: Milliseconds
    ) -> Result[FeedAnswer | HistoryLost, TableFailure] | None:
        """Make a call of the feed; None if its answer is no longer needed.

        Another daemon may bring what this one missed before the store does.
        """
        scope = trio.CancelScope()
        if self._behind_since is not None:
            self._gap_scope = scope
        answer: Result[FeedAnswer | HistoryLost, TableFailure] = Err(
            TableFailure.UNKNOWN
        )
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._give_up_silent, nursery.cancel_scope)
                answer = await self._feed.follow_table(
                    self._table, after, wait, doubts_idle=self._doubts_idle
                )
                nursery.cancel_scope.cancel()
            return answer
        return None

    async def _give_up_silent(self, scope: trio.CancelScope) -> None:
        """Cancel a call whose connection may have gone silent; it has failed.

        Neither it nor other daemons confirm the table, or another daemon knows
        of a change that it should have returned.

        :param scope: scope of the call.
        """
        sent_at = self._clock.get_now()
        left = self._get_silence_left(sent_at)
        while left > 0:
            await self._gap.wait(left)
            left = self._get_silence_left(sent_at)
        self._journal.write(
            'feed_call_given_up',
            table=self._table,
            waited_ms=self._clock.get_now() - sent_at,
            behind=self._behind_since is not None,
        )
        scope.cancel()

    def _get_silence_left(self, sent_at: Milliseconds) -> Milliseconds:
        """Return the time in ms until a call without an answer is given up."""
        longest = self._pace.get_max_news_age()
        give_up_at = max(self._confirmed_at, sent_at) + longest
        if self._behind_since is not None:
            give_up_at = min(give_up_at, max(self._behind_since, sent_at))
        return give_up_at + ANSWER_TIME - self._clock.get_now()

    def _may_follow(self) -> bool:
        """Return whether this daemon need not call the store."""
        if self._revision is None or not self.is_followed():
            return False
        now = self._clock.get_now()
        if not self._is_confirmed(now):
            return False
        behind = self._behind_since
        return behind is None or now - behind < _GAP_DELAY

    def _is_confirmed(self, now: Milliseconds) -> bool:
        """Return whether the readers have reached the store lately."""
        age = now - self._confirmed_at
        is_unconfirmed = age > self._pace.get_max_news_age()
        if is_unconfirmed and not self._is_unconfirmed:
            self._journal.write(
                'feed_unconfirmed', table=self._table, age_ms=age
            )
        self._is_unconfirmed = is_unconfirmed
        return not is_unconfirmed

    def _select_wait(self) -> Milliseconds:
        """Return for how long the next call may wait for changes."""
        if self._behind_since is not None:
            return 0
        now = self._clock.get_now()
        return self._pace.select_wait(now - self._changed_at, self._generator)

    def _publish_confirmation(self) -> None:
        news = self.compile_news(self._clock.get_now())
        if news is not None:
            self.publish(news)

    def _process_changes(
        self, answer: FeedAnswer, after: int, now: Milliseconds
    ) -> None:
        self._behind_since = None
        if self._revision is not None and answer.revision < self._revision:
            # Other daemons have told newer changes during the call.
            return
        self._apply_changes(answer.rows, after, answer.revision, now)
        if answer.rows:
            rows = [
                NewsRow(row.key, row.version, row.content)
                for row in answer.rows
            ]
            self.publish(
                TableNews(self._table, after, answer.revision, 0, rows)
            )

    def _apply_changes(
        self,
        rows: tuple[StoredRow, ...],
        after: int,
        revision: int,
        now: Milliseconds,
    ) -> None:
        """Apply the changes between two revisions that are not known yet.

        A removal that is applied twice would drop a row written in between.
        """
        known = self._revision or 0
        if revision > known:
            self._learned_at = now
        if after < known:
            rows = tuple(row for row in rows if row.version > known)
        self._view.apply_rows(rows, now)
        self._revision = max(known, revision)
        if rows:
            self._changed_at = now
        changed = revision if rows else after
        self._changed_revision = max(self._changed_revision, changed)

    def _confirm(self, as_of: Milliseconds, revision: int) -> None:
        self._confirmed_at = max(self._confirmed_at, as_of)
        self._view.confirm(as_of, revision)

    def _process_answer(
        self,
        answer: Result[FeedAnswer, TableFailure]
        | Result[FeedAnswer | HistoryLost, TableFailure],
        sent_at: Milliseconds,
    ) -> bool:
        self._doubts_idle = answer.is_err()
        if answer.is_err():
            now = self._clock.get_now()
            if self._failures:
                # A single failure may be that of a kept connection, while the
                # store answers on new ones.
                self._failed_at = now
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
        if self._revision is None:
            self._revision = outcome.revision
            self._learned_at = self._clock.get_now()
            self._changed_at = self._learned_at
            # Removals before the read are not known.
            self._changed_revision = outcome.revision
            self._update_era(get_era(outcome.revision))
        self._confirm(sent_at, outcome.revision)
        return True


def _discard_news(news: TableNews) -> None:
    """Do nothing; default callback of a watch without followers."""
