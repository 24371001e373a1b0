"""Tests of answers that come slowly, and of answers that never end."""

from contextlib import suppress

import pytest
import trio
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.test_entry_answers import start_raw

from clementinedyke.exceptions import AnswerLostError

_HOST = '127.0.0.1'
_EVENTS = [b'id: %d\ndata: x\n\n' % number for number in range(1, 6)]
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\nX-Request-Id: r-1\r\n'
)
_TYPE = b'Content-Type: text/event-stream\r\n'
_LENGTH = b'Content-Length: %d\r\n\r\n'
_STREAM_HEAD = b''.join((_HEAD, _TYPE, _LENGTH % sum(map(len, _EVENTS))))
_PLAIN = b'a whole answer of a plain service'
_PLAIN_HEAD = b''.join((_HEAD, _LENGTH % len(_PLAIN)))
_ENDLESS_HEAD = b''.join((_HEAD, _LENGTH % 1000000))
_ENDLESS_STREAM_HEAD = b''.join((_HEAD, _TYPE, _LENGTH % 1000000))
#: Longer than the usual pause between events, within the callers' 2.5 s.
_SLOW_GAP_SECONDS = 0.4
_BYTE_GAP_SECONDS = 0.05
#: Time from the end of a request to the end of the endpoint's work on it.
_CLOSE_SECONDS = 5


class SlowEndpoint:
    """Endpoint that sends parts of an answer with a gap after each."""

    def __init__(
        self, parts: list[bytes], gap: float, *, repeats: bool
    ) -> None:
        """Create the endpoint.

        :param parts: bytes to send.
        :param gap: seconds between two parts.
        :param repeats: whether a byte follows after each further gap for ever.
        """
        self._parts = parts
        self._gap = gap
        self._repeats = repeats
        #: Set when the caller has closed a connection.
        self.closed = trio.Event()

    async def start(self, nursery: trio.Nursery) -> int:
        """Start the endpoint in a nursery and return its port."""
        listeners = await trio.open_tcp_listeners(0, host=_HOST)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    async def _serve(self, stream: trio.SocketStream) -> None:
        await stream.receive_some(65536)
        with suppress(trio.BrokenResourceError):
            for part in self._parts:
                await stream.send_all(part)
                await trio.sleep(self._gap)
            while self._repeats:
                await stream.send_all(b'x')
                await trio.sleep(self._gap)
        self.closed.set()


def send(
    endpoint: SlowEndpoint, stage: str | None, path: str, *, must_close: bool
) -> bytes | None:
    """Send a request; return the body of its answer, None if it is lost."""
    bodies: list[bytes | None] = []

    async def scenario(env: EntryEnvironment) -> None:
        await env.open()
        await start_raw(env, endpoint, stage)
        try:
            answer = await env.send_request(path)
        except AnswerLostError:
            bodies.append(None)
        else:
            bodies.append(answer.body if answer.status == 200 else None)
        if must_close:
            with trio.fail_after(_CLOSE_SECONDS):
                await endpoint.closed.wait()

    ScenarioRunner().run(scenario)
    return bodies[0]


class TestSlowAnswers:
    """Guards against slow but sound answers that are cut off."""

    @pytest.mark.parametrize('path', ['/ask/1', '/resumable/1'])
    def test_slow_stream(self, path: str) -> None:
        """A stream with long pauses comes whole within its time."""
        parts = [_STREAM_HEAD, *_EVENTS]
        endpoint = SlowEndpoint(parts, _SLOW_GAP_SECONDS, repeats=False)
        body = send(endpoint, 'decode', path, must_close=False)
        assert body == b''.join(_EVENTS)

    @pytest.mark.parametrize('path', ['/read/1', '/book/1'])
    def test_slow_plain_answer(self, path: str) -> None:
        """An answer that comes byte by byte comes whole."""
        parts = [_PLAIN_HEAD, *(b'%c' % byte for byte in _PLAIN)]
        endpoint = SlowEndpoint(parts, _BYTE_GAP_SECONDS, repeats=False)
        assert send(endpoint, None, path, must_close=False) == _PLAIN


class TestStalledAnswers:
    """Guards against answers that never end, since a byte comes now and then.

    Each received byte must not give the endpoint more time.
    """

    @pytest.mark.parametrize('path', ['/ask/1', '/resumable/1'])
    @pytest.mark.parametrize('events', [0, 2])
    def test_stalled_stream(self, path: str, events: int) -> None:
        """The stream is given up in time, and its connection is closed."""
        parts = [_ENDLESS_STREAM_HEAD, *_EVENTS[:events], b'data: ']
        endpoint = SlowEndpoint(parts, _BYTE_GAP_SECONDS, repeats=True)
        assert send(endpoint, 'decode', path, must_close=True) is None

    @pytest.mark.parametrize('path', ['/read/1', '/book/1'])
    @pytest.mark.parametrize('head', [_HEAD, _ENDLESS_HEAD])
    def test_stalled_plain_answer(self, path: str, head: bytes) -> None:
        """So is a plain answer, in the middle of its head or of its body."""
        endpoint = SlowEndpoint([head], _BYTE_GAP_SECONDS, repeats=True)
        assert send(endpoint, None, path, must_close=True) is None

    def test_stalled_prefill(self) -> None:
        """A read of a prompt that stalls leaves the caller its answer."""
        endpoint = SlowEndpoint(
            [_ENDLESS_HEAD], _BYTE_GAP_SECONDS, repeats=True
        )
        body = send(endpoint, 'prefill', '/ask/1', must_close=True)
        assert body is not None
