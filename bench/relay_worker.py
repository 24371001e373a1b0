"""Client process of the relay benchmark.

Reads raw bytes and counts events without a parser, so that the client uses
less processor time than the relay that it measures.
"""

import json
import sys
from dataclasses import dataclass
from typing import Any

import trio

_HOST = '127.0.0.1'
_READ_SIZE = 65536
_EVENT_PREFIX = b'data: {'
_STREAM_END = b'\r\n0\r\n\r\n'
_STATUS_LINE = b'HTTP/1.1 200 '


@dataclass(frozen=True, slots=True)
class Load:
    """Load from one client process; times are in seconds.

    ``interval``: time between the tokens of a stream.
    """

    port: int
    key: str
    streams: int
    tokens: int
    interval: float
    warm_up: float
    duration: float
    is_streamed: bool

    def compile_request(self, tokens: int) -> bytes:
        """Return the bytes of a request.

        :param tokens: length of the answer.
        """
        body = {
            'model': 'bench',
            'messages': [{'role': 'user', 'content': 'x' * 200}],
            'max_tokens': tokens,
            'stream': self.is_streamed,
        }
        encoded = json.dumps(body).encode()
        return (
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n'
            b'Authorization: Bearer %b\r\nContent-Length: %d\r\n\r\n%b'
            % (self.key.encode(), len(encoded), encoded)
        )


class Worker:
    """Sends requests on all streams and measures them after the warm-up."""

    def __init__(self, load: Load) -> None:
        """Create a worker that has not connected yet."""
        self._load = load
        self._request = load.compile_request(load.tokens)
        self._chunks = 0
        self._answers = 0
        self._open = 0
        self._first_bytes: list[float] = []

    async def run(self) -> dict[str, Any]:
        """Run the load and return the figures of the measurement.

        Writes a line at its begin and end, then keeps the streams open until
        a line is read from standard input.
        """
        async with trio.open_nursery() as nursery:
            pause = self._load.warm_up / self._load.streams
            for index in range(self._load.streams):
                nursery.start_soon(
                    self._send_requests, self._compile_first_request(index)
                )
                await trio.sleep(pause)
            _write_line({'event': 'begin'})
            self._chunks = 0
            self._answers = 0
            self._first_bytes.clear()
            started = trio.current_time()
            await trio.sleep(self._load.duration)
            elapsed = trio.current_time() - started
            counts = (
                self._chunks,
                self._answers,
                self._first_bytes.copy(),
                self._open,
            )
            _write_line({'event': 'end'})
            await trio.to_thread.run_sync(sys.stdin.readline)
            nursery.cancel_scope.cancel()
        return dict(
            zip(
                ('chunks', 'answers', 'first_bytes', 'open'),
                counts,
                strict=True,
            ),
            elapsed=elapsed,
        )

    def _compile_first_request(self, index: int) -> bytes:
        """Return the first request of a stream.

        The lengths of the first answers are spread evenly up to the full one,
        so that later answers start at different times and not in bursts.
        """
        tokens = self._load.tokens * (index + 1) // self._load.streams
        return self._load.compile_request(max(1, tokens))

    async def _send_requests(self, request: bytes) -> None:
        stream = await trio.open_tcp_stream(_HOST, self._load.port)
        async with stream:
            while True:
                started = trio.current_time()
                await stream.send_all(request)
                await self._read_answer(stream, started)
                self._answers += 1
                self._open -= 1
                request = self._request

    async def _read_answer(
        self, stream: trio.SocketStream, started: float
    ) -> None:
        is_first = True
        tail = await self._receive(stream)
        _check_status(tail)
        self._open += 1
        received = tail
        while True:
            events = received.count(_EVENT_PREFIX)
            if is_first:
                is_first = not self._record_first(started, events)
            self._chunks += events
            if self._is_complete(tail):
                return
            received = await self._receive(stream)
            tail = tail[-len(_STREAM_END) :] + received

    async def _receive(self, stream: trio.SocketStream) -> bytes:
        received = bytes(await stream.receive_some(_READ_SIZE))
        if not received:
            raise RuntimeError('connection closed before the end of an answer')
        return received

    def _record_first(self, started: float, events: int) -> bool:
        """Record the time to the first event or, unstreamed, the first byte.

        The result is False while a streamed answer has no event yet.
        """
        if self._load.is_streamed and not events:
            return False
        self._first_bytes.append(trio.current_time() - started)
        return True

    def _is_complete(self, received: bytes) -> bool:
        if self._load.is_streamed:
            return received.endswith(_STREAM_END)
        return received.endswith(b'}') and b'"usage"' in received


def _check_status(received: bytes) -> None:
    """Fail the run on a refusal, since it would reduce the load."""
    if not received.startswith(_STATUS_LINE):
        raise RuntimeError(
            f'answer without status 200, begins with {received[:200]!r}'
        )


def _write_line(message: dict[str, Any]) -> None:
    sys.stdout.write(f'{json.dumps(message)}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    _write_line(trio.run(Worker(Load(**json.loads(sys.argv[1]))).run))
