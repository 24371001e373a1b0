"""Tests of endpoints that stop in the middle of the head of their answer."""

import re
from itertools import pairwise

import pytest
import trio
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.platform_standin import EndpointStandin

from clementinedyke.exceptions import AnswerLostError, ProtocolError
from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.http.socket_io import set_reset_on_close

_STATUS = b'HTTP/1.1 200 OK\r\n'
_HEADERS = b'X-Server-Signature: signed\r\nX-Request-Id: r\r\n'
_FRAMINGS = {
    'length': b'Content-Length: 4\r\n\r\n',
    'chunks': b'Transfer-Encoding: chunked\r\n\r\n',
    'until close': b'\r\n',
    'no body': b'Content-Length: 0\r\n\r\n',
}
_INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_ROUTES = [('/book/1', None), ('/read/1', None), ('/resumable/1', 'decode')]


class _CutStream(trio.abc.ReceiveStream):
    """Returns some bytes, one part at a time, and then its end."""

    def __init__(self, parts: list[bytes]) -> None:
        self._parts = parts

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.checkpoint()
        return self._parts.pop(0) if self._parts else b''

    async def aclose(self) -> None:
        """Do nothing."""


class _Sink(trio.abc.SendStream):
    """Takes all bytes."""

    async def send_all(self, data: bytes) -> None:  # noqa: WPS110
        await trio.lowlevel.checkpoint()

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once."""

    async def aclose(self) -> None:
        """Do nothing."""


@set_reset_on_close.register
def _reset_on_close(stream: trio.StapledStream) -> None:
    """Do nothing: no peer is told of the end."""


async def request_cut(parts: list[bytes]) -> object:
    """Return the response of a peer that sends some parts and closes."""

    async def open_stream(host: str, port: int) -> trio.abc.Stream:
        await trio.lowlevel.checkpoint()
        return trio.StapledStream(_Sink(), _CutStream(parts))

    client = HttpClient(Address('127.0.0.1', 1))
    client.open_transport = open_stream
    return await client.request(HttpRequest('GET', '/'), 1000)


class TestCutHead:
    """Guards against answers with half a head that are taken for whole ones.

    Callers of a similar system got a 200 with an empty or short body.
    """

    @pytest.mark.parametrize('interim', [b'', _INTERIM])
    @pytest.mark.parametrize('framing', _FRAMINGS)
    def test_every_cut(self, framing: str, interim: bytes) -> None:
        """No response is made of a head that breaks off, wherever it does."""
        head = interim + _STATUS + _HEADERS + _FRAMINGS[framing]
        for size, _ in enumerate(head):
            for split in (0, size // 2, size - 1):
                parts = [head[:split], head[split:size]]
                with pytest.raises((AnswerLostError, ProtocolError)):
                    trio.run(request_cut, [part for part in parts if part])

    @pytest.mark.parametrize(('path', 'stage'), _ROUTES)
    def test_caller_gets_no_answer(self, path: str, stage: str | None) -> None:
        """A caller of the entry daemon gets no success for such a head."""
        head = _STATUS + _HEADERS + _FRAMINGS['length']
        lines = [found.end() for found in re.finditer(rb'\n', head)]
        cuts = [*lines[:-1], *(first + 9 for first, _ in pairwise(lines))]
        statuses: list[int] = []

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            for number, cut in enumerate(cuts):
                await serve_cut(env, head[:cut], stage, number)
                answer = await env.send_request(path, f'r-{number}')
                statuses.append(answer.status)

        ScenarioRunner().run(scenario)
        assert len(statuses) == len(cuts)
        assert min(statuses) >= 500


async def serve_cut(
    env: EntryEnvironment, content: bytes, stage: str | None, number: int
) -> None:
    """Register an endpoint that answers with some bytes and closes."""

    async def respond(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(content)

    env.remove_stage(stage)
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    env.nursery.start_soon(trio.serve_listeners, respond, listeners)
    port = listeners[0].socket.getsockname()[1]
    env.register(EndpointStandin(f'cut-{number}', stage, port=port))
    await env.wait_until_seen()
