"""Tests of connections that go silent without a reset."""

from random import Random

import pytest
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.entry_samples import BOUNDS, TrioClock, create_journal
from tests.link import Link
from tests.platform_standin import EndpointStandin

from clementinedyke.clock import ManualClock
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.store_calls import StoreCallLog
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.watch import FeedPace, StoredRow, TableWatch
from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.platform.endpoint_document import decode_endpoint
from clementinedyke.platform.store import StoreClient

#: Time after a silence began in which the daemon has to know of it: the bounds
#: of configuration and drains hold again from then on.
_TOLERANCE_SECONDS = 3
_TABLES = ('op', 'servers')
#: Endpoint that leaves, by route.
_LEAVING = {
    'read': 'ledger-1',
    'book': 'ledger-1',
    'ask': 'writer',
    'resumable': 'writer',
}
_REQUESTS = 8
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


class TestRemovedEntry:
    """Guards against taking a silent connection for an outage of the store."""

    def test_is_not_held(self) -> None:
        """An endpoint whose entry is removed in a silence is dropped at once.

        It was kept for another 1.7 s, as if its entry had lapsed while the
        store was down for all daemons.
        """
        kept: list[str] = []

        async def scenario(env: EntryEnvironment) -> None:
            link = Link(Address('127.0.0.1', env.store_port))
            await link.start(env.nursery)
            view = await start_endpoint_watch(env, link)
            await env.wait_for(lambda: env.store.count_followers('servers'))
            link.hang_open()
            silent_since = trio.current_time()
            env.store.remove('servers', 'writer')
            await trio.sleep_until(silent_since + _TOLERANCE_SECONDS)
            now = TrioClock().get_now()
            kept.extend(
                endpoint.endpoint_id for endpoint in view.list_endpoints(now)
            )

        ScenarioRunner().run(scenario)
        assert kept
        assert 'writer' not in kept


async def start_endpoint_watch(
    env: EntryEnvironment, link: Link
) -> EndpointView:
    """Start the watch of the endpoints of a daemon without other calls."""
    clock = TrioClock()
    journal = create_journal(ManualClock())
    contact = StoreContact()
    view = EndpointView(
        decode_endpoint, BOUNDS.drain_delay, lambda: 20, contact, journal
    )
    store = StoreClient(HttpClient(Address('127.0.0.1', link.port)))
    store.record_call = StoreCallLog(contact, clock, journal).record_call
    watch = TableWatch(
        'servers',
        store,
        view,
        FeedPace(lambda: 7, BOUNDS),
        clock,
        journal,
        Random(1),
    )
    await watch.start(env.nursery)
    return view


class TestLeavingEndpoint:
    """Guards against requests to endpoints that left during a silence."""

    @pytest.mark.parametrize('is_removed', [False, True])
    @pytest.mark.parametrize('route', ['read', 'book', 'ask', 'resumable'])
    def test_no_request_reaches_it(
        self, route: str, *, is_removed: bool
    ) -> None:
        """No request reaches an endpoint that left while feeds were silent.

        Callers hold the daemon to its bounds from 3 s after the silence began.
        """
        reached: list[str] = []

        async def scenario(env: EntryEnvironment) -> None:
            link = await open_silent_daemon(env)
            leaving = env.endpoints[_LEAVING[route]]
            link.hang_open()
            silent_since = trio.current_time()
            if is_removed:
                env.store.remove('servers', leaving.endpoint_id)
            else:
                env.register(leaving, state='draining')
            await trio.sleep_until(silent_since + _TOLERANCE_SECONDS)
            leaving.received.clear()
            for number in range(_REQUESTS):
                answer = await env.send_request(f'/{route}/1', f'late-{number}')
                assert answer.status == 200
            reached.extend(request.path for request in leaving.received)

        ScenarioRunner().run(scenario)
        assert not reached


async def open_silent_daemon(env: EntryEnvironment) -> Link:
    """Start a daemon that reaches the store over a link; return the link."""
    await env.add_endpoint(EndpointStandin('writer-2', 'decode'))
    link = Link(Address('127.0.0.1', env.store_port))
    await link.start(env.nursery)
    env.store.put('op', 'config', CONFIGURATION)
    await env.start_daemon(store_port=link.port)
    await env.wait_until_served()
    return link


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
