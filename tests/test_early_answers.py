"""Tests of endpoints that answer and end before they have read a request."""

import socket
from contextlib import suppress

import pytest
import trio
from tests.caller_tools import serve_callers
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.test_lost_links import open_with_links

from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import HttpResponse
from clementinedyke.http.socket_io import set_reset_on_close

_HOST = '127.0.0.1'
_ANSWER = (
    b'HTTP/1.1 200 OK\r\nX-Server-Signature: signed\r\n'
    b'X-Request-Id: r-1\r\nContent-Type: text/event-stream\r\n\r\n'
    b'id: 1\ndata: x\n\n'
)
#: Buffer of the endpoint; what it does not read stays in the sender's.
_RECEIVE_BUFFER = 4096
#: The first fits in the buffers, so that only the reader meets the reset.
_SIZES = (5000, 100_000, 4_000_000)
_READ_BYTES = 2000
_RESET_DELAY_SECONDS = 0.05
_ROUTES = [('/book/1', None), ('/read/1', None), ('/ask/1', 'decode')]


class EarlyEndpoint:
    """Endpoint that sends part of an answer while a request arrives.

    The answer has neither a length nor chunks. The connection is then reset
    after a moment, or closed with unread bytes, which resets it too.
    """

    def __init__(self, ending: str) -> None:
        """Create the endpoint; ``ending`` is ``reset`` or ``unread``."""
        self._ending = ending
        #: Requests that were answered.
        self.answered = 0

    async def start(self, nursery: trio.Nursery) -> int:
        """Start the endpoint in a nursery and return its port."""
        listener = trio.socket.socket()
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER
        )
        await listener.bind((_HOST, 0))
        listener.listen()
        nursery.start_soon(
            trio.serve_listeners, self._serve, [trio.SocketListener(listener)]
        )
        return int(listener.getsockname()[1])

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            if not await stream.receive_some(_READ_BYTES):
                return
            self.answered += 1
            await stream.send_all(_ANSWER)
            await trio.sleep(_RESET_DELAY_SECONDS)
        if self._ending == 'reset':
            set_reset_on_close(stream)


@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize('ending', ['reset', 'unread'])
class TestResetUploads:
    """Guards against a part of an answer that looks complete.

    An endpoint answered a long upload at once, sent a part of its body and
    reset the connection. A client that takes the error while it writes finds
    a regular end when it reads afterwards.
    """

    @pytest.mark.parametrize('is_forwarded', [False, True])
    @pytest.mark.parametrize(('path', 'stage'), _ROUTES)
    def test_entry_daemon(
        self,
        ending: str,
        size: int,
        path: str,
        stage: str | None,
        is_forwarded: bool,
    ) -> None:
        """The outcome is unknown, directly and over another daemon."""
        endpoint = EarlyEndpoint(ending)
        answers: list[HttpResponse] = []

        async def scenario(env: EntryEnvironment) -> None:
            port = await endpoint.start(env.nursery)
            _, links = await open_with_links(env, port, stage)
            if is_forwarded:
                links.cut('refuse')
            # The second daemon has no links that can be cut.
            daemon = 0 if is_forwarded else 1
            with suppress(AnswerLostError):
                answers.append(
                    await env.send_request(
                        path, body=b'x' * size, daemon=daemon
                    )
                )

        ScenarioRunner().run(scenario)
        assert endpoint.answered
        assert all(answer.status == 502 for answer in answers)

    @pytest.mark.parametrize(
        'path', ['/services/ledger/slots', '/services/desk/prices']
    )
    def test_serve(self, ending: str, size: int, path: str) -> None:
        """Callers of serve get no such answer either."""
        endpoint = EarlyEndpoint(ending)
        answers: list[HttpResponse] = []

        async def send(port: int) -> None:
            async with serve_callers([port]) as caller_port:
                with suppress(AnswerLostError):
                    answers.append(await caller_port.post(path, 'x' * size))

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await send(await endpoint.start(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main)
        assert endpoint.answered
        assert all(answer.status == 502 for answer in answers)
