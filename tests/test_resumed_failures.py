"""Tests of streams that break off and whose next engine answers an error."""

import pytest
from tests.caller_tools import RawEndpoint
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.platform_standin import EndpointStandin

from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpClient

_EVENT = b'id: 1\ndata: x\n\n'
_TEXT = b'error: the engine has failed'
_SIGNATURE = b'X-Server-Signature: signed\r\n'
_LENGTH = b'Content-Length: %d\r\n\r\n%b' % (len(_TEXT), _TEXT)
_CHUNKS = b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n' % (
    len(_TEXT),
    _TEXT,
)
_BEGUN = b'HTTP/1.1 200 OK\r\n%bContent-Type: text/event-stream\r\n%b' % (
    _SIGNATURE,
    b'Content-Length: 100\r\n\r\n%b' % _EVENT,
)
_FAILURES = {
    'failure': b'HTTP/1.1 500 Failed\r\n%b%b' % (_SIGNATURE, _LENGTH),
    'in chunks': b'HTTP/1.1 500 Failed\r\n%b%b' % (_SIGNATURE, _CHUNKS),
    'until close': b'HTTP/1.1 500 Failed\r\n%b\r\n%b' % (_SIGNATURE, _TEXT),
    'unsigned': b'HTTP/1.1 500 Failed\r\n%b' % _LENGTH,
    'unsigned success': b'HTTP/1.1 200 OK\r\n%b' % _LENGTH,
    'not found': b'HTTP/1.1 404 Unknown\r\n%b%b' % (_SIGNATURE, _LENGTH),
    'rejection': b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%b' % _LENGTH,
    'time limit': b'HTTP/1.1 504 Late\r\n%b%b' % (_SIGNATURE, _CHUNKS),
    'half a head': b'HTTP/1.1 500 Failed\r\n%bContent-Le' % _SIGNATURE,
}
_REQUESTS = 6


async def receive_stream(
    env: EntryEnvironment, request_id: str
) -> tuple[int, bytes, bool]:
    """Return the status, the bytes and whether the answer was whole."""
    address = Address('127.0.0.1', env.daemons[0].caller_port)
    request = env.compile_request('/resumable/1', request_id, b'body')
    received: list[bytes] = []
    is_whole = True
    async with (
        HttpClient(address) as client,
        client.open_response(request) as answer,
    ):
        try:
            async for part in answer.receive_chunks():
                received.append(part)
        except AnswerLostError:
            is_whole = False
        return answer.status, b''.join(received), is_whole


class TestFailureAfterBegin:
    """Guards against an engine's error inside a stream of another engine.

    Clients of a similar system found its text, or its head, in the middle of
    their stream, or the stream ended as if it were complete.
    """

    @pytest.mark.parametrize('case', _FAILURES)
    def test_stream_breaks_off(self, case: str) -> None:
        """The caller gets the events of the first engine, and no end."""
        begun = RawEndpoint(_BEGUN)
        failing = RawEndpoint(_FAILURES[case])
        answers: list[tuple[int, bytes, bool]] = []

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            env.remove_stage('decode')
            for name, endpoint in (('begun', begun), ('failing', failing)):
                port = await endpoint.start(env.nursery)
                env.register(EndpointStandin(name, 'decode', port=port))
            await env.wait_until_seen()
            for number in range(_REQUESTS):
                answers.append(await receive_stream(env, f'r-{number}'))

        ScenarioRunner().run(scenario)
        successes = [answer for answer in answers if answer[0] == 200]
        assert successes
        assert failing.received
        assert set(successes) == {(200, _EVENT, False)}
