"""Tests of endpoints that send a second copy of an answer."""

from contextlib import suppress

import pytest
import trio
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.test_entry_answers import start_raw

from clementinedyke.exceptions import AnswerLostError

_HOST = '127.0.0.1'
_REQUESTS = 6
_COPY_DELAY_SECONDS = 0.03
_GAP_SECONDS = 0.1
_EVENT_TYPE = b'Content-Type: text/event-stream\r\n'
_PREFILL = b'{"handle":"h-1","tokens":5,"version":1}'


class CopyingEndpoint:
    """Endpoint that sends each answer twice on a kept connection.

    The copy comes ``at once`` behind the answer, while the connection is
    ``idle``, or when the connection is ``in use`` for the next request.
    """

    def __init__(self, moment: str, stage: str | None) -> None:
        """Create an endpoint of a stage, None for a plain service."""
        self._moment = moment
        self._stage = stage
        self._nursery: trio.Nursery | None = None
        #: Ids of all requests that arrived.
        self.arrived: list[str] = []
        #: Copies that were sent on a connection that was still open.
        self.copies = 0

    async def start(self, nursery: trio.Nursery) -> int:
        """Start the endpoint in a nursery and return its port."""
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(0, host=_HOST)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    async def _serve(self, stream: trio.SocketStream) -> None:
        waiting = b''
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while request_id := await self._receive(stream):
                self.arrived.append(request_id)
                answer = self._compile_answer(request_id)
                if waiting:
                    await self._send_copy(stream, waiting)
                copy = answer if self._moment == 'at once' else b''
                await stream.send_all(answer + copy)
                self.copies += bool(copy)
                if self._moment == 'idle':
                    await trio.sleep(_COPY_DELAY_SECONDS)
                    await self._send_copy(stream, answer)
                waiting = answer if self._moment == 'in use' else b''

    async def _send_copy(self, stream: trio.SocketStream, copy: bytes) -> None:
        await stream.send_all(copy)
        self.copies += 1

    async def _receive(self, stream: trio.SocketStream) -> str:
        """Return the id of the next request, empty at the end."""
        received = b''
        while b'\r\n\r\n' not in received:
            more = await stream.receive_some(65536)
            if not more:
                return ''
            received += more
        head, _, body = received.partition(b'\r\n\r\n')
        fields = dict(
            line.split(b': ', 1) for line in head.lower().split(b'\r\n')[1:]
        )
        left = int(fields.get(b'content-length', b'0')) - len(body)
        while left > 0:
            left -= len(await stream.receive_some(left))
        if fields.get(b'x-stage') == b'prefill':
            return f'prefill {fields[b"x-request-id"].decode()}'
        return fields[b'x-request-id'].decode()

    def _compile_answer(self, request_id: str) -> bytes:
        kind, _, name = request_id.rpartition(' ')
        if kind:
            return _compile(name, _PREFILL)
        text = name.encode()
        if self._stage is None:
            return _compile(name, text)
        return _compile(name, b'id: 1\ndata: %b\n\n' % text, _EVENT_TYPE)


def _compile(request_id: str, body: bytes, extra: bytes = b'') -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\n%b'
        b'X-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b'
        % (extra, request_id.encode(), len(body), body)
    )


async def send_in_turn(env: EntryEnvironment, path: str) -> list[tuple]:
    """Send requests one after the other; return their ids and answers."""
    answers: list[tuple] = []
    for number in range(_REQUESTS):
        request_id = f'r-{number}'
        try:
            answer = await env.send_request(path, request_id)
        except AnswerLostError:
            answers.append((request_id, 0, b''))
        else:
            answers.append((request_id, answer.status, answer.body))
        await trio.sleep(_GAP_SECONDS)
    return answers


class TestSecondAnswers:
    """Guards against an answer that belongs to the request before.

    A server sent a second copy of an answer late, on a connection that was in
    use again, and the next caller got it.
    """

    @pytest.mark.parametrize('moment', ['at once', 'idle', 'in use'])
    @pytest.mark.parametrize(
        ('path', 'stage'),
        [
            ('/read/1', None),
            ('/book/1', None),
            ('/ask/1', 'decode'),
            ('/resumable/1', 'decode'),
            ('/ask/1', 'prefill'),
        ],
    )
    def test_callers_get_their_own(
        self, path: str, stage: str | None, moment: str
    ) -> None:
        """No caller gets an answer to another request.

        An answer that nobody can tell from the copy before may be lost.
        """
        endpoint = CopyingEndpoint(moment, stage)
        answers: list[tuple] = []

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            await start_raw(env, endpoint, stage)
            answers.extend(await send_in_turn(env, path))

        ScenarioRunner().run(scenario)
        assert endpoint.arrived
        assert endpoint.copies
        for request_id, status, body in answers:
            if status == 200 and stage != 'prefill':
                assert request_id.encode() in body
        if moment != 'in use':
            assert {status for _, status, _ in answers} == {200}

    @pytest.mark.parametrize('moment', ['at once', 'idle', 'in use'])
    def test_booked_once(self, moment: str) -> None:
        """A request that may run once is sent once, also if it is lost."""
        endpoint = CopyingEndpoint(moment, None)

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            await start_raw(env, endpoint, None)
            await send_in_turn(env, '/book/1')

        ScenarioRunner().run(scenario)
        assert len(endpoint.arrived) == len(set(endpoint.arrived))
