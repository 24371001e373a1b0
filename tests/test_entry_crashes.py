"""Tests of requests that end the endpoints that run them."""

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

from clementinedyke.http.client import HttpResponse

_NAMES = ['one', 'two', 'three', 'four']
#: Ends after which a request counts as one that ends its endpoints, and sends
#: that are allowed after that.
_ENDS = 3
_MORE_SENDS = 3
_ROUNDS = 8
_ROUND_SECONDS = 0.35


async def send_fatal(
    env: EntryEnvironment, path: str, number: int, daemon: int
) -> HttpResponse:
    """Send the fatal request under a new id."""
    return await env.send_request(
        path, f'fatal-{number}', body=FATAL_BODY, daemon=daemon
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
