"""Tests of kept connections that their peer has dropped."""

from contextlib import suppress
from functools import partial

import pytest
import trio

from clementinedyke.exceptions import (
    AnswerLostError,
    ConnectionDroppedError,
)
from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.http.idle_time_limit import IdleTimeLimit

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class Peer:
    """Answers one request on each connection and drops it at the next."""

    def __init__(self, patience: float) -> None:
        """Create a peer.

        :param patience: seconds for which the second request is worked on
            before the connection is reset.
        """
        self._patience = patience
        self.connections = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection."""
        self.connections += 1
        await stream.receive_some()
        await stream.send_all(_ANSWER)
        await stream.receive_some()
        await trio.sleep(self._patience)
        await trio.aclose_forcefully(stream)


async def lose_answer(peer: Peer, rest_seconds: float) -> AnswerLostError:
    """Lose the second answer of a connection, then send two more requests."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, peer.serve, 0, host='127.0.0.1')
        )
        port = listeners[0].socket.getsockname()[1]
        async with HttpClient(Address('127.0.0.1', port)) as client:
            request = HttpRequest('GET', '/')
            await client.request(request, 1000)
            await trio.sleep(rest_seconds)
            with pytest.raises(AnswerLostError) as lost:
                await client.request(request, 1000)
            await client.request(request, 1000)
            await trio.sleep(rest_seconds)
            with suppress(AnswerLostError):
                await client.request(request, 1000)
        nursery.cancel_scope.cancel()
    return lost.value


class TestDroppedConnection:
    """Guards against losing one request after the other to old connections."""

    def test_dropped(self) -> None:
        """After one loss, connections that rested as long are not used."""
        peer = Peer(0)
        lost = trio.run(lose_answer, peer, 0.15)
        assert isinstance(lost, ConnectionDroppedError)
        assert peer.connections == 3

    def test_broken_at_work(self) -> None:
        """A peer that breaks off work has not dropped the connection."""
        peer = Peer(0.2)
        lost = trio.run(lose_answer, peer, 0.15)
        assert not isinstance(lost, ConnectionDroppedError)
        assert peer.connections == 2


class TestConnectionRest:
    """Guards against limits that never end or never bind."""

    def test_limit(self) -> None:
        """One drop bounds the rest well below what was dropped."""
        rest = IdleTimeLimit()
        assert rest.get_limit(0) > 1000000
        rest.record_reset(1200, 1000)
        assert rest.get_limit(1000) <= 300
        rest.record_reset(250, 2000)
        assert rest.get_limit(2000) >= 100

    def test_forgotten(self) -> None:
        """A peer that stopped dropping is trusted again after a minute."""
        rest = IdleTimeLimit()
        rest.record_reset(1200, 1000)
        assert rest.get_limit(62000) > 1000000

    def test_broken_on_fresh_connections(self) -> None:
        """Peers that break off work are no reason for new connections.

        While 36 engines lost their answers, daemons took old connections as
        dropped and opened 11472 instead of 9257 on that day.
        """
        rest = IdleTimeLimit()
        assert rest.record_reset(1200, 1000)
        assert not rest.record_reset(None, 1500)
        assert not rest.record_reset(1200, 2000)
        assert rest.get_limit(2000) > 1000000
        assert rest.record_reset(1200, 9000)
