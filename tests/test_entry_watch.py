"""Tests of how a daemon follows the store without wearing it out."""

from dataclasses import replace
from random import Random

import trio
from result import Err, Ok, Result
from tests.entry_samples import BOUNDS, create_journal
from trio.testing import MockClock

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import ManualClock
from clementinedyke.entry.watch import (
    FeedAnswer,
    FeedPace,
    StoredRow,
    TableWatch,
)


class Feed:
    """A store that notes when it is asked, and how long it may wait."""

    def __init__(self, *, is_down: bool) -> None:
        """Create a store that answers at once, or never."""
        self.is_down = is_down
        self.asked_at: list[float] = []
        self.waits: list[int] = []

    async def read_table(
        self, table: str, prefix: str = ''
    ) -> Result[FeedAnswer, TableFailure]:
        """Give an empty table."""
        self.asked_at.append(trio.current_time())
        if self.is_down:
            return Err(TableFailure.NOT_DONE)
        return Ok(FeedAnswer(1, ()))

    async def follow_table(
        self, table: str, revision: int, wait: int
    ) -> Result[FeedAnswer, TableFailure]:
        """Give no changes after the wait."""
        self.waits.append(wait)
        await trio.sleep(wait / 1000)
        return Ok(FeedAnswer(revision, ()))


class LateFeed(Feed):
    """A store whose answer with a change arrives after the wait."""

    async def follow_table(
        self, table: str, revision: int, wait: int
    ) -> Result[FeedAnswer, TableFailure]:
        """Give a change that was made at any time since the call."""
        await trio.sleep((wait + 500) / 1000)
        return Ok(FeedAnswer(revision + 1, (StoredRow('key', 2, b''),)))


class Reader:
    """Takes rows and forgets them."""

    def __init__(self) -> None:
        """Begin without any confirmation."""
        self.confirmed: list[int] = []

    def confirm(self, as_of: int, revision: int) -> None:
        """Note an instant at which the rows were complete."""
        self.confirmed.append(as_of)

    def __getattr__(self, name: str) -> object:
        """Return a method that does nothing."""
        return lambda *_: None


class TrioClock:
    """The time of the trio run, in milliseconds."""

    def get_now(self) -> int:
        """Return the current instant."""
        return int(trio.current_time() * 1000)


def follow(feed: Feed, seed: int, seconds: float) -> Reader:
    """Run a watch of 64 daemons for a time; return what took its rows."""
    reader = Reader()

    async def main() -> None:
        clock = TrioClock()
        watch = TableWatch(
            'op',
            feed,
            reader,
            FeedPace(lambda: 64, BOUNDS),
            clock,
            create_journal(ManualClock()),
            Random(seed),
        )
        async with trio.open_nursery() as nursery:
            await watch.start(nursery)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return reader


class TestFeedPace:
    """Guards against calls that are too rare for what was promised."""

    def test_strict_keys(self) -> None:
        """A key must not become too old while its feed waits.

        With 64 daemons a call waits for 9.6 s; where keys count for 5 s only,
        every request was refused in between.
        """
        strict = replace(BOUNDS, max_key_age=5000)
        assert FeedPace(lambda: 64, strict).get_wait() < 5000

    def test_pause(self) -> None:
        """A leaving endpoint is known well before its drain delay ends."""
        for daemons in (1, 12, 64, 330):
            pause = FeedPace(lambda known=daemons: known, BOUNDS).get_pause()
            assert pause <= BOUNDS.drain_delay / 2


class TestTableWatch:
    """Guards against daemons that act in step."""

    def test_waits_differ(self) -> None:
        """Daemons that heard of one change together must not go on so.

        With equal waits no daemon had news for up to 10 s, and unknown keys
        were answered 503 instead of 401 in most of that time.
        """
        first, second = Feed(is_down=False), Feed(is_down=False)
        follow(first, 1, 60)
        follow(second, 2, 60)
        gaps = [
            abs(sum(first.waits[:count]) - sum(second.waits[:count]))
            for count in range(1, 5)
        ]
        assert min(gaps) > 100

    def test_confirmation(self) -> None:
        """A call that found no change confirms the end of its wait.

        Taken as of its start, every confirmation was up to 10 s old at once;
        2538 requests with unknown keys and routes were answered 503.
        """
        feed = Feed(is_down=False)
        reader = follow(feed, 1, 20)
        ends = [sum(feed.waits[:count]) for count in range(1, 3)]
        assert [
            instant - reader.confirmed[0] for instant in reader.confirmed[1:3]
        ] == ends

    def test_late_change(self) -> None:
        """A change that arrives late confirms the start of its call only.

        A host that stood still gets the answer after the wait; the store
        stopped looking when the change was made.
        """
        reader = follow(LateFeed(is_down=False), 1, 20)
        assert reader.confirmed[1] == reader.confirmed[0]

    def test_store_away(self) -> None:
        """A store that refuses is asked less and less often, up to 1 s."""
        feed = Feed(is_down=True)
        follow(feed, 1, 20)
        gaps = [
            later - earlier
            for earlier, later in zip(
                feed.asked_at, feed.asked_at[1:], strict=False
            )
        ]
        assert gaps[0] * 1000 <= 250
        assert max(gaps) <= 1
        assert len(gaps) < 50
