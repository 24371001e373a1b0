"""Tests of endpoints that send an earlier refusal once more."""

from contextlib import suppress

import pytest
import trio
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.platform_standin import EndpointStandin

from clementinedyke.exceptions import AnswerLostError

_HOST = '127.0.0.1'
_REQUESTS = 8
_GAP_SECONDS = 0.3
#: Time from the copy of a refusal to the answer of the request that runs.
_RUN_SECONDS = 0.05
_EVENT_TYPE = b'Content-Type: text/event-stream\r\n'
_NOT_EXECUTED = b'X-Not-Executed: 1\r\n'
#: Statuses that promise that a request has not run and never will.
_PROMISES = frozenset((408, 421, 429, 503))


class RefusingEndpoint:
    """Endpoint that refuses requests and runs others on the same connection.

    Before the answer to a request that it runs, it sends the last refusal on
    this connection once more: with the id of the request that was refused
    (``named``), without an id (``unnamed``), or, as it refuses each request
    when it comes for the first time, with that of the same request
    (``again``).
    """

    def __init__(self, kind: str, stage: str | None) -> None:
        """Create an endpoint of a stage, None for a plain service."""
        self._kind = kind
        self._stage = stage
        self._refused: set[str] = set()
        #: Ids of the requests that ran.
        self.runs: list[str] = []
        #: Refusals that were sent once more.
        self.copies = 0

    async def start(self, nursery: trio.Nursery) -> int:
        """Start the endpoint in a nursery and return its port."""
        listeners = await trio.open_tcp_listeners(0, host=_HOST)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return int(listeners[0].socket.getsockname()[1])

    async def _serve(self, stream: trio.SocketStream) -> None:
        refusal = b''
        count = 0
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while request_id := await receive_request(stream):
                count += 1
                if self._refuses(request_id, count):
                    refusal = self._compile_refusal(request_id)
                    await stream.send_all(refusal)
                    continue
                self.runs.append(request_id)
                await self._answer(stream, request_id, refusal)

    def _refuses(self, request_id: str, count: int) -> bool:
        if self._kind != 'again':
            return bool(count % 2)
        is_new = request_id not in self._refused
        self._refused.add(request_id)
        return is_new

    async def _answer(
        self, stream: trio.SocketStream, request_id: str, refusal: bytes
    ) -> None:
        if refusal:
            self.copies += 1
            await stream.send_all(refusal)
        await trio.sleep(_RUN_SECONDS)
        text = request_id.encode()
        if self._stage is None:
            answer = compile_answer(200, request_id, text)
        else:
            event = b'id: 1\ndata: %b\n\n' % text
            answer = compile_answer(200, request_id, event, _EVENT_TYPE)
        await stream.send_all(answer)

    def _compile_refusal(self, request_id: str) -> bytes:
        named = '' if self._kind == 'unnamed' else request_id
        return compile_answer(503, named, b'full', _NOT_EXECUTED)


async def receive_request(stream: trio.SocketStream) -> str:
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
    return fields.get(b'x-request-id', b'release').decode()


def compile_answer(
    status: int, request_id: str, body: bytes, extra: bytes = b''
) -> bytes:
    """Return the bytes of an answer, without an id if it is empty."""
    if request_id:
        extra += b'X-Request-Id: %b\r\n' % request_id.encode()
    return (
        b'HTTP/1.1 %d Text\r\nX-Server-Signature: signed\r\n%b'
        b'Content-Length: %d\r\n\r\n%b' % (status, extra, len(body), body)
    )


async def send_in_turn(env: EntryEnvironment, path: str) -> dict[str, int]:
    """Send requests one after the other; return the statuses by id."""
    statuses: dict[str, int] = {}
    for number in range(_REQUESTS):
        request_id = f'r-{number}'
        try:
            answer = await env.send_request(path, request_id)
        except AnswerLostError:
            statuses[request_id] = 0
        else:
            statuses[request_id] = answer.status
        await trio.sleep(_GAP_SECONDS)
    return statuses


class TestRepeatedRefusals:
    """Guards against a refusal that is believed for another request.

    An endpoint wrote an earlier refusal once more on a kept connection. Callers
    were told that a request had not run while it ran, or it ran a second time.
    """

    @pytest.mark.parametrize(
        ('path', 'stage', 'kind'),
        [
            ('/book/1', None, 'named'),
            ('/book/1', None, 'unnamed'),
            ('/ask/1', 'decode', 'named'),
            ('/ask/1', 'decode', 'unnamed'),
            ('/ask/1', 'decode', 'again'),
        ],
    )
    def test_runs_once_and_truly(
        self, path: str, stage: str | None, kind: str
    ) -> None:
        """No request runs twice, and none that ran is said not to have."""
        endpoints = [RefusingEndpoint(kind, stage) for _ in range(2)]
        statuses: dict[str, int] = {}

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            env.remove_stage(stage)
            for number, endpoint in enumerate(endpoints):
                port = await endpoint.start(env.nursery)
                env.register(EndpointStandin(f'raw-{number}', stage, port=port))
            await env.wait_until_seen()
            statuses.update(await send_in_turn(env, path))

        ScenarioRunner().run(scenario)
        runs = [run for endpoint in endpoints for run in endpoint.runs]
        assert runs
        assert len(runs) == len(set(runs))
        for request_id in runs:
            assert statuses[request_id] not in _PROMISES
