"""Tests of daemons that are cut off from all endpoints, but not from others."""

from collections import Counter
from collections.abc import Sequence

import pytest
import trio
from tests.caller_tools import RawEndpoint
from tests.entry_environment import (
    CONFIGURATION,
    EndpointLinks,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.limiting_endpoint import ALLOWED, LimitingEndpoint
from tests.platform_standin import (
    EndpointStandin,
    delay_stream,
    never_answer,
)
from tests.test_entry_answers import compile_answer

from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import HttpResponse

_MODES = ('hang', 'reset', 'refuse')
_ROUTES = ('read', 'book', 'ask', 'resumable')
#: Time after the cut from which on its callers have to be served.
_CONTACT_SECONDS = 3
_REQUESTS = 9
_CUTS = 4
#: Share of the requests that callers at hosts without links must get served,
#: in relation to the others.
_MIN_SHARE = 2 / 3
_STOP_SECONDS = 0.5
#: Bodies of a stream whose relay is killed after the second event, by route.
_WHOLE_BODIES = {
    'ask': [],
    'resumable': [b'id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n'],
}
_LIMIT_SECONDS = 40
_LIMIT_ROUNDS = 100
_LIMIT_GAP_SECONDS = 0.08
#: Time after which all usage has been reported.
_REPORT_SECONDS = 5


class Zones:
    """Daemons in two zones, each with links of its own to the endpoints."""

    def __init__(self, env: EntryEnvironment) -> None:
        """Create an instance without daemons."""
        self.env = env
        self.links: list[EndpointLinks] = []
        self._number = 0
        #: Requests that were answered with success so far.
        self.served = 0

    async def start(self, daemons: Sequence[str]) -> None:
        """Start a daemon in each of the given zones and wait for them."""
        env = self.env
        for endpoint in (
            EndpointStandin('writer-2', 'decode'),
            EndpointStandin('reader-2', 'prefill'),
            EndpointStandin('ledger-3'),
        ):
            await env.add_endpoint(endpoint)
        env.store.put('op', 'config', CONFIGURATION)
        for number, zone in enumerate(daemons):
            links = await env.open_links()
            self.links.append(links)
            await env.start_daemon(f'host-{number}', zone=zone, links=links)
        for daemon, _ in enumerate(daemons):
            await self.count_served(daemon)
        await trio.sleep(1)
        for used in env.endpoints.values():
            used.received.clear()
            used.runs.clear()

    def delay_answers(self) -> None:
        """Let all endpoints take a while for each request."""
        for endpoint in self.env.endpoints.values():
            endpoint.override = delay_stream

    async def book_often(self, statuses: Counter, cut_mode: str) -> None:
        """Book 60 times in 3 s; cut host 0 after 1 s, kill host 1 at 2.2 s."""
        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(self.send, 0, 'book', statuses)
                await trio.sleep(0.05)
                if number == 20:
                    self.links[0].cut(cut_mode)
                if number == 45:
                    self.env.stop_daemon(1)

    async def send_steadily(
        self, daemons: Sequence[int], route: str
    ) -> Counter:
        """Send requests to daemons for 8 s and return answers by status."""
        statuses: Counter = Counter()
        async with trio.open_nursery() as nursery:
            for _ in range(_LIMIT_ROUNDS):
                for daemon in daemons:
                    nursery.start_soon(self.send, daemon, route, statuses)
                await trio.sleep(_LIMIT_GAP_SECONDS)
        return statuses

    async def cut_briefly(self, mode: str) -> None:
        """Cut host 0 off while it runs two kinds of repeatable request."""
        async with trio.open_nursery() as nursery:
            for route in ('read', 'read', 'read', 'resumable', 'resumable'):
                nursery.start_soon(self.send, 0, route, Counter())
            await trio.sleep(0.05)
            self.links[0].cut(mode)
        await trio.sleep(1)
        self.links[0].heal()
        await trio.sleep(1.5)

    async def count_served(self, daemon: int, requests: int = 1) -> Counter:
        """Send requests on all routes and return the answers by status."""
        statuses: Counter = Counter()
        async with trio.open_nursery() as nursery:
            for _ in range(requests):
                for route in _ROUTES:
                    nursery.start_soon(self.send, daemon, route, statuses)
        return statuses

    async def send(self, daemon: int, route: str, statuses: Counter) -> None:
        """Send a request and count the status of its answer, 0 if it fails."""
        self._number += 1
        request_id = f'{route}-{self._number}'
        try:
            answer = await self.env.send_request(
                f'/{route}/1', request_id, daemon=daemon
            )
        except AnswerLostError:
            statuses[0] += 1
            return
        statuses[answer.status] += 1
        self.served += answer.status == 200
        if answer.status in {429, 503}:
            for endpoint in self.env.endpoints.values():
                assert request_id not in endpoint.runs


def run_zones(scenario: object, daemons: Sequence[str]) -> None:
    """Run a scenario with daemons in the given zones."""

    async def main(env: EntryEnvironment) -> None:
        zones = Zones(env)
        await zones.start(daemons)
        await scenario(zones)

    ScenarioRunner(_LIMIT_SECONDS).run(main)


class TestServedCallers:
    """Guards against callers who are refused because their host lost its links.

    Daemons that were partitioned from all endpoints served 0 of 34 requests,
    the others 125 of 125.
    """

    @pytest.mark.parametrize('mode', _MODES)
    @pytest.mark.parametrize('cut', [(0,), (0, 1), (0, 1, 2)])
    def test_share(self, mode: str, cut: tuple[int, ...]) -> None:
        """One, most or all daemons of a zone are cut off."""

        async def scenario(zones: Zones) -> None:
            zones.delay_answers()
            for daemon in cut:
                zones.links[daemon].cut(mode)
            await trio.sleep(_CONTACT_SECONDS)
            others = await zones.count_served(3, _REQUESTS)
            assert others == {200: _REQUESTS * len(_ROUTES)}
            for daemon in cut:
                served = await zones.count_served(daemon, _REQUESTS)
                assert served[200] >= _MIN_SHARE * others[200]

        run_zones(scenario, ['zone-a', 'zone-a', 'zone-a', 'zone-b'])

    @pytest.mark.parametrize('mode', _MODES)
    def test_healed(self, mode: str) -> None:
        """A healed daemon uses its own links again."""

        async def scenario(zones: Zones) -> None:
            links = zones.links[0]
            links.cut(mode)
            await trio.sleep(_CONTACT_SECONDS)
            links.heal()
            await trio.sleep(_CONTACT_SECONDS)
            before = zones.links[1].accepted
            served = await zones.count_served(0, _REQUESTS)
            assert served == {200: _REQUESTS * len(_ROUTES)}
            assert zones.links[1].accepted == before

        run_zones(scenario, ['zone-a', 'zone-a'])


class TestWholeZoneHealthy:
    """Guards against requests that other daemons forward without need."""

    def test_endpoint_down(self) -> None:
        """A daemon that reaches other endpoints uses its own links."""

        async def scenario(zones: Zones) -> None:
            env = zones.env
            env.endpoints['ledger-1'].override = never_answer
            before = zones.links[1].accepted
            await zones.count_served(0, _REQUESTS)
            assert zones.links[1].accepted == before

        run_zones(scenario, ['zone-a', 'zone-a'])


class TestAtMostOnce:
    """Guards against requests that run twice on their way over a daemon."""

    @pytest.mark.parametrize('mode', _MODES)
    def test_killed_and_cut(self, mode: str) -> None:
        """No booking runs twice while links are cut and daemons killed."""
        runs: Counter = Counter()

        async def scenario(zones: Zones) -> None:
            zones.delay_answers()
            statuses: Counter = Counter()
            await zones.book_often(statuses, mode)
            for used in zones.env.endpoints.values():
                runs.update(used.runs)
            assert statuses[200] > 20

        run_zones(scenario, ['zone-a', 'zone-a', 'zone-a'])
        assert max(runs.values()) == 1


class TestCallerLeaves:
    """Guards against work for callers who left a daemon without links."""

    @pytest.mark.parametrize('route', _ROUTES)
    def test_endpoint_stops(self, route: str) -> None:
        """The endpoint is told that the caller has left."""
        stopped: list[str] = []

        async def wait(
            endpoint: EndpointStandin, request: object, response: object
        ) -> bool:
            if request.get_header(b'x-stage') == 'prefill':
                return False
            try:
                await trio.sleep_forever()
            finally:
                stopped.append(endpoint.endpoint_id)

        async def scenario(zones: Zones) -> None:
            zones.links[0].cut('reset')
            await trio.sleep(_CONTACT_SECONDS)
            for endpoint in zones.env.endpoints.values():
                endpoint.override = wait
                endpoint.received.clear()
            with trio.move_on_after(1):
                await zones.env.send_request(f'/{route}/1', 'left', daemon=0)
            await trio.sleep(_STOP_SECONDS)
            assert stopped

        run_zones(scenario, ['zone-a', 'zone-a'])


class TestInnocentRequest:
    """Guards against requests that are blamed for the loss of links."""

    @pytest.mark.parametrize('mode', ['reset', 'refuse'])
    def test_no_conviction(self, mode: str) -> None:
        """Repeated requests are served although connections were refused.

        A refused connection counted as the end of its endpoint, and the
        requests that it ran as the cause.
        """

        async def scenario(zones: Zones) -> None:
            zones.delay_answers()
            for _ in range(_CUTS):
                await zones.cut_briefly(mode)
            await trio.sleep(_CONTACT_SECONDS)
            for daemon in range(3):
                served = await zones.count_served(daemon, 2)
                assert served == {200: 2 * len(_ROUTES)}

        run_zones(scenario, ['zone-a', 'zone-a', 'zone-a'])


class TestNamedLimit:
    """Guards against limits of endpoints that forwarded requests exceed."""

    def test_sum_of_all_daemons(self) -> None:
        """An endpoint gets what it takes, also over other daemons."""
        most: list[int] = []

        async def scenario(zones: Zones) -> None:
            limiting = LimitingEndpoint(zones.env.endpoints['ledger-1'])
            zones.links[0].cut('reset')
            named_at = trio.current_time()
            await zones.send_steadily((0, 1, 2), 'read')
            most.append(limiting.count_most(named_at + _CONTACT_SECONDS))

        run_zones(scenario, ['zone-a', 'zone-a', 'zone-a'])
        assert most[0] <= ALLOWED


class TestUsage:
    """Guards against requests that are counted twice or not at all."""

    def test_each_request_counts_once(self) -> None:
        """Requests that another daemon forwards count once."""

        async def scenario(zones: Zones) -> None:
            zones.links[0].cut('reset')
            await trio.sleep(_CONTACT_SECONDS)
            await zones.count_served(0, _REQUESTS)
            await zones.count_served(1, _REQUESTS)
            await trio.sleep(_REPORT_SECONDS)
            calls = zones.env.duties.calls
            reports = [body for path, body in calls if path == '/usage']
            reported = [body['counts'].get('loft', 0) for body in reports]
            assert sum(reported) == zones.served

        run_zones(scenario, ['zone-a', 'zone-a'])


class TestStoppedRelay:
    """Guards against answers that another daemon breaks off."""

    def test_planned_stop(self) -> None:
        """A daemon that stops as planned ends the requests that it forwards."""
        statuses: Counter = Counter()

        async def scenario(zones: Zones) -> None:
            zones.delay_answers()
            zones.links[0].cut('reset')
            await trio.sleep(_CONTACT_SECONDS)
            zones.env.nursery.start_soon(request_stop_later, zones.env, 1)
            statuses.update(await zones.send_steadily((0,), 'book'))

        run_zones(scenario, ['zone-a', 'zone-a', 'zone-a'])
        assert statuses == {200: _LIMIT_ROUNDS}

    @pytest.mark.parametrize('route', ['ask', 'resumable'])
    def test_killed(self, route: str) -> None:
        """A stream whose relay is killed goes on at another or is broken off.

        The end of the connection between the daemons must not look like the
        end of the stream.
        """
        bodies: list[bytes] = []
        paused: list[str] = []

        async def pause(
            endpoint: EndpointStandin, request: object, response: object
        ) -> bool:
            if request.get_header(b'x-stage') == 'prefill' or paused:
                return False
            paused.append(endpoint.endpoint_id)
            await endpoint.stream(request, response, 2)
            await trio.sleep_forever()
            return True

        async def scenario(zones: Zones) -> None:
            zones.links[0].cut('reset')
            await trio.sleep(_CONTACT_SECONDS)
            for endpoint in zones.env.endpoints.values():
                endpoint.override = pause
            zones.env.nursery.start_soon(stop_later, zones.env, 1)
            try:
                answer = await zones.env.send_request(
                    f'/{route}/1', 'cut-1', daemon=0
                )
            except AnswerLostError:
                return
            bodies.append(answer.body)

        run_zones(scenario, ['zone-a', 'zone-a', 'zone-b'])
        assert bodies == _WHOLE_BODIES[route]


class TestAnswersWithoutLength:
    """Guards against short answers that look complete without own links.

    The end of the connection ends such an answer, also if it is due to the end
    of the endpoint, and a daemon without links cannot look by itself.
    """

    @pytest.mark.parametrize('is_forwarded', [True, False])
    @pytest.mark.parametrize('is_leaving', [True, False])
    @pytest.mark.parametrize('is_ended', [True, False])
    def test_end(
        self, is_forwarded: bool, is_leaving: bool, is_ended: bool
    ) -> None:
        """An answer is complete only if its endpoint outlasts it."""
        endpoint = RawEndpoint(
            compile_answer(
                'connection', b'booked', headers=b'X-Request-Id: unframed\r\n'
            ),
            ends=is_ended,
            delay_seconds=0.4,
        )
        answers: list[HttpResponse] = []

        async def scenario(env: EntryEnvironment) -> None:
            port = await endpoint.start(env.nursery)
            raw, links = await open_with_links(env, port)
            if is_forwarded:
                links.cut('refuse')
            env.nursery.start_soon(disrupt, env, raw, links)
            answers.append(await env.send_request('/book/1', 'unframed'))

        async def disrupt(
            env: EntryEnvironment, raw: EndpointStandin, links: EndpointLinks
        ) -> None:
            await trio.sleep(0.1)
            if is_leaving:
                env.register(raw, state='draining')
            links.cut('refuse')

        ScenarioRunner(_LIMIT_SECONDS).run(scenario)
        expected = 502 if is_ended else 200
        assert [answer.status for answer in answers] == [expected]


async def open_with_links(
    env: EntryEnvironment, port: int, stage: str | None = None
) -> tuple[EndpointStandin, EndpointLinks]:
    """Start a daemon with links and one without, which reaches endpoints.

    A link would accept connections for an endpoint that has ended. The
    endpoint at a port is the only one of its stage.
    """
    env.store.put('op', 'config', CONFIGURATION)
    raw = EndpointStandin('raw', stage, port=port)
    env.endpoints['raw'] = raw
    links = await env.open_links()
    await env.start_daemon('host-0', links=links)
    await env.start_daemon('host-1')
    await env.wait_until_served()
    env.remove_stage(stage)
    env.register(raw)
    await env.wait_until_seen()
    return raw, links


async def request_stop_later(env: EntryEnvironment, daemon: int) -> None:
    """Stop a daemon as planned after a while."""
    await trio.sleep(_STOP_SECONDS)
    env.daemons[daemon].application.request_stop()


async def stop_later(env: EntryEnvironment, daemon: int) -> None:
    """End a daemon at once after a while."""
    await trio.sleep(_STOP_SECONDS)
    env.stop_daemon(daemon)
