"""Tests of the timing of store calls and confirmations of a table watch."""

from dataclasses import replace
from random import Random

import pytest
import trio
from result import Err, Ok, Result
from tests.entry_samples import BOUNDS, TrioClock, create_journal
from trio.testing import MockClock

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import ManualClock
from clementinedyke.entry.continuity import Continuity
from clementinedyke.entry.host_settings import ServiceBounds
from clementinedyke.entry.watch import (
    FeedAnswer,
    FeedPace,
    StoredRow,
    TableWatch,
)


class StubFeed:
    """Store stub that records the times and the waits of its calls."""

    def __init__(self, *, is_down: bool) -> None:
        """Create a store that answers or, if it is down, refuses all calls."""
        self.is_down = is_down
        self.asked_at: list[float] = []
        self.waits: list[int] = []

    async def read_table(
        self, table: str, prefix: str = ''
    ) -> Result[FeedAnswer, TableFailure]:
        """Return an empty table, or an error if the store is down."""
        self.asked_at.append(trio.current_time())
        if self.is_down:
            return Err(TableFailure.NOT_DONE)
        return Ok(FeedAnswer(1, ()))

    async def follow_table(
        self,
        table: str,
        revision: int,
        wait: int,
        *,
        doubts_idle: bool = False,
    ) -> Result[FeedAnswer, TableFailure]:
        """Return no changes after the wait."""
        self.waits.append(wait)
        await trio.sleep(wait / 1000)
        return Ok(FeedAnswer(revision, ()))


class LateStubFeed(StubFeed):
    """Store stub that returns a change 500 ms after the wait."""

    async def follow_table(
        self,
        table: str,
        revision: int,
        wait: int,
        *,
        doubts_idle: bool = False,
    ) -> Result[FeedAnswer, TableFailure]:
        """Return a change made at an unknown time since the call."""
        await trio.sleep((wait + 500) / 1000)
        return Ok(FeedAnswer(revision + 1, (StoredRow('key', 2, b''),)))


class SilentStubFeed(StubFeed):
    """Store stub whose feed calls get no answer."""

    async def follow_table(
        self,
        table: str,
        revision: int,
        wait: int,
        *,
        doubts_idle: bool = False,
    ) -> Result[FeedAnswer, TableFailure]:
        """Wait for ever."""
        self.waits.append(wait)
        await trio.sleep_forever()
        return Err(TableFailure.UNKNOWN)


class StubView:
    """View stub that records confirmations and ignores the rows."""

    def __init__(self) -> None:
        """Create a view without confirmations."""
        self.confirmed: list[int] = []
        self.failed: list[int] = []

    def record_failure(self, now: int) -> None:
        """Record a time at which the store did not answer."""
        self.failed.append(now)

    def confirm(self, as_of: int, revision: int) -> None:
        """Record a time at which the rows were complete."""
        self.confirmed.append(as_of)

    def __getattr__(self, name: str) -> object:
        """Return a method that does nothing."""
        return lambda *_: None


def run_watch(
    feed: StubFeed, seed: int, seconds: float, bounds: ServiceBounds = BOUNDS
) -> StubView:
    """Run the watch of one of 64 daemons and return its view.

    :param feed: store that the watch calls.
    :param seed: seed of the jitter.
    :param seconds: simulated time for which the watch runs.
    :param bounds: guaranteed delays.
    """
    view = StubView()

    async def main() -> None:
        clock = TrioClock()
        watch = TableWatch(
            'op',
            feed,
            view,
            FeedPace(lambda: 64, bounds),
            clock,
            create_journal(ManualClock()),
            Random(seed),
        )
        async with trio.open_nursery() as nursery:
            await watch.start(nursery)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return view


class TestFeedPace:
    """Guards against calls that are too rare to keep guaranteed delays."""

    def test_max_key_age(self) -> None:
        """A call must not wait longer than the maximum age of keys.

        With 64 daemons a call waits up to 9.6 s. With a maximum key age of 5 s,
        all requests were refused until the call returned.
        """
        strict = replace(BOUNDS, max_key_age=5000)
        assert FeedPace(lambda: 64, strict).get_wait() < 5000

    def test_pause(self) -> None:
        """The pause must be at most half of the drain delay.

        Otherwise a daemon may learn too late that an endpoint is leaving.
        """
        for daemons in (1, 12, 64, 330):
            pause = FeedPace(lambda known=daemons: known, BOUNDS).get_pause()
            assert pause <= BOUNDS.drain_delay / 2


class TestTableWatch:
    """Guards against synchronized daemons and wrong confirmation times."""

    def test_calls_without_answer_are_failures(self) -> None:
        """The view learns that the store is silent.

        Calls that were given up did not count as failed, so that readers of a
        silent store went on and entries that lapsed were taken for removed.
        """
        feed = SilentStubFeed(is_down=False)
        view = run_watch(feed, 1, 10)
        assert len(feed.waits) > 2
        assert view.failed

    def test_waits_differ(self) -> None:
        """Calls of different daemons must not end at the same times.

        A change ends the calls of all daemons together. With equal waits after
        it, no daemon got a confirmation for up to 10 s, and unknown keys were
        answered 503 instead of 401 for most of that time.
        """
        first, second = StubFeed(is_down=False), StubFeed(is_down=False)
        run_watch(first, 1, 60)
        run_watch(second, 2, 60)
        gaps = [
            abs(sum(first.waits[:count]) - sum(second.waits[:count]))
            for count in range(1, 5)
        ]
        assert min(gaps) > 100

    def test_confirmation(self) -> None:
        """A call without changes must confirm the end of its wait.

        When it confirmed its start, confirmations were up to 10 s old on
        arrival, and 2538 requests with unknown keys or routes were answered
        503.
        """
        feed = StubFeed(is_down=False)
        view = run_watch(feed, 1, 20)
        ends = [sum(feed.waits[:count]) for count in range(1, 3)]
        assert [
            instant - view.confirmed[0] for instant in view.confirmed[1:3]
        ] == ends

    @pytest.mark.parametrize('delay', [2000, 5000, 13000])
    def test_nothing_is_missed_between_calls(self, delay: int) -> None:
        """A daemon that reads for itself knows of all that came and went.

        With long guaranteed delays its calls waited longer than an entry
        stays after its endpoint ended, so that streams were refused.
        """
        bounds = replace(BOUNDS, configuration_delay=delay, drain_delay=delay)
        view = run_watch(StubFeed(is_down=False), 1, 60, bounds)
        continuity = Continuity()
        for instant in view.confirmed:
            continuity.record_confirmation(instant)
        assert continuity.covers(view.confirmed[0], view.confirmed[-1])

    def test_late_change(self) -> None:
        """A change that arrives after the wait must confirm the call's start.

        A host that was suspended receives the answer after the wait, although
        the store stopped checking for changes when the change was made.
        """
        view = run_watch(LateStubFeed(is_down=False), 1, 20)
        assert view.confirmed[1] == view.confirmed[0]

    def test_store_unavailable(self) -> None:
        """Retries must slow down to 1 s while the store is unavailable."""
        feed = StubFeed(is_down=True)
        run_watch(feed, 1, 20)
        gaps = [
            later - earlier
            for earlier, later in zip(
                feed.asked_at, feed.asked_at[1:], strict=False
            )
        ]
        assert gaps[0] * 1000 <= 250
        assert max(gaps) <= 1
        assert len(gaps) < 50
