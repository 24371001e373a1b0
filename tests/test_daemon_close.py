"""Tests of closing the daemon port while connections arrive."""

import asyncio

import pytest

from clementinedyke.clock import MonotonicClock
from clementinedyke.daemons import server as server_module
from clementinedyke.daemons.options import ControlOptions
from clementinedyke.daemons.server import ControlServer

_LIMIT_SECONDS = 5


class LateTransport:
    """Connection that asyncio reports after the port was closed."""

    def __init__(self) -> None:
        """Create an open connection."""
        self.is_aborted = asyncio.Event()

    def abort(self) -> None:
        """Abort the connection, which ends its handler."""
        self.is_aborted.set()


class ClosingServer:
    """grpclib server whose close waits for the handler of a late connection."""

    def __init__(self, owner: ControlServer) -> None:
        """Create a server of a daemon port."""
        self._owner = owner
        self._transport = LateTransport()

    async def start(self, **options: object) -> None:
        """Begin to listen."""

    def close(self) -> None:
        """Stop listening; report an accepted connection shortly afterwards."""
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, self._owner.admit, self._transport)

    async def wait_closed(self) -> None:
        """Wait for the handlers of all connections."""
        await self._transport.is_aborted.wait()


class TestServerClose:
    """Guards against a close that never returns."""

    def test_connection_accepted_during_close(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A connection that is accepted during the close must be aborted too.

        Otherwise daemons that stop at the same time may hang for ever, which
        was seen in 5 of 24 runs of ``TestCluster.test_simultaneous_start``.
        """
        monkeypatch.setattr(server_module, '_BoundedServer', ClosingServer)

        async def scenario() -> None:
            port = ControlServer(
                ControlOptions(), MonotonicClock(), lambda *message: None
            )
            await port.start(server_module.bind_daemon_port('127.0.0.1', 0))
            await asyncio.wait_for(port.close(), _LIMIT_SECONDS)

        asyncio.run(scenario())
