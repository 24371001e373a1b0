"""Tests of idle connections that were dropped by the peer."""

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


class ResettingServer:
    """Answers one request per connection and resets it after the second."""

    def __init__(self, reset_delay: float) -> None:
        """Create a server.

        :param reset_delay: seconds between the second request of a connection
            and its reset.
        """
        self._reset_delay = reset_delay
        self.connections = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection."""
        self.connections += 1
        await stream.receive_some()
        await stream.send_all(_ANSWER)
        await stream.receive_some()
        await trio.sleep(self._reset_delay)
        await trio.aclose_forcefully(stream)


async def request_after_idle_times(
    server: ResettingServer, idle_seconds: float
) -> AnswerLostError:
    """Send four requests and return the error of the second one.

    The connection is idle before the second and the fourth request.
    """
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, server.serve, 0, host='127.0.0.1')
        )
        port = listeners[0].socket.getsockname()[1]
        async with HttpClient(Address('127.0.0.1', port)) as client:
            request = HttpRequest('GET', '/')
            await client.request(request, 1000)
            await trio.sleep(idle_seconds)
            with pytest.raises(AnswerLostError) as error:
                await client.request(request, 1000)
            await client.request(request, 1000)
            await trio.sleep(idle_seconds)
            with suppress(AnswerLostError):
                await client.request(request, 1000)
        nursery.cancel_scope.cancel()
    return error.value


class TestIdleConnectionReset:
    """Guards against repeated losses of requests on idle connections."""

    def test_reset_at_once(self) -> None:
        """After a drop, connections idle for as long are not reused."""
        server = ResettingServer(0)
        error = trio.run(request_after_idle_times, server, 0.15)
        assert isinstance(error, ConnectionDroppedError)
        assert server.connections == 3

    def test_reset_while_processing(self) -> None:
        """A reset during processing is not counted as a drop."""
        server = ResettingServer(0.2)
        error = trio.run(request_after_idle_times, server, 0.15)
        assert not isinstance(error, ConnectionDroppedError)
        assert server.connections == 2


class TestIdleTimeLimit:
    """Guards against limits that never expire or have no effect."""

    def test_limit_after_resets(self) -> None:
        """The limit is at most a quarter of the idle time of a drop.

        It never falls below 100 ms.
        """
        limit = IdleTimeLimit()
        assert limit.get_limit(0) > 1000000
        limit.record_reset(1200, 1000)
        assert limit.get_limit(1000) <= 300
        limit.record_reset(250, 2000)
        assert limit.get_limit(2000) >= 100

    def test_limit_expires(self) -> None:
        """The limit is removed a minute after the last drop."""
        limit = IdleTimeLimit()
        limit.record_reset(1200, 1000)
        assert limit.get_limit(62000) > 1000000

    def test_reset_of_new_connection(self) -> None:
        """A reset of a new connection suspends the detection of drops.

        When 36 engines failed during processing, daemons counted the resets
        as drops and opened 11472 connections instead of 9257 that day.
        """
        limit = IdleTimeLimit()
        assert limit.record_reset(1200, 1000)
        assert not limit.record_reset(None, 1500)
        assert not limit.record_reset(1200, 2000)
        assert limit.get_limit(2000) > 1000000
        assert limit.record_reset(1200, 9000)
