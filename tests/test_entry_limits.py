"""Tests of endpoints that limit the requests of all daemons together."""

import itertools
from random import Random

import msgspec
import pytest
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.entry_samples import create_endpoint, create_journal
from tests.limiting_endpoint import ALLOWED, LimitingEndpoint
from tests.platform_standin import EndpointStandin

from clementinedyke.clock import ManualClock
from clementinedyke.entry.endpoint_limits import EndpointLimits

_HOSTS = ('host-1', 'host-2', 'host-3')
_SPREAD_SECONDS = 0.5
_SECONDS = 5
_INTERVAL = 0.04
#: Times in ms of the fleet on virtual time.
_WINDOW = 4000
_STEP = 20
_NEWS_INTERVAL = 100
_CONTACT_TIME = 3000
_FLEET_TIME = 15000
_TOLD_MARGIN = 500
#: Daemons that try to send in each step.
_SENDERS = 20


async def send_steadily(
    env: EntryEnvironment, path: str, seconds: float
) -> list[int]:
    """Send requests to the daemons in turn; return the statuses."""
    statuses: list[int] = []

    async def send(number: int) -> None:
        answer = await env.send_request(
            path, f'r-{number}', daemon=number % len(env.daemons)
        )
        statuses.append(answer.status)

    async with trio.open_nursery() as nursery:
        until = trio.current_time() + seconds
        for number in itertools.count():
            if trio.current_time() >= until:
                return statuses
            nursery.start_soon(send, number)
            await trio.sleep(_INTERVAL)
    return statuses


class TestNamedLimit:
    """Guards against endpoints in need that get more than they take.

    The header was passed on to the caller and changed nothing: an engine that
    took one request a second got 15 in 4 s.
    """

    @pytest.mark.parametrize(
        ('path', 'names'),
        [
            ('/read/1', ('ledger-1',)),
            ('/book/1', ('ledger-1',)),
            ('/ask/1', ('writer', 'reader')),
            ('/resumable/1', ('writer', 'reader')),
        ],
    )
    def test_sum_of_all_daemons(
        self, path: str, names: tuple[str, ...]
    ) -> None:
        """All daemons together stay within the limit, others take the rest."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            await env.add_endpoint(EndpointStandin('writer-2', 'decode'))
            await env.add_endpoint(EndpointStandin('reader-2', 'prefill'))
            for host in _HOSTS:
                await env.start_daemon(host)
            await env.wait_until_served()
            await env.wait_until_seen()
            limited = [LimitingEndpoint(env.endpoints[name]) for name in names]
            since = trio.current_time() + _SPREAD_SECONDS
            statuses = await send_steadily(env, path, _SECONDS)
            for endpoint in limited:
                assert endpoint.count_most(since) <= ALLOWED
            assert statuses.count(200) > 0.9 * len(statuses)

        ScenarioRunner().run(scenario)

    def test_sole_endpoint(self) -> None:
        """An endpoint without others is used, and no more than it takes."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            for host in _HOSTS:
                await env.start_daemon(host)
            await env.wait_until_served()
            env.store.remove('servers', 'ledger-2')
            await env.wait_until_seen()
            limited = LimitingEndpoint(env.endpoints['ledger-1'])
            since = trio.current_time() + _SPREAD_SECONDS
            statuses = await send_steadily(env, '/book/1', 2 * _SECONDS)
            assert 0 < limited.count_most(since) <= ALLOWED
            assert set(statuses) == {200, 429}

        ScenarioRunner().run(scenario)

    def test_limit_is_lifted(self) -> None:
        """An endpoint that names no limit any more gets its share again."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            for host in _HOSTS:
                await env.start_daemon(host)
            await env.wait_until_served()
            limited = LimitingEndpoint(env.endpoints['ledger-1'])
            await send_steadily(env, '/read/1', 1)
            limited.lift()
            await send_steadily(env, '/read/1', 4)
            since = trio.current_time()
            await send_steadily(env, '/read/1', 1)
            assert limited.count_most(since) > 0.3 / _INTERVAL

        ScenarioRunner().run(scenario)


class LimitedFleet:
    """Daemons on virtual time that send all they may to one endpoint."""

    def __init__(self, daemons: int, rate: float, seed: int) -> None:
        """Create daemons of which none knows the limit."""
        self.now = 0
        self.rate = rate
        self.generator = Random(seed)
        self.endpoint = create_endpoint('i-1')
        self.hosts = [f'host-{number}' for number in range(daemons)]
        self.tables = [self._create_table(host) for host in self.hosts]
        #: Instant at which each daemon was first told by an answer.
        self.told_at: dict[int, int] = {}
        self.arrivals: list[int] = []
        self.sends = 0

    def run(self, until: int, lost_share: float, kill_every: int = 0) -> None:
        """Send requests in steps of 20 ms; news arrive after each step."""
        while self.now < until:
            self.now += _STEP
            if kill_every and self.now % kill_every == 0:
                self._kill()
            for number in self.generator.sample(
                range(len(self.hosts)), min(len(self.hosts), _SENDERS)
            ):
                self._send(number)
            if self.now % _NEWS_INTERVAL == 0:
                self._share(lost_share)

    def count_most(self) -> int:
        """Return the most arrivals in a window from daemons that were told."""
        counts = [
            sum(begin <= moment < begin + _WINDOW for moment in self.arrivals)
            for begin in self.arrivals
        ]
        return max(counts, default=0)

    def _create_table(self, host: str) -> EndpointLimits:
        table = EndpointLimits(host, create_journal(ManualClock()))
        table.list_hosts = lambda: self.hosts
        return table

    def _kill(self) -> None:
        number = self.generator.randrange(len(self.hosts))
        self.tables[number] = self._create_table(self.hosts[number])
        self.told_at.pop(number, None)

    def _send(self, number: int) -> None:
        table = self.tables[number]
        if not table.may_send(self.endpoint, self.now):
            return
        table.record_send(self.endpoint, self.now)
        self.sends += 1
        told_at = self.told_at.setdefault(number, self.now)
        if self.now >= _CONTACT_TIME and self.now - told_at >= _TOLD_MARGIN:
            self.arrivals.append(self.now)
        table.record_answer(self.endpoint, self.rate, self.now, self.now)

    def _share(self, lost_share: float) -> None:
        for sender, table in enumerate(self.tables):
            news = table.list_news(self.now)
            for receiver, other in enumerate(self.tables):
                if receiver != sender and self.generator.random() >= lost_share:
                    other.receive_news(news, self.now)


class TestFleet:
    """Guards against shares of a limit that add up to more than the limit."""

    @pytest.mark.parametrize('rate', [0.25, 1, 3.5, 20])
    @pytest.mark.parametrize('daemons', [1, 7, 72])
    @pytest.mark.parametrize('kill_every', [0, 2000])
    def test_sum_of_shares(
        self, daemons: int, rate: float, kill_every: int
    ) -> None:
        """No window has more than is allowed, and the limit is made use of."""
        fleet = LimitedFleet(daemons, rate, seed=1)
        fleet.run(_FLEET_TIME, lost_share=0.2, kill_every=kill_every)
        allowed = 1.5 * rate * _WINDOW / 1000 + 5
        assert fleet.count_most() <= allowed
        assert fleet.sends > rate * _FLEET_TIME / 1000 / 2

    def test_lifted_limit_is_told_for_a_while(self) -> None:
        """An endpoint that once named a limit is not told of for ever.

        Each answer without a limit counted as news, so that all daemons told
        of all endpoints that had ever named one.
        """
        table = EndpointLimits('host-1', create_journal(ManualClock()))
        endpoint = create_endpoint('i-1')
        table.record_answer(endpoint, 2.5, 0, 1)
        table.record_answer(endpoint, None, 2, 3)
        assert table.list_news(4) == [(endpoint.run_id, -1, 1)]
        for now in range(1000, 60000, 1000):
            table.record_answer(endpoint, None, now - 1, now)
        assert not table.list_news(60000)
        assert table.may_send(endpoint, 60000)

    def test_news_at_the_size_in_two_years(self) -> None:
        """What a daemon tells of limits stays small with 600 of them."""
        table = EndpointLimits('host-1', create_journal(ManualClock()))
        for number in range(600):
            endpoint = create_endpoint(f'i-{number}')
            table.record_answer(endpoint, 2.5, 0, number)
        assert len(msgspec.msgpack.encode(table.list_news(600))) < 1000
        assert not table.list_news(60000)
