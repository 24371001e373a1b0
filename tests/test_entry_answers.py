"""Tests of answers that are framed in different ways and broken off."""

import pytest
import trio
from tests.caller_tools import RawEndpoint
from tests.entry_environment import (
    EntryEnvironment,
    ScenarioRunner,
)
from tests.link import Link
from tests.platform_standin import EndpointStandin

from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpResponse

_SIGNATURE = b'X-Server-Signature: signed\r\n'
_EVENT_TYPE = b'Content-Type: text/event-stream\r\n'
_EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3))
#: Ends inside the third event.
_CUT_EVENTS = _EVENTS[:-4]
#: Time for which the port of a killed process accepts connections while the
#: kernel closes its other sockets.
_CLOSING_SECONDS = 0.01
_FRAMINGS = ('length', 'chunked', 'connection')


def compile_answer(
    framing: str, body: bytes, status: int = 200, headers: bytes = b''
) -> bytes:
    """Return an answer whose framing says that its body is complete."""
    head = b'HTTP/1.1 %d Status\r\n%b%b' % (status, _SIGNATURE, headers)
    if framing == 'length':
        return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(body), body)
    if framing == 'chunked':
        chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        return b'%bTransfer-Encoding: chunked\r\n\r\n%b' % (head, chunks)
    return b'%b\r\n%b' % (head, body)


async def start_raw(
    env: EntryEnvironment, endpoint: RawEndpoint, stage: str | None
) -> int:
    """Start an endpoint and register it instead of those of its stage.

    Return its port.
    """
    env.remove_stage(stage)
    port = await endpoint.start(env.nursery)
    env.register(EndpointStandin('raw', stage, port=port))
    await env.wait_until_seen()
    return port


async def send_or_lose(env: EntryEnvironment, path: str) -> HttpResponse | None:
    """Send a request; return None if its answer is lost."""
    try:
        return await env.send_request(path)
    except AnswerLostError:
        return None


def send_through(
    endpoint: RawEndpoint, stage: str | None, path: str
) -> HttpResponse | None:
    """Send a request to an endpoint; return None if its answer is lost."""
    answers: list[HttpResponse | None] = []

    async def scenario(env: EntryEnvironment) -> None:
        await env.open()
        await start_raw(env, endpoint, stage)
        answers.append(await send_or_lose(env, path))

    ScenarioRunner().run(scenario)
    return answers[0]


def send_while_leaving(
    endpoint: RawEndpoint, stage: str | None, departure: str
) -> HttpResponse | None:
    """Send a request to an endpoint that leaves before it has answered.

    Return None if the answer is lost.

    :param departure: the endpoint reports ``draining``, or its entry is
        ``removed``.
    """
    answers: list[HttpResponse | None] = []

    async def scenario(env: EntryEnvironment) -> None:
        await env.open()
        port = await start_raw(env, endpoint, stage)

        async def leave() -> None:
            await trio.sleep(0.1)
            if departure == 'removed':
                env.store.remove('servers', 'raw')
                return
            standin = EndpointStandin('raw', stage, port=port)
            env.register(standin, state='draining')

        env.nursery.start_soon(leave)
        path = '/ask/1' if stage else '/book/1'
        answers.append(await send_or_lose(env, path))

    ScenarioRunner().run(scenario)
    return answers[0]


def send_while_cut(
    answer: bytes, stage: str | None, path: str
) -> HttpResponse | None:
    """Send a request to an endpoint that can't be reached once it answers.

    Return None if the answer is lost.
    """
    answers: list[HttpResponse | None] = []

    async def scenario(env: EntryEnvironment) -> None:
        await env.open()
        endpoint = RawEndpoint(answer, delay_seconds=0.8)
        port = await start_raw(env, endpoint, stage)
        link = Link(Address('127.0.0.1', port))
        await link.start(env.nursery)
        env.register(EndpointStandin('raw', stage, port=link.port))
        await env.wait_until_seen()

        async def cut() -> None:
            await trio.sleep(0.5)
            link.hang_new()

        env.nursery.start_soon(cut)
        answers.append(await send_or_lose(env, path))

    ScenarioRunner().run(scenario)
    return answers[0]


class TestCutStreams:
    """Guards against streams that are cut off and look complete.

    An engine crashed in the middle of an answer that ends with its
    connection, and the caller got the cut event and the end of the answer.
    """

    @pytest.mark.parametrize('resets', [False, True])
    @pytest.mark.parametrize('framing', _FRAMINGS)
    def test_cut_event_is_not_the_end(self, framing: str, resets: bool) -> None:
        """A stream that ends inside an event must not look complete."""
        answer = compile_answer(framing, _CUT_EVENTS, headers=_EVENT_TYPE)
        endpoint = RawEndpoint(answer, resets=resets)
        assert send_through(endpoint, 'decode', '/ask/1') is None

    @pytest.mark.parametrize('framing', _FRAMINGS)
    def test_resume_after_cut_event(self, framing: str) -> None:
        """Another engine goes on after the last complete event."""
        answer = compile_answer(framing, _CUT_EVENTS, headers=_EVENT_TYPE)
        endpoint = RawEndpoint(answer)

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            await start_raw(env, endpoint, 'decode')
            env.register(env.endpoints['writer'])
            await env.wait_until_seen()
            bodies = [
                (await env.send_request('/resumable/1', f'r-{number}')).body
                for number in range(4)
            ]
            assert all(body == _EVENTS for body in bodies)
            assert endpoint.received

        ScenarioRunner().run(scenario)

    @pytest.mark.parametrize('framing', _FRAMINGS)
    def test_whole_stream(self, framing: str) -> None:
        """A stream that ends after an event is complete in each framing."""
        answer = compile_answer(framing, _EVENTS, headers=_EVENT_TYPE)
        received = send_through(RawEndpoint(answer), 'decode', '/ask/1')
        assert received is not None
        assert (received.status, received.body) == (200, _EVENTS)

    def test_reset_after_an_event(self) -> None:
        """A stream that is reset after an event is cut off."""
        answer = compile_answer('connection', _EVENTS, headers=_EVENT_TYPE)
        endpoint = RawEndpoint(answer, resets=True)
        assert send_through(endpoint, 'decode', '/ask/1') is None


class TestEndedEndpoints:
    """Guards against answers of endpoints that ended before their last byte.

    The kernel closes the connections of a killed process, mostly after a
    complete event. Callers got a short answer that looked complete.
    """

    @pytest.mark.parametrize('closing_seconds', [0, _CLOSING_SECONDS])
    def test_stream_of_killed_engine(self, closing_seconds: float) -> None:
        """A stream that ends with its engine must not look complete.

        The port of a killed process may accept connections until the kernel
        has closed its other sockets.
        """
        answer = compile_answer('connection', _EVENTS, headers=_EVENT_TYPE)
        endpoint = RawEndpoint(
            answer, ends=True, closing_seconds=closing_seconds
        )
        assert send_through(endpoint, 'decode', '/ask/1') is None

    @pytest.mark.parametrize('closing_seconds', [0, _CLOSING_SECONDS])
    @pytest.mark.parametrize(
        ('path', 'stage'), [('/book/1', None), ('/ask/1', 'decode')]
    )
    @pytest.mark.parametrize('status', [200, 500])
    def test_answer_of_killed_endpoint(
        self,
        status: int,
        path: str,
        stage: str | None,
        closing_seconds: float,
    ) -> None:
        """An answer that ends with its endpoint has an unknown outcome."""
        answer = compile_answer('connection', b'part', status)
        endpoint = RawEndpoint(
            answer, ends=True, closing_seconds=closing_seconds
        )
        received = send_through(endpoint, stage, path)
        assert received is not None
        assert received.status == 502

    @pytest.mark.parametrize('framing', ['length', 'chunked'])
    def test_delimited_answer(self, framing: str) -> None:
        """An answer with a marked end is complete when its endpoint ends."""
        answer = compile_answer(framing, b'booked')
        endpoint = RawEndpoint(answer, ends=True)
        received = send_through(endpoint, None, '/book/1')
        assert received is not None
        assert (received.status, received.body) == (200, b'booked')


class TestLeavingEndpoints:
    """Guards against short answers of endpoints that were leaving.

    Engines were reclaimed 2 s after they had said so. The streams that they
    were writing, without a length or chunks, looked complete to their callers.
    """

    @pytest.mark.parametrize('departure', ['draining', 'removed'])
    @pytest.mark.parametrize(
        ('stage', 'body', 'headers'),
        [('decode', _EVENTS, _EVENT_TYPE), (None, b'booked', b'')],
    )
    def test_running_endpoint(
        self, departure: str, stage: str | None, body: bytes, headers: bytes
    ) -> None:
        """An answer is complete if its endpoint outlasts it."""
        answer = compile_answer('connection', body, headers=headers)
        endpoint = RawEndpoint(answer, delay_seconds=0.4)
        received = send_while_leaving(endpoint, stage, departure)
        assert received is not None
        assert (received.status, received.body) == (200, body)

    @pytest.mark.parametrize('departure', ['draining', 'removed'])
    def test_reclaimed_engine(self, departure: str) -> None:
        """A stream that ends with a leaving engine is broken off."""
        answer = compile_answer('connection', _EVENTS, headers=_EVENT_TYPE)
        endpoint = RawEndpoint(answer, ends=True, delay_seconds=0.4)
        assert send_while_leaving(endpoint, 'decode', departure) is None

    @pytest.mark.parametrize('departure', ['draining', 'removed'])
    def test_reclaimed_endpoint(self, departure: str) -> None:
        """An answer that ends with a leaving endpoint may be a part of it."""
        answer = compile_answer('connection', b'part')
        endpoint = RawEndpoint(answer, ends=True, delay_seconds=0.4)
        received = send_while_leaving(endpoint, None, departure)
        assert received is not None
        assert received.status == 502

    @pytest.mark.parametrize('framing', ['length', 'chunked'])
    def test_delimited_answer(self, framing: str) -> None:
        """An answer with a marked end is complete when its endpoint ends."""
        answer = compile_answer(framing, _EVENTS, headers=_EVENT_TYPE)
        endpoint = RawEndpoint(answer, ends=True, delay_seconds=0.4)
        received = send_while_leaving(endpoint, 'decode', 'draining')
        assert received is not None
        assert (received.status, received.body) == (200, _EVENTS)

    def test_resumable_stream(self) -> None:
        """Another engine goes on with a stream whose engine was reclaimed."""
        begun = _EVENTS[: 2 * len(_EVENTS) // 3]
        answer = compile_answer('connection', begun, headers=_EVENT_TYPE)
        bodies: list[bytes] = []

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            endpoint = RawEndpoint(answer, ends=True, delay_seconds=0.8)
            port = await start_raw(env, endpoint, 'decode')

            async def replace_engine() -> None:
                await trio.sleep(0.1)
                env.register(env.endpoints['writer'])
                leaving = EndpointStandin('raw', 'decode', port=port)
                env.register(leaving, state='draining')

            env.nursery.start_soon(replace_engine)
            bodies.append((await env.send_request('/resumable/1')).body)

        ScenarioRunner().run(scenario)
        assert bodies == [_EVENTS]


class TestCutEndpoints:
    """Guards against short answers of endpoints that can't be examined."""

    def test_stream(self) -> None:
        """A stream of an engine that was cut off is not known as whole."""
        answer = compile_answer('connection', _EVENTS, headers=_EVENT_TYPE)
        assert send_while_cut(answer, 'decode', '/ask/1') is None

    def test_plain_answer(self) -> None:
        """An answer of an endpoint that was cut off is not known as whole."""
        answer = compile_answer('connection', b'part')
        received = send_while_cut(answer, None, '/book/1')
        assert received is not None
        assert received.status == 502


class TestCutAnswers:
    """Guards against other answers that are cut off and look complete."""

    @pytest.mark.parametrize(
        ('path', 'stage'), [('/book/1', None), ('/ask/1', 'decode')]
    )
    @pytest.mark.parametrize('framing', _FRAMINGS)
    def test_whole_failure(
        self, framing: str, path: str, stage: str | None
    ) -> None:
        """The failure of an endpoint is forwarded in each framing."""
        answer = compile_answer(framing, b'failed', 500)
        received = send_through(RawEndpoint(answer), stage, path)
        assert received is not None
        assert (received.status, received.body) == (500, b'failed')

    @pytest.mark.parametrize(
        ('path', 'stage'), [('/book/1', None), ('/ask/1', 'decode')]
    )
    @pytest.mark.parametrize('status', [200, 500])
    def test_reset(self, status: int, path: str, stage: str | None) -> None:
        """An answer that is reset before its end has an unknown outcome."""
        answer = compile_answer('connection', b'part', status)
        endpoint = RawEndpoint(answer, resets=True)
        received = send_through(endpoint, stage, path)
        assert received is not None
        assert received.status == 502
        assert b'part' not in received.body

    @pytest.mark.parametrize('framing', _FRAMINGS)
    def test_whole_answer(self, framing: str) -> None:
        """An answer of a plain service is complete in each framing."""
        answer = compile_answer(framing, b'booked')
        received = send_through(RawEndpoint(answer), None, '/book/1')
        assert received is not None
        assert (received.status, received.body) == (200, b'booked')

    def test_cut_answer_of_repeatable_request(self) -> None:
        """Another endpoint is asked after an answer that was reset."""
        answer = compile_answer('connection', b'part')
        endpoint = RawEndpoint(answer, resets=True)

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            await start_raw(env, endpoint, None)
            env.register(env.endpoints['ledger-1'])
            await env.wait_until_seen()
            bodies = [
                (await env.send_request('/read/1', f'r-{number}')).body
                for number in range(4)
            ]
            assert all(body == b'ledger-1' for body in bodies)
            assert endpoint.received

        ScenarioRunner().run(scenario)

    @pytest.mark.parametrize('framing', _FRAMINGS)
    def test_cut_prefill(self, framing: str) -> None:
        """The decode engine gets no handle from an answer that was cut."""
        answer = compile_answer(framing, b'{"handle":"h-1","tok')

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            await start_raw(env, RawEndpoint(answer), 'prefill')
            received = await env.send_request('/ask/1')
            assert (received.status, received.body) == (200, _EVENTS)
            sent = env.endpoints['writer'].received[0]
            assert sent.get_header(b'x-kv-source') is None

        ScenarioRunner().run(scenario)
