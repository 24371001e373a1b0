"""Tests of daemons that have just started."""

import itertools

import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.platform_standin import EndpointStandin

_STREAMS = 12


class TestStreamsOfNewDaemon:
    """Guards against streams that no other daemon knows."""

    def test_are_taken_up(self) -> None:
        """Streams that begin right after the start go on at other daemons.

        A daemon told no keeper of its streams until it had heard from the
        others. After its end, their callers were refused (3012).
        """
        statuses: list[int] = []

        async def scenario(env: EntryEnvironment) -> None:
            await start_two_daemons(env)
            await env.start_daemon('host-3')
            await begin_streams(env)
            await add_version(env)
            env.stop_daemon(2)
            statuses.extend(await resume_streams(env))

        ScenarioRunner().run(scenario)
        assert statuses == list(itertools.repeat(200, _STREAMS))


async def start_two_daemons(env: EntryEnvironment) -> None:
    """Start two daemons and wait until they know each other."""
    env.store.put('op', 'config', CONFIGURATION)
    await env.start_daemon('host-1')
    await env.start_daemon('host-2')
    await env.wait_until_served()
    await trio.sleep(1)


async def add_version(env: EntryEnvironment) -> None:
    """Start an engine of a second software version."""
    await env.add_endpoint(EndpointStandin('writer-2', 'decode'))
    env.register(env.endpoints['writer-2'], version='v2')
    await env.wait_until_seen()


async def resume_streams(env: EntryEnvironment) -> list[int]:
    """Take all streams up at the other daemons; return the statuses."""
    statuses = []
    for number in range(_STREAMS):
        answer = await env.send_request(
            '/resumable/1',
            f'again-{number}',
            daemon=number % 2,
            resumes=f'first-{number}',
            last_event_id='1',
        )
        statuses.append(answer.status)
    return statuses


async def begin_streams(env: EntryEnvironment) -> None:
    """Begin streams at the newest daemon as soon as it answers."""
    status = 0
    while status != 200:
        answer = await env.send_request('/resumable/1', 'probe', daemon=2)
        status = answer.status
    async with trio.open_nursery() as nursery:
        for number in range(_STREAMS):
            nursery.start_soon(begin_stream, env, f'first-{number}')


async def begin_stream(env: EntryEnvironment, request_id: str) -> None:
    """Begin a stream at the newest daemon."""
    answer = await env.send_request('/resumable/1', request_id, daemon=2)
    assert answer.status == 200
