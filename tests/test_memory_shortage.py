"""Tests of a server that is short of memory, connections or time."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import Any

import pytest
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from trio.abc import Instrument

from clementinedyke.exceptions import MemoryShortError
from clementinedyke.http import reader
from clementinedyke.http.chunks import ChunkJoiner
from clementinedyke.http.client import HttpResponse
from clementinedyke.http.memory import (
    FREE_BYTES,
    MIN_LIMIT,
    Kind,
    MemoryAccount,
)
from clementinedyke.http.server import (
    ConnectionLimits,
    HttpServer,
    ResponseWriter,
    ServerRequest,
)
from http_tools import echo_path, read_until_closed

_LARGE = 3145728
_HEAD = b'POST /%b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
_GET = b'GET /small HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
_SHORT = b'"code": 3014'
_CONNECTIONS_TAKEN = b'"code": 3008'
_CONNECTIONS = 3
_FORWARDED = b'x' * 4 * FREE_BYTES
_TIMEOUT_SECONDS = 20
#: Two of these fill the part of the smallest account that is for bodies.
_LARGEST = 5767168
_MOST_ANSWERS = MIN_LIMIT // 8


class WaitingHandler:
    """Handler that waits, then sends a request on unless it was evicted."""

    def __init__(self, *, sends_first: bool) -> None:
        """Create a handler that sends before or after it waits."""
        self._sends_first = sends_first
        self.started = 0
        self.released = trio.Event()
        #: Number of requests that were sent on.
        self.sent = 0

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer once released; small requests at once."""
        if request.path == '/small':
            await echo_path(request, response)
            return
        if self._sends_first:
            self._send(request)
        self.started += 1
        # The cancellation arrives only after the request would be sent.
        with trio.CancelScope(shield=True):
            await self.released.wait()
        if not self._sends_first:
            self._send(request)
        await echo_path(request, response)

    def _send(self, request: ServerRequest) -> None:
        request.connection.pass_on()
        self.sent += 1


class Served:
    """A server with a small account, and connections to it."""

    def __init__(
        self, server: HttpServer, memory: MemoryAccount, port: int
    ) -> None:
        """Create it for a server that listens."""
        self.server = server
        self.memory = memory
        self._port = port
        #: Connections stay open as long as there are references to them.
        self._streams: list[trio.SocketStream] = []

    async def connect(
        self, payload: bytes, source: str = '127.0.0.1'
    ) -> trio.SocketStream:
        """Open a connection from an address and send bytes."""
        connection = trio.socket.socket()
        await connection.bind((source, 0))
        await connection.connect(('127.0.0.1', self._port))
        stream = trio.SocketStream(connection)
        self._streams.append(stream)
        await stream.send_all(payload)
        return stream

    async def send(self, payload: bytes, source: str = '127.0.0.1') -> bytes:
        """Send bytes and return all that comes until the end."""
        stream = await self.connect(payload, source)
        async with stream:
            return await read_until_closed(stream)


@asynccontextmanager
async def serve(handler: Any, **limits: int) -> AsyncIterator[Served]:
    """Run a server with the smallest account."""
    memory = MemoryAccount(MIN_LIMIT)
    server = HttpServer(handler, ConnectionLimits(**limits), memory=memory)
    with trio.fail_after(_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            port = await nursery.start(partial(server.serve, '127.0.0.1', 0))
            yield Served(server, memory, port)
            nursery.cancel_scope.cancel()


class TestEviction:
    """Guards against false refusals of requests that give way."""

    async def _run(self, *, sends_first: bool) -> tuple[list[bytes], int]:
        """Return the answers to two whole requests, and how many were sent.

        An answer to another request needs memory while they wait.
        """
        handler = WaitingHandler(sends_first=sends_first)
        async with serve(handler.respond) as served:
            streams = [
                await served.connect(
                    _HEAD % (b'whole', _LARGEST) + b'x' * _LARGEST
                )
                for _ in range(2)
            ]
            while handler.started < len(streams):
                await trio.sleep(0.01)
            other = served.memory.open_connection('')
            with suppress(MemoryShortError):
                other.open_holding(Kind.ANSWER).resize(_MOST_ANSWERS, 0)
            handler.released.set()
            answers = [
                bytes(await stream.receive_some(65536)) for stream in streams
            ]
        return answers, handler.sent

    def test_sent_requests_are_answered(self) -> None:
        """Requests that were sent on keep their memory and their answers."""
        answers, sent = trio.run(partial(self._run, sends_first=True))
        assert all(it.startswith(b'HTTP/1.1 200') for it in answers)
        assert sent == len(answers)

    def test_evicted_request_is_not_sent(self) -> None:
        """A request that waits gives way, and is not sent afterwards."""
        answers, sent = trio.run(partial(self._run, sends_first=False))
        assert sum(_SHORT in answer for answer in answers) == 1
        assert sent == 1

    async def _send_small(self) -> bytes:
        async with serve(echo_path) as served:
            for _ in range(8):
                await served.connect(
                    _HEAD % (b'body', _LARGE) + b'x' * (_LARGE - 1)
                )
            await trio.sleep(0.1)
            return await served.send(_GET)

    def test_small_request(self) -> None:
        """A small request is served while large ones fill the memory."""
        assert trio.run(self._send_small).endswith(b'/small 0;')

    async def _send_too_many(self) -> list[bytes]:
        answers: list[bytes] = []

        async def read(served: Served) -> None:
            answers.append(
                await served.send(
                    _HEAD % (b'body', _LARGE) + b'x' * (_LARGE - 1)
                )
            )

        async with serve(echo_path) as served:
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(read, served)
                while len(answers) < 4:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        return answers

    def test_refusal(self) -> None:
        """An evicted body is refused as not run, with Retry-After."""
        for answer in trio.run(self._send_too_many):
            assert answer.startswith(b'HTTP/1.1 503')
            assert b'Retry-After: 1\r\n' in answer
            assert _SHORT in answer


class TestConnections:
    """Guards against one address that takes all connections."""

    async def _take_all(
        self, source: str, wait: float, payload: bytes = b'GET'
    ) -> bytes:
        async with serve(echo_path, max_connections=_CONNECTIONS) as served:
            for _ in range(_CONNECTIONS):
                await served.connect(payload)
            while served.server.connection_count < _CONNECTIONS:
                await trio.sleep(0.01)
            await trio.sleep(wait)
            return await served.send(_GET, source)

    @pytest.mark.parametrize('payload', [b'GET', b''], ids=['head', 'idle'])
    def test_other_address(self, payload: bytes) -> None:
        """An address with fewer connections gets one at once."""
        answer = trio.run(self._take_all, '127.0.0.9', 0.05, payload)
        assert answer.endswith(b'/small 0;')

    def test_same_address(self) -> None:
        """Behind a load balancer a connection that just began stays."""
        answer = trio.run(self._take_all, '127.0.0.1', 0.05)
        assert _CONNECTIONS_TAKEN in answer

    def test_same_address_after_a_while(self) -> None:
        """Behind a load balancer one that never ends its head gives way."""
        answer = trio.run(self._take_all, '127.0.0.1', 2.1)
        assert answer.endswith(b'/small 0;')

    async def _take_all_running(self) -> bytes:
        handler = WaitingHandler(sends_first=True)
        async with serve(
            handler.respond, max_connections=_CONNECTIONS
        ) as served:
            for _ in range(_CONNECTIONS):
                await served.connect(_HEAD % (b'whole', 0))
            while handler.sent < _CONNECTIONS:
                await trio.sleep(0.01)
            answer = await served.send(_GET, '127.0.0.9')
            handler.released.set()
            return answer

    def test_running_requests_stay(self) -> None:
        """A connection whose request runs never gives way."""
        assert _CONNECTIONS_TAKEN in trio.run(self._take_all_running)


class TestForwardedRequests:
    """Guards against daemons that hold requests of others beyond their memory.

    A forwarded body is in memory twice at the daemon that forwards it: in the
    message and decoded.
    """

    def test_daemon_without_memory(self) -> None:
        """The request is refused as not run, and is served later."""
        answers: list[HttpResponse] = []

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            all_links = [await env.open_links() for _ in range(2)]
            for host, links in zip(
                ('host-0', 'host-1'), all_links, strict=True
            ):
                await env.start_daemon(host, links=links)
            for daemon in range(2):
                await send_until_served(env, daemon)
            all_links[0].cut('reset')
            await send_until_served(env, 0)
            other = env.daemons[1].memory.open_connection('')
            holding = other.begin_request()
            other.pass_on()
            size = env.daemons[1].memory.shared_limit
            while size > FREE_BYTES:
                with suppress(MemoryShortError):
                    holding.resize(holding.size + size, 0)
                size //= 2
            answers.append(
                await env.send_request('/book/1', 'short', body=_FORWARDED)
            )
            other.close()
            answers.append(
                await env.send_request('/book/1', 'later', body=_FORWARDED)
            )
            runs = [it for each in env.endpoints.values() for it in each.runs]
            assert 'short' not in runs
            assert 'later' in runs

        ScenarioRunner().run(scenario)
        assert answers[0].status in {429, 503}
        assert b'not_run' in answers[0].body
        assert answers[1].status == 200


async def send_until_served(env: EntryEnvironment, daemon: int) -> None:
    """Send a request to a daemon until it is answered with success."""
    status = 0
    while status != 200:
        answer = await env.send_request('/read/1', 'probe', daemon=daemon)
        status = answer.status


class Turns(Instrument):
    """Counts the iterations of the event loop."""

    def __init__(self) -> None:
        """Create a counter at zero."""
        self.count = 0

    def before_io_wait(self, timeout: float) -> None:
        """Count an iteration."""
        self.count += 1


class TestTurns:
    """Guards against small chunks that keep all other tasks waiting.

    A read of 64 KiB in chunks of two bytes was parsed in one go, for 0.2 s,
    and that for each of hundreds of connections in turn.
    """

    def test_chunks_of_one_iteration(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """All connections together parse a bounded number of chunks."""
        turns = Turns()
        joined: Counter[int] = Counter()
        take = ChunkJoiner.take

        def record(joiner: ChunkJoiner, max_chunks: int) -> bytes:
            joined[turns.count] += max_chunks
            return take(joiner, max_chunks)

        monkeypatch.setattr(ChunkJoiner, 'take', record)
        callers = 20
        body = b'2\r\nxx\r\n' * 9000

        async def main() -> None:
            head = _HEAD.replace(b'Content-Length: %d', b'%b') % (
                b'body',
                b'Transfer-Encoding: chunked\r\nConnection: close',
            )
            request = b'%b%b0\r\n\r\n' % (head, body)
            async with serve(echo_path) as served, trio.open_nursery() as tasks:
                for _ in range(callers):
                    tasks.start_soon(served.send, request)

        trio.run(main, instruments=[turns])
        assert sum(joined.values()) >= callers * 9000
        most = callers * reader.FREE_CHUNKS + 2 * reader.CHUNKS_PER_TURN
        assert max(joined.values()) <= most
