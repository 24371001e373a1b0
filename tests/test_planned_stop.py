"""Tests of requests that arrive at the moment of a planned stop."""

import socket

import pytest
import trio
from tests.http_tools import GET, HOST, ServedPort, echo_path, serve

_CALLERS = 20
_TIMEOUT_SECONDS = 5


class Caller:
    """A blocking caller, whose bytes are sent without a task of the server."""

    def __init__(self, port: int) -> None:
        """Connect; the kernel accepts the connection for the server."""
        self._socket = socket.create_connection((HOST, port))

    def send(self, path: bytes) -> None:
        """Send a request."""
        self._socket.sendall(GET % path)

    async def receive(self) -> bytes:
        """Return all bytes until the end, ``RESET`` at the end of a reset."""
        self._socket.settimeout(_TIMEOUT_SECONDS)
        return await trio.to_thread.run_sync(self._read)

    def _read(self) -> bytes:
        parts = [b'']
        try:
            while part := self._socket.recv(65536):
                parts.append(part)
        except ConnectionResetError:
            parts.append(b'RESET')
        self._socket.close()
        return b''.join(parts)


async def stop_and_receive(
    served: ServedPort, callers: list[Caller]
) -> list[bytes]:
    """Drain the server at once and return what the callers received."""
    served.nursery.start_soon(served.server.drain)
    return [await caller.receive() for caller in callers]


def count_whole(answers: list[bytes]) -> int:
    """Return the number of answers that are complete."""
    return sum(
        answer.startswith(b'HTTP/1.1 200') and answer.endswith(b'0;')
        for answer in answers
    )


class TestRequestsAtStop:
    """Guards against requests that are cut off without an answer.

    A server that stopped closed its listener with connections that it had not
    accepted yet, and kept connections on which a request had just arrived.
    """

    @pytest.mark.parametrize('is_read', [False, True])
    def test_new_connections(self, is_read: bool) -> None:
        """Requests on connections that were just opened are answered.

        ``is_read``: the server has had time to accept and to read them.
        """
        answers: list[bytes] = []

        async def main() -> None:
            async with serve(echo_path) as served:
                callers = [Caller(served.port) for _ in range(_CALLERS)]
                for caller in callers:
                    caller.send(b'new')
                if is_read:
                    await trio.sleep(0.1)
                answers.extend(await stop_and_receive(served, callers))

        trio.run(main)
        assert count_whole(answers) == _CALLERS

    def test_kept_connections(self) -> None:
        """Requests that have just arrived on kept connections are answered."""
        answers: list[bytes] = []

        async def main() -> None:
            async with serve(echo_path) as served:
                callers = [Caller(served.port) for _ in range(_CALLERS)]
                for caller in callers:
                    caller.send(b'first')
                await trio.sleep(0.2)
                for caller in callers:
                    caller.send(b'second')
                answers.extend(await stop_and_receive(served, callers))

        trio.run(main)
        assert len(answers) == _CALLERS
        assert {answer.count(b'HTTP/1.1 200') for answer in answers} == {2}

    def test_idle_connections(self) -> None:
        """Connections without a request are closed, not reset."""
        answers: list[bytes] = []

        async def main() -> None:
            async with serve(echo_path) as served:
                callers = [Caller(served.port) for _ in range(_CALLERS)]
                await trio.sleep(0.1)
                answers.extend(await stop_and_receive(served, callers))

        trio.run(main)
        assert set(answers) == {b''}
