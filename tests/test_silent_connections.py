"""Tests of connections that go silent without a reset."""

from random import Random

import pytest
import trio
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.entry_samples import BOUNDS, TrioClock, create_journal
from tests.link import Link

from clementinedyke.clock import ManualClock
from clementinedyke.entry.watch import FeedPace, StoredRow, TableWatch
from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.platform.store import StoreClient

#: Time after a silence began in which the daemon has to know of it: the bounds
#: of configuration and drains hold again from then on.
_TOLERANCE_SECONDS = 3
_TABLES = ('op', 'servers')
#: A call on a new connection takes some milliseconds.
_PROMPT_SECONDS = 0.5


class RecordingView:
    """View that records the keys of changed rows."""

    def __init__(self) -> None:
        """Create a view without rows."""
        self.keys: list[str] = []
        self.confirmations = 0

    def replace_rows(self, rows: tuple[StoredRow, ...], now: int) -> None:
        """Record the keys of a full read."""
        self.keys += [row.key for row in rows]

    def apply_rows(self, rows: tuple[StoredRow, ...], now: int) -> None:
        """Record the keys of changed rows."""
        self.keys += [row.key for row in rows]

    def confirm(self, as_of: int, revision: int) -> None:
        """Count a confirmation."""
        self.confirmations += 1

    def record_failure(self, now: int) -> None:
        """Do nothing."""


async def start_watch(
    env: EntryEnvironment, link: Link, table: str, daemons: int
) -> RecordingView:
    """Start the watch of one of several daemons; its waits are long."""
    view = RecordingView()
    generator = Random(1)
    generator.randint = lambda low, high: high
    store = StoreClient(HttpClient(Address('127.0.0.1', link.port)))
    watch = TableWatch(
        table,
        store,
        view,
        FeedPace(lambda: daemons, BOUNDS),
        TrioClock(),
        create_journal(ManualClock()),
        generator,
    )
    await watch.start(env.nursery)
    return view


class TestSilentStore:
    """Guards against feeds that wait on a dead connection for seconds."""

    @pytest.mark.parametrize('daemons', [7, 64, 330])
    @pytest.mark.parametrize('table', _TABLES)
    def test_change_is_seen(self, table: str, daemons: int) -> None:
        """A change during a silence is known when its bound holds again.

        Requests were handled by an old configuration, and reached leaving
        endpoints, until the call of the feed timed out.
        """
        seen: list[float] = []

        async def scenario(env: EntryEnvironment) -> None:
            link = Link(Address('127.0.0.1', env.store_port))
            await link.start(env.nursery)
            view = await start_watch(env, link, table, daemons)
            await env.wait_for(lambda: env.store.count_followers(table))
            link.hang_open()
            silent_since = trio.current_time()
            env.store.put(table, 'changed', {})
            with trio.move_on_after(15):
                await env.wait_for(lambda: 'changed' in view.keys)
            seen.append(trio.current_time() - silent_since)

        ScenarioRunner().run(scenario)
        assert seen[0] <= _TOLERANCE_SECONDS

    def test_second_silence(self) -> None:
        """Idle connections that went silent are not used again."""
        seen: list[float] = []

        async def scenario(env: EntryEnvironment) -> None:
            link = Link(Address('127.0.0.1', env.store_port))
            await link.start(env.nursery)
            client = HttpClient(Address('127.0.0.1', link.port))
            request = HttpRequest('GET', '/v1/rows-get?table=op&part=')
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(client.request, request, 1000)
            link.hang_open()
            await trio.sleep(_TOLERANCE_SECONDS)
            asked_at = trio.current_time()
            answer = await client.request(request, 1500)
            assert answer.status == 200
            seen.append(trio.current_time() - asked_at)

        ScenarioRunner().run(scenario)
        assert seen[0] < _PROMPT_SECONDS


class TestSilentEndpoint:
    """Guards against requests that wait on a dead connection."""

    def test_request_fails(self) -> None:
        """A request on a silent connection fails before its timeout."""
        waited: list[float] = []

        async def scenario(env: EntryEnvironment) -> None:
            link = Link(Address('127.0.0.1', env.endpoints['ledger-1'].port))
            await link.start(env.nursery)
            client = HttpClient(Address('127.0.0.1', link.port))
            request = HttpRequest(
                'POST', '/', [(b'x-request-id', b'r'), (b'x-expect', b'')]
            )
            await client.request(request, 1000)
            link.hang_open()
            asked_at = trio.current_time()
            with pytest.raises(AnswerLostError):
                await client.request(request, 10000)
            waited.append(trio.current_time() - asked_at)

        ScenarioRunner().run(scenario)
        assert waited[0] <= _TOLERANCE_SECONDS

    def test_silent_endpoint_is_waited_for(self) -> None:
        """An endpoint that stops for a second or so still answers."""

        async def scenario(env: EntryEnvironment) -> None:
            link = Link(Address('127.0.0.1', env.endpoints['ledger-1'].port))
            await link.start(env.nursery)
            client = HttpClient(Address('127.0.0.1', link.port))
            request = HttpRequest('POST', '/', [(b'x-request-id', b'r')])
            await client.request(request, 1000)
            link.hang_open()
            env.nursery.start_soon(heal_later, link, 1.2)
            answer = await client.request(request, 5000)
            assert answer.status == 421

        ScenarioRunner().run(scenario)


async def heal_later(link: Link, seconds: float) -> None:
    """Heal a link after some time."""
    await trio.sleep(seconds)
    link.heal()
