"""Cluster of real daemons and stand-ins of their peers in one process."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio

from clementinedyke.authority.dependencies import AuthorityTiming
from clementinedyke.daemon import Daemon
from clementinedyke.daemons.platform_reader import RECORDS_TABLE
from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.leases.types import LeaseTiming
from clementinedyke.records.core import get_digest
from clementinedyke.reference_platform.tables import Write
from clementinedyke.settings.core import Settings
from clementinedyke.standins.engine import EngineFaults, EngineStandin
from clementinedyke.standins.platform import PlatformStandin

HOST = '127.0.0.1'
KEY = 'secret-of-the-customer'
TIMING = AuthorityTiming(
    LeaseTiming(3000, 1000), window_length=1000, flush_interval=200
)
CRASH_MARKER = 'crash-the-engine'
FAULTS = EngineFaults(crash_marker=CRASH_MARKER.encode())
#: Ends a broken test. Far above any expected wait, so that a slow host does
#: not fail a test.
TIMEOUT_SECONDS = 40


async def wait_for(condition: Callable[[], Any]) -> None:
    """Wait until a condition is true; fail after ``TIMEOUT_SECONDS``."""
    with trio.fail_after(TIMEOUT_SECONDS):
        while not condition():
            await trio.sleep(0.02)


class DaemonCluster:
    """Daemons with a platform stand-in and engines of one service."""

    def __init__(self, engines: int = 2) -> None:
        """Create the stand-ins; ``start`` serves them."""
        self.platform = PlatformStandin()
        self.engines = [
            EngineStandin('m', faults=FAULTS) for _ in range(engines)
        ]
        self.daemons: list[Daemon] = []
        self._port = 0

    async def start(self, nursery: trio.Nursery, daemons: int) -> None:
        """Serve the stand-ins and run a number of daemons."""
        for index, engine in enumerate(self.engines):
            port = await engine.start(nursery, HOST, 0)
            self.platform.endpoints.append(
                {
                    'endpoint_id': f'engine-{index}',
                    'service': 'chat',
                    'availability_zone': 'zone-a',
                    'address': f'{HOST}:{port}',
                }
            )
        self.write('service', 'chat', backend='model', models=['m'])
        self.write('customer', 'lofts', services=['chat'])
        self.write('key', 'k', customer='lofts', digest=get_digest(KEY))
        self.write(
            'capacity',
            'chat-a',
            service='chat',
            availability_zone='zone-a',
            minimum=len(self.engines) + 1,
            maximum=len(self.engines) + 1,
        )
        self._port = await self.platform.start(nursery, HOST, 0)
        for number in range(daemons):
            await self.add_daemon(nursery, f'host-{number}')

    async def add_daemon(self, nursery: trio.Nursery, host: str) -> Daemon:
        """Start a daemon and wait until it is ready."""
        settings = Settings(
            role_orders='on',
            host_id=host,
            port=0,
            operator_port=0,
            daemon_port=0,
            platform=f'{HOST}:{self._port}',
        )
        daemon = Daemon(settings, TIMING)
        self.daemons.append(daemon)
        await nursery.start(daemon.application.run)
        with trio.fail_after(TIMEOUT_SECONDS):
            await daemon.wait_until_ready()
        return daemon

    def write(self, kind: str, name: str, **fields: Any) -> None:
        """Write a record."""
        record = {'kind': kind, 'name': name, **fields}
        write = Write(RECORDS_TABLE, f'{kind}/{name}', record)
        self.platform.tables.commit([], [write])

    def withdraw(self, kind: str, name: str) -> None:
        """Delete a record."""
        write = Write(RECORDS_TABLE, f'{kind}/{name}')
        self.platform.tables.commit([], [write])

    def get(self, table: str, key: str) -> Any:
        """Return the value of a row, None if it does not exist."""
        row = self.platform.tables.get_row(table, key)
        return row.value if row else None

    def get_holder(self, scope: str) -> Any:
        """Return the holder of a lease, None if nobody holds it."""
        row = self.get('leases', scope)
        return row['holder'] if row else None

    def get_reports(self) -> list[tuple[int, dict[str, int]]]:
        """Return the window and counts of each usage report, as received."""
        return [
            (int(path.rpartition('/')[2]), json.loads(body))
            for path, body, _ in self.platform.stored_requests
            if path.startswith('/v1/usage/reports/')
        ]

    async def chat(self, daemon: Daemon, **fields: Any) -> int:
        """Send a chat request to a daemon and return the HTTP status."""
        body = {'model': 'm', 'messages': [{'role': 'user'}], **fields}
        request = HttpRequest(
            'POST',
            '/v1/chat/completions',
            [(b'Authorization', f'Bearer {KEY}'.encode())],
            json.dumps(body).encode(),
        )
        port = daemon.caller_port.bound_port
        async with HttpClient(Address(HOST, port)) as client:
            return (
                await client.request(request, TIMEOUT_SECONDS * 1000)
            ).status


@asynccontextmanager
async def run_daemon_cluster(
    daemons: int = 1, engines: int = 2
) -> AsyncIterator[DaemonCluster]:
    """Run daemons and stand-ins for the duration of a test."""
    cluster = DaemonCluster(engines)
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery, daemons)
        yield cluster
        nursery.cancel_scope.cancel()
