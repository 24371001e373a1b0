"""Tests of streams at endpoints of several software versions."""

import pytest
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.platform_standin import EndpointStandin, delay_stream, serve

from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import HttpResponse
from clementinedyke.http.message import ResponseWriter, ServerRequest

_EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3))
_STREAMS = 6
_HOSTS = ('host-1', 'host-2', 'host-3')
#: Several intervals at which daemons tell each other of themselves.
_PEER_SECONDS = 1.2


async def break_stream(
    endpoint: EndpointStandin, request: ServerRequest, response: ResponseWriter
) -> bool:
    """Send two events, then close the connection."""
    endpoint.runs.append(request.get_header(b'x-request-id'))
    await endpoint.stream(request, response, 2)
    raise trio.BrokenResourceError('the engine crashed')


async def start_engines(
    env: EntryEnvironment, versions: dict[str, str]
) -> None:
    """Register decode engines with these ids and versions, and no others."""
    env.store.remove('servers', 'writer')
    for name, version in versions.items():
        if name not in env.endpoints:
            endpoint = EndpointStandin(name, 'decode')
            endpoint.port = await serve(env.nursery, endpoint.respond)
            env.endpoints[name] = endpoint
        env.register(env.endpoints[name], version=version)
    await env.wait_until_seen()


async def start_daemons(env: EntryEnvironment, count: int) -> None:
    """Start daemons that serve and have heard of one another."""
    env.store.put('op', 'config', CONFIGURATION)
    for host in _HOSTS[:count]:
        await env.start_daemon(host)
    await env.wait_until_served()
    await trio.sleep(_PEER_SECONDS)


async def begin_streams(env: EntryEnvironment, daemon: int = 0) -> None:
    """Let callers get the first events of streams through one daemon."""
    answers = await send_streams(env, 'begun', daemon)
    assert all(answer and answer.body == _EVENTS for answer in answers)


async def send_streams(
    env: EntryEnvironment, name: str, daemon: int = 0, **headers: str
) -> list[HttpResponse | None]:
    """Send requests at the same time; None stands for a lost answer.

    Braces in a header are replaced by the number of the request.
    """
    answers: list[HttpResponse | None] = []

    async def send(number: int) -> None:
        given = {key: text.format(number) for key, text in headers.items()}
        request_id = f'{name}-{number}'
        try:
            answer = await env.send_request(
                '/resumable/1', request_id, daemon=daemon, **given
            )
        except AnswerLostError:
            answers.append(None)
            return
        answers.append(answer)

    for endpoint in env.endpoints.values():
        endpoint.override = endpoint.override or delay_stream
    async with trio.open_nursery() as nursery:
        for number in range(_STREAMS):
            nursery.start_soon(send, number)
    return answers


async def resume_streams(
    env: EntryEnvironment, daemon: int = 0
) -> list[HttpResponse | None]:
    """Take all streams up again after their second event."""
    return await send_streams(
        env, 'resumed', daemon, resumes='begun-{}', last_event_id='2'
    )


def list_resumed(env: EntryEnvironment, name: str) -> list[str]:
    """Return the ids of the requests with which an engine resumed a stream."""
    return [
        request.get_header(b'x-request-id')
        for request in env.endpoints[name].received
        if request.get_header(b'last-event-id') is not None
    ]


class TestOneAnswer:
    """Guards against an answer with events of two software versions.

    An engine crashed during a release, and the stream went on at an engine of
    the new version.
    """

    def test_engine_of_same_version_goes_on(self) -> None:
        """A broken stream must go on at an engine of its version."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 1)
            await start_engines(
                env, {'old': 'v1', 'old-2': 'v1', 'new': 'v2', 'new-2': 'v2'}
            )
            env.endpoints['old'].override = break_stream
            answers = await send_streams(env, 'r')
            assert all(answer and answer.body == _EVENTS for answer in answers)
            assert list_resumed(env, 'old-2')
            assert not list_resumed(env, 'new')
            assert not list_resumed(env, 'new-2')

        ScenarioRunner().run(scenario)

    def test_no_engine_of_same_version(self) -> None:
        """A stream is broken off if only other versions are left."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 1)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            env.endpoints['old'].override = break_stream
            answers = await send_streams(env, 'r')
            assert answers.count(None) == len(env.endpoints['old'].runs)
            assert None in answers
            assert not list_resumed(env, 'new')

        ScenarioRunner().run(scenario)

    def test_first_event_decides(self) -> None:
        """A run without events does not bind the stream to its version."""

        async def crash(
            endpoint: EndpointStandin,
            request: ServerRequest,
            response: ResponseWriter,
        ) -> bool:
            endpoint.runs.append(request.get_header(b'x-request-id'))
            raise trio.BrokenResourceError('the engine crashed')

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 1)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            env.endpoints['old'].override = crash
            answers = await send_streams(env, 'r')
            assert all(answer and answer.body == _EVENTS for answer in answers)
            assert env.endpoints['old'].runs

        ScenarioRunner().run(scenario)


class TestResumedRequests:
    """Guards against streams that callers take up at another version."""

    def check_resumed(
        self, env: EntryEnvironment, answers: list[HttpResponse | None]
    ) -> None:
        """Check that all streams went on at the engine of version v1."""
        assert all(answer and answer.status == 200 for answer in answers)
        assert len(list_resumed(env, 'old')) == _STREAMS
        assert not list_resumed(env, 'new')

    def test_same_daemon(self) -> None:
        """The daemon that began a stream knows its version."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 1)
            await start_engines(env, {'old': 'v1'})
            await begin_streams(env)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            self.check_resumed(env, await resume_streams(env))

        ScenarioRunner().run(scenario)

    def test_other_daemon(self) -> None:
        """A daemon learns from the others which version began a stream."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 3)
            await start_engines(env, {'old': 'v1'})
            await begin_streams(env)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            self.check_resumed(env, await resume_streams(env, daemon=1))

        ScenarioRunner().run(scenario)

    def test_killed_daemon(self) -> None:
        """The version outlives the daemon that began the stream."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 3)
            await start_engines(env, {'old': 'v1'})
            await begin_streams(env)
            env.stop_daemon(0)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            self.check_resumed(env, await resume_streams(env, daemon=1))

        ScenarioRunner().run(scenario)

    def test_daemon_that_starts_later(self) -> None:
        """A daemon that starts after the first event asks the others."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 2)
            await start_engines(env, {'old': 'v1'})
            await begin_streams(env)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            await env.start_daemon('host-3')
            await env.wait_until_seen()
            await trio.sleep(_PEER_SECONDS)
            self.check_resumed(env, await resume_streams(env, daemon=2))

        ScenarioRunner().run(scenario)

    def test_no_engine_of_version(self) -> None:
        """A stream whose version is gone is refused as not run."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 2)
            await start_engines(env, {'old': 'v1'})
            await begin_streams(env)
            await start_engines(env, {'new': 'v2'})
            env.store.remove('servers', 'old')
            await env.wait_until_seen()
            for answer in await resume_streams(env, daemon=1):
                assert answer is not None
                assert answer.status == 503
                assert b'not_run' in answer.body
            assert not list_resumed(env, 'new')

        ScenarioRunner().run(scenario)

    def test_unknown_stream(self) -> None:
        """A stream of unknown version is refused while several serve."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 2)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            for answer in await resume_streams(env):
                assert answer is not None
                assert answer.status == 503
            unnamed = await env.send_request('/resumable/1', last_event_id='2')
            assert unnamed.status == 503
            assert not list_resumed(env, 'new')
            assert not list_resumed(env, 'old')

        ScenarioRunner().run(scenario)


class TestAllDaemonsKilled:
    """Guards against streams joined from two versions after a power cut.

    All daemons were killed at once and came back. Streams that callers took up
    again went on at the only version left, which had not begun them.
    """

    @pytest.mark.parametrize('names_stream', [True, False])
    @pytest.mark.parametrize('has_left', [True, False])
    def test_streams_of_before(
        self, has_left: bool, names_stream: bool
    ) -> None:
        """They are refused as not run while another version may have them."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 3)
            await start_engines(env, {'old': 'v1'})
            await begin_streams(env)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            if has_left:
                leave_version(env)
                await env.wait_until_seen()
            await env.stop_daemons()
            await start_daemons(env, 3)
            headers = {'last_event_id': '2'}
            if names_stream:
                headers['resumes'] = 'begun-{}'
            for daemon in range(3):
                answers = await send_streams(
                    env, f'resumed-{daemon}', daemon, **headers
                )
                for answer in answers:
                    assert answer is not None
                    assert answer.status == 503
                    assert b'not_run' in answer.body
            assert not list_resumed(env, 'new')
            assert not list_resumed(env, 'old')

        ScenarioRunner().run(scenario)

    def test_killed_again(self) -> None:
        """A stream that was taken up once is not joined after a second cut."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 2)
            await start_engines(env, {'old': 'v1'})
            await begin_streams(env)
            await resume_streams(env, daemon=1)
            await env.stop_daemons()
            await start_engines_unseen(env, 'new', 'v2')
            leave_version(env)
            await start_daemons(env, 2)
            answers = await send_streams(
                env, 'again', 1, resumes='resumed-{}', last_event_id='2'
            )
            assert {answer and answer.status for answer in answers} == {503}
            assert not list_resumed(env, 'new')

        ScenarioRunner().run(scenario)


def leave_version(env: EntryEnvironment) -> None:
    """Let all engines of version v1 leave."""
    env.store.remove('servers', 'old')
    env.register(env.endpoints['reader'], version='v2')


async def start_engines_unseen(
    env: EntryEnvironment, name: str, version: str
) -> None:
    """Register a decode engine while no daemon runs."""
    endpoint = EndpointStandin(name, 'decode')
    endpoint.port = await serve(env.nursery, endpoint.respond)
    env.endpoints[name] = endpoint
    env.register(endpoint, version=version)


class TestStreamsTakenUpTwice:
    """Guards against a stream whose version is forgotten while it goes on.

    Keepers count the lifetime from its beginning. A caller may take it up
    near its end, and once more after that.
    """

    def test_second_resume(self) -> None:
        """The version is known after the daemon of the first resume ended."""

        async def scenario(env: EntryEnvironment) -> None:
            await start_daemons(env, 3)
            await start_engines(env, {'old': 'v1', 'new': 'v2'})
            begun = await send_streams(env, 'begun', 0)
            assert all(begun)
            versions = list_versions(env)
            await trio.sleep(_NEAR_END_SECONDS)
            assert is_resumed(await resume_streams(env, 1))
            env.stop_daemon(1)
            await trio.sleep(_AFTER_END_SECONDS)
            assert is_resumed(await resume_streams(env, 2))
            assert list_versions(env) == versions

        ScenarioRunner(40).run(scenario)


#: A stream is remembered for the timeout of its route, 3 s, and 5 s more.
_NEAR_END_SECONDS = 6
_AFTER_END_SECONDS = 3.5


def is_resumed(answers: list[HttpResponse | None]) -> bool:
    """Return whether all streams went on."""
    return all(answer and answer.status == 200 for answer in answers)


def list_versions(env: EntryEnvironment) -> dict[str, set[str]]:
    """Return the engines that worked on each stream, by its number."""
    found: dict[str, set[str]] = {}
    for name, endpoint in env.endpoints.items():
        for request_id in endpoint.runs:
            number = request_id.partition('-')[2]
            if request_id.startswith(('begun', 'resumed')):
                found.setdefault(number, set()).add(name)
    return found
