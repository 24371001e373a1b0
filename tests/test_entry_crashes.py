"""Tests of requests that end the endpoints that run them."""

from pathlib import Path

import pytest
import trio
from tests.crashing_endpoint import (
    FATAL_BODY,
    CrashingEndpoint,
    start_endpoints,
)
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.platform_standin import lose_answer, never_answer, serve
from tests.store_gate import StoreGate

from clementinedyke.http.client import HttpResponse

_NAMES = ['one', 'two', 'three', 'four']
#: Ends after which a request counts as one that ends its endpoints, and sends
#: that are allowed after that.
_ENDS = 3
_MORE_SENDS = 3
_ROUNDS = 8
_OTHER_PATHS = tuple(f'/read/other-{number}' for number in range(6))
_ROUND_SECONDS = 0.35


async def send_fatal(
    env: EntryEnvironment,
    path: str,
    number: int,
    daemon: int,
    **headers: str,
) -> HttpResponse:
    """Send the fatal request under a new id."""
    return await env.send_request(
        path, f'fatal-{number}', body=FATAL_BODY, daemon=daemon, **headers
    )


async def repeat_fatal(
    env: EntryEnvironment, path: str, endpoints: list[CrashingEndpoint]
) -> list[HttpResponse]:
    """Send the fatal request through the daemons in turn.

    Endpoints that have ended are back before it is sent again.
    """
    answers = []
    for number in range(_ROUNDS):
        daemon = number % len(env.daemons)
        answers.append(await send_fatal(env, path, number, daemon))
        await trio.sleep(_ROUND_SECONDS)
    return answers


async def repeat_through(env: EntryEnvironment, daemon: int) -> None:
    """Send the fatal request through one daemon several times."""
    for number in range(_ROUNDS):
        await send_fatal(env, '/read/1', number, daemon)
        await trio.sleep(_ROUND_SECONDS)


async def send_beside_fatal(env: EntryEnvironment, number: int) -> None:
    """Send the fatal request together with harmless ones."""
    daemon = number % len(env.daemons)
    async with trio.open_nursery() as nursery:
        for path in _OTHER_PATHS:
            nursery.start_soon(
                env.send_request, path, f'beside-{path}-{number}'
            )
        nursery.start_soon(send_fatal, env, '/read/1', number, daemon)


def count_arrivals(endpoints: list[CrashingEndpoint]) -> int:
    """Return how often the fatal request reached an endpoint."""
    return sum(len(endpoint.arrivals) for endpoint in endpoints)


class TestRepeatedCrashes:
    """Guards against endpoints that end again and again for one request.

    All endpoints of a service ended every five seconds, because neither the
    daemon that sent the request nor the others knew it again.
    """

    @pytest.mark.parametrize(
        ('path', 'stage'),
        [
            ('/read/1', None),
            ('/book/1', None),
            ('/ask/1', 'decode'),
            ('/resumable/1', 'decode'),
        ],
    )
    def test_request_is_refused_after_three_ends(
        self, path: str, stage: str | None
    ) -> None:
        """No daemon may go on sending a request after three ends."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            endpoints = await start_endpoints(env, _NAMES, stage)
            for host in ('host-1', 'host-2', 'host-3'):
                await env.start_daemon(host)
            await env.wait_until_served()
            answers = await repeat_fatal(env, path, endpoints)
            assert count_arrivals(endpoints) <= _ENDS + _MORE_SENDS
            assert answers[-1].status == 503

        ScenarioRunner().run(scenario)

    def test_silent_ends(self) -> None:
        """Ends without a reset count for requests that are sent once.

        The endpoint doesn't answer until the deadline, and is registered again
        with a later start.
        """

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            await env.start_daemon()
            await env.wait_until_served()
            env.store.remove('servers', 'ledger-2')
            await trio.sleep(0.3)
            endpoint = env.endpoints['ledger-1']
            endpoint.override = never_answer
            for number in range(_ENDS):
                await send_fatal(env, '/book/1', number, 0, x_deadline_ms='200')
                env.register(endpoint, born=100 + number)
                await trio.sleep(0.3)
            answer = await send_fatal(env, '/book/1', 99, 0)
            assert answer.status == 503
            assert len(endpoint.received) == _ENDS

        ScenarioRunner().run(scenario)

    def test_daemon_that_starts_later_refuses(self) -> None:
        """A daemon must know the request that ended endpoints before its start.

        All daemons may have been killed in between, so that no other daemon
        can tell it.
        """

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            endpoints = await start_endpoints(env, _NAMES)
            await env.start_daemon()
            await env.wait_until_served()
            await repeat_fatal(env, '/read/1', endpoints)
            await env.stop_daemons()
            before = count_arrivals(endpoints)
            await env.start_daemon('host-2')
            await env.wait_until_served()
            answer = await send_fatal(env, '/read/1', 99, 0)
            assert answer.status == 503
            assert count_arrivals(endpoints) == before

        ScenarioRunner().run(scenario)

    def test_evidence_reaches_daemon_without_store(self) -> None:
        """A daemon that the store refuses learns of ends from the others."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            endpoints = await start_endpoints(env, _NAMES)
            gate = StoreGate(env.store)
            port = await serve(env.nursery, gate.respond)
            await env.start_daemon('host-1')
            await env.start_daemon('host-2', store_port=port)
            await env.wait_until_served()
            gate.is_closed = True
            await repeat_through(env, daemon=0)
            before = count_arrivals(endpoints)
            answer = await send_fatal(env, '/read/1', 99, 1)
            assert answer.status == 503
            assert count_arrivals(endpoints) == before

        ScenarioRunner().run(scenario)


class TestHarmlessRequests:
    """Guards against refusing requests for failures they did not cause."""

    def test_requests_beside_fatal_one_are_served(self) -> None:
        """Requests in flight at the ends must be served when sent again."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            endpoints = await start_endpoints(env, _NAMES)
            for host in ('host-1', 'host-2'):
                await env.start_daemon(host)
            await env.wait_until_served()
            for number in range(_ROUNDS):
                await send_beside_fatal(env, number)
                await trio.sleep(_ROUND_SECONDS)
            assert sum(endpoint.ends for endpoint in endpoints) >= _ENDS
            for path in _OTHER_PATHS:
                for daemon, _ in enumerate(env.daemons):
                    answer = await env.send_request(
                        path, f'x-{daemon}', daemon=daemon
                    )
                    assert answer.status == 200

        ScenarioRunner().run(scenario)

    def test_lost_answers_of_running_endpoints(self) -> None:
        """Lost answers of endpoints that go on running are no evidence."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            await env.start_daemon()
            await env.wait_until_served()
            for endpoint in env.endpoints.values():
                endpoint.override = lose_answer
            for number in range(_ROUNDS):
                answer = await env.send_request('/read/1', f'r-{number}')
                assert answer.status == 502
            for endpoint in env.endpoints.values():
                endpoint.override = None
            answer = await env.send_request('/read/1', 'r-99')
            assert answer.status == 200

        ScenarioRunner().run(scenario)


class TestCrashingEndpoint:
    """Guards against stand-ins that cannot start again at their address.

    Another process had got the port of an endpoint that was down for 0.2 s.
    """

    def test_port_is_not_given_to_others(self) -> None:
        """The port is not one that the kernel assigns by itself."""
        limits = Path('/proc/sys/net/ipv4/ip_local_port_range').read_text()
        ports: list[int] = []

        async def scenario(env: EntryEnvironment) -> None:
            started = await start_endpoints(env, ['one', 'two'])
            ports.extend(env.endpoints[item.name].port for item in started)

        ScenarioRunner().run(scenario)
        assert max(ports) < int(limits.split()[0])
