"""Tests of endpoints that send bytes without end."""

import tracemalloc
from collections.abc import Iterator
from contextlib import suppress
from itertools import repeat

import pytest
import trio
from tests.entry_environment import (
    EntryEnvironment,
    ScenarioRunner,
)
from tests.platform_standin import EndpointStandin

from clementinedyke.http.client import HttpResponse

_HEAD = b'HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\n'
_FAILURE = b'HTTP/1.1 500 Failed\r\nX-Server-Signature: signed\r\n'
_REJECTION = b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n'
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_FILLER = b'x' * 32768
_CHUNK = b'8000\r\n%b\r\n' % _FILLER
#: The daemon closes the connection before it has taken more than that: its
#: largest buffered answer and what the kernel holds on both sides.
_MAX_TAKEN = 32 * 1024 * 1024
#: A host with 200 MB has to bear answers without end on several connections.
_MAX_MEMORY = 100 * 1024 * 1024
_REQUESTS = 6
_HEADS = {
    'header': (b'%bX-Filler: ' % _HEAD, _FILLER),
    'headers': (_HEAD, b'X-Filler: 0123456789\r\n' * 512),
    'status line': (b'HTTP/1.1 200 ', _FILLER),
    'interim answers': (b'', _INTERIM * 512),
    'no answer': (b'', _FILLER),
}
_BODIES = {
    'until close': (b'\r\n', _FILLER),
    'chunks': (_CHUNKED, _CHUNK),
    'chunk header': (b'%b8;' % _CHUNKED, _FILLER),
    'trailer': (b'%b1\r\nx\r\n0\r\nX-Filler: ' % _CHUNKED, _FILLER),
    'length': (b'Content-Length: 99999999999999\r\n\r\n', _FILLER),
}
_ROUTES = [('/book/1', None), ('/read/1', None), ('/ask/1', 'decode')]


class EndlessEndpoint:
    """Endpoint that sends some bytes, then others until the peer closes.

    ``taken`` counts the bytes that were sent, ``open_connections`` the
    connections on which it still sends.
    """

    def __init__(self, start: bytes, filler: bytes) -> None:
        """Create an endpoint with its first and its repeated bytes."""
        self._start = start
        self._filler = filler
        self.taken = 0
        self.open_connections = 0

    async def start(self, env: EntryEnvironment, stage: str | None) -> None:
        """Serve, registered in place of the stand-ins of the same stage."""
        env.remove_stage(stage)
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        env.nursery.start_soon(
            trio.serve_listeners, self.serve_stream, listeners
        )
        port = listeners[0].socket.getsockname()[1]
        env.register(EndpointStandin('endless', stage, port=port))
        await env.wait_until_seen()

    async def serve_stream(self, stream: trio.SocketStream) -> None:
        """Send without end on a connection."""
        self.open_connections += 1
        with suppress(trio.BrokenResourceError):
            await stream.receive_some(65536)
            for part in self._compile_parts():
                await stream.send_all(part)
                self.taken += len(part)
        self.open_connections -= 1

    def _compile_parts(self) -> Iterator[bytes]:
        yield self._start
        yield from repeat(self._filler)


def send_through(
    endpoint: EndlessEndpoint, stage: str | None, path: str
) -> HttpResponse:
    """Return the answer to a request; the connection must be given up."""
    answers: list[HttpResponse] = []

    async def scenario(env: EntryEnvironment) -> None:
        await env.open()
        await endpoint.start(env, stage)
        answers.append(await env.send_request(path))
        await env.wait_for(lambda: not endpoint.open_connections)

    ScenarioRunner().run(scenario)
    assert endpoint.taken <= _MAX_TAKEN
    return answers[0]


class TestEndlessAnswers:
    """Guards against answers that fill the memory or never end."""

    @pytest.mark.parametrize(('path', 'stage'), _ROUTES)
    @pytest.mark.parametrize('case', _HEADS)
    def test_head(self, case: str, path: str, stage: str | None) -> None:
        """A head without end has an unknown outcome."""
        endpoint = EndlessEndpoint(*_HEADS[case])
        assert send_through(endpoint, stage, path).status in {502, 504}

    @pytest.mark.parametrize(('path', 'stage'), _ROUTES)
    @pytest.mark.parametrize(
        'head', [_HEAD, _FAILURE], ids=['success', 'failure']
    )
    @pytest.mark.parametrize('case', _BODIES)
    def test_body(
        self, case: str, head: bytes, path: str, stage: str | None
    ) -> None:
        """A body without end, or an event, has an unknown outcome."""
        start, filler = _BODIES[case]
        endpoint = EndlessEndpoint(head + start, filler)
        assert send_through(endpoint, stage, path).status in {502, 504}

    @pytest.mark.parametrize('case', _BODIES)
    def test_prefill(self, case: str) -> None:
        """A prefill without end is given up; another engine may go on."""
        start, filler = _BODIES[case]
        endpoint = EndlessEndpoint(_HEAD + start, filler)
        assert send_through(endpoint, 'prefill', '/ask/1').status == 200

    @pytest.mark.parametrize(('path', 'stage'), _ROUTES)
    @pytest.mark.parametrize('case', _BODIES)
    def test_rejection(self, case: str, path: str, stage: str | None) -> None:
        """A rejection states in its head that nothing ran."""
        start, filler = _BODIES[case]
        endpoint = EndlessEndpoint(_REJECTION + start, filler)
        answer = send_through(endpoint, stage, path)
        assert answer.status == 429
        assert b'not_run' in answer.body

    def test_stream_of_events(self) -> None:
        """A stream without end is relayed only until its caller leaves."""
        event = b'id: 1\ndata: %b\n\n' % (b'x' * 1000)
        chunk = b'%x\r\n%b\r\n' % (len(event), event)
        endpoint = EndlessEndpoint(_HEAD + _CHUNKED, chunk)

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            await endpoint.start(env, 'decode')
            await env.discard_stream('/ask/1', 1)
            await env.wait_for(lambda: not endpoint.open_connections)

        ScenarioRunner().run(scenario)

    @pytest.mark.parametrize(('path', 'stage'), _ROUTES)
    def test_memory(self, path: str, stage: str | None) -> None:
        """Several answers without end must fit into the memory of a host."""
        endpoint = EndlessEndpoint(b'%b\r\n' % _HEAD, _FILLER)

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            await endpoint.start(env, stage)
            tracemalloc.start()
            async with trio.open_nursery() as nursery:
                for number in range(_REQUESTS):
                    nursery.start_soon(env.send_request, path, f'r-{number}')
            peak = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            assert peak <= _MAX_MEMORY

        ScenarioRunner().run(scenario)
