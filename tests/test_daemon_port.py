"""Tests of the daemon port and the links between daemons, on loopback."""

import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
import trio
import trustme

from clementinedyke.clock import MonotonicClock
from clementinedyke.control.messages import Member, MemberState
from clementinedyke.daemons import (
    ControlComponent,
    ControlOptions,
    DirectorySource,
)
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.daemons.server import bind_daemon_port
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.members.view import MemberView
from clementinedyke.reference_platform.tables import Write
from clementinedyke.standins.platform import PlatformStandin

RUN = 1_700_000_000_000
DIGEST = 'a' * 64
KEY = {'kind': 'key', 'name': 'k', 'customer': 'c', 'digest': DIGEST}
PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'

Check = Callable[['Cluster', trio.Nursery], Awaitable[None]]


class Cluster:
    """Control components and a platform stand-in in one process."""

    def __init__(self, options: ControlOptions) -> None:
        self.options = options
        self.platform = PlatformStandin()
        self.components: list[ControlComponent] = []
        self.scopes: list[trio.CancelScope] = []
        self.port = 0

    async def start(self, nursery: trio.Nursery, count: int) -> None:
        """Start the stand-in and a number of daemons."""
        self.port = await self.platform.start(nursery, '127.0.0.1', 0)
        for number in range(count):
            await self.add(nursery, f'zone-{number}')

    async def add(
        self,
        nursery: trio.Nursery,
        zone: str,
        options: ControlOptions | None = None,
    ) -> ControlComponent:
        """Start one daemon in a cancel scope of its own."""
        reader = PlatformReader(HttpClient(Address('127.0.0.1', self.port)))

        describe = partial(describe_member, zone)
        component = ControlComponent(describe, reader, options or self.options)
        self.scopes.append(await nursery.start(self._run, component))
        self.components.append(component)
        return component

    async def _run(
        self,
        component: ControlComponent,
        *,
        task_status: trio.TaskStatus[trio.CancelScope],
    ) -> None:
        async with trio.open_nursery() as nursery:
            await component.start(nursery)
            task_status.started(nursery.cancel_scope)

    def list_views(self) -> list[MemberView]:
        """Return the member view of each daemon."""
        nodes = [component.node for component in self.components]
        return [node.membership.view for node in nodes if node is not None]

    def get_states(self, daemon_id: str) -> list[MemberState | None]:
        """Return the state of a daemon in the view of each daemon."""
        members = [
            view.table.get_member(daemon_id) for view in self.list_views()
        ]
        return [member and member.state for member in members]

    def get_daemon_id(self, index: int) -> str:
        """Return the id of a daemon."""
        return self.list_views()[index].own.daemon_id

    def count_living_members(self) -> list[int]:
        """Return the number of living members in each view."""
        return [len(view.table.list_ring()) for view in self.list_views()]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true; the timeout only ends a broken test."""
    with trio.fail_after(20):
        while not condition():
            await trio.sleep(0.02)


def describe_member(zone: str, address: str) -> Member:
    """Return the record of a daemon at an address."""
    return Member(address, zone, 'r', zone, address, RUN, RUN)


def run_cluster(
    check: Check, options: ControlOptions | None = None, count: int = 3
) -> None:
    """Start daemons, run a check against them and stop them."""
    cluster = Cluster(options or ControlOptions(secret='s3cret'))
    trio.run(run_started, cluster, check, count)


async def run_started(cluster: Cluster, check: Check, count: int) -> None:
    """Start daemons in a nursery, run a check and cancel the nursery."""
    async with trio.open_nursery() as nursery:
        await cluster.start(nursery, count)
        await check(cluster, nursery)
        nursery.cancel_scope.cancel()


async def check_withdrawal_and_loss(
    cluster: Cluster, nursery: trio.Nursery
) -> None:
    """Check that a withdrawn key and a lost daemon become known to all."""
    await wait_until(lambda: cluster.count_living_members() == [3, 3, 3])
    tables = cluster.platform.tables
    source = DirectorySource(cluster.components[2], MonotonicClock())
    for withdrawn in (False, True):
        record = {**KEY, 'withdrawn': withdrawn}
        tables.commit([], [Write('records', 'k', record)])
    await wait_until(lambda: get_values(cluster) == [True for _ in range(3)])
    key = source.get_directory().get_key(DIGEST)
    assert key is not None and key.withdrawn
    assert source.is_key_state_fresh()
    await wait_until(source.is_ready)
    lost = cluster.get_daemon_id(2)
    cluster.scopes[2].cancel()
    await wait_until(
        lambda: (
            cluster.get_states(lost)[:2] == [MemberState.DEAD, MemberState.DEAD]
        )
    )


async def check_simultaneous_start(
    cluster: Cluster, nursery: trio.Nursery
) -> None:
    """Check that daemons that read the seeds before any registered connect."""
    async with trio.open_nursery() as starting:
        for zone in ('zone-a', 'zone-b', 'zone-c'):
            starting.start_soon(cluster.add, nursery, zone)
    await wait_until(lambda: cluster.count_living_members() == [3, 3, 3])


async def check_leave(cluster: Cluster, nursery: trio.Nursery) -> None:
    """Check that all daemons see the leave and the seed row is removed."""
    await wait_until(lambda: cluster.count_living_members() == [3, 3, 3])
    await cluster.components[0].drain()
    left = cluster.get_daemon_id(0)
    await wait_until(
        lambda: cluster.get_states(left) == [MemberState.LEFT for _ in range(3)]
    )
    assert cluster.platform.tables.get_row('members', left) is None


async def check_foreign_certificate(
    cluster: Cluster, nursery: trio.Nursery
) -> None:
    """Check that a daemon of another authority does not join."""
    await wait_until(lambda: cluster.count_living_members() == [2, 2])
    with TemporaryDirectory() as directory:
        foreign_options = create_tls_options(Path(directory) / 'stranger')
        await cluster.add(nursery, 'zone-9', foreign_options)
    await trio.sleep(1.5)
    assert cluster.count_living_members() == [2, 2, 1]


async def check_wrong_secret(cluster: Cluster, nursery: trio.Nursery) -> None:
    """Check that a daemon with a wrong secret does not join."""
    options = ControlOptions(secret='wrong')
    await cluster.add(nursery, 'zone-9', options)
    await trio.sleep(1.5)
    assert cluster.count_living_members() == [1, 1]


async def check_malformed_bytes(
    cluster: Cluster, nursery: trio.Nursery
) -> None:
    """Check that malformed bytes neither stop a daemon nor leak connections."""
    source = random.Random(7)
    port = int(cluster.get_daemon_id(0).rpartition(':')[2])
    base = cluster.components[0].connections
    for attempt in range(60):
        noise = source.randbytes(source.randrange(400))
        frame = bytes([0, 0, source.randrange(60), attempt % 12])
        start = (b'', PREFACE, b''.join([PREFACE, frame]))[attempt % 3]
        await send_bytes(port, b''.join([start, noise]))
    await wait_until(lambda: cluster.components[0].connections <= base + 2)
    await wait_until(lambda: cluster.count_living_members() == [2, 2])


class TestCluster:
    """Guards against control cores that work only in the simulated network."""

    def test_simultaneous_start(self) -> None:
        """Daemons that are started at the same time must find each other."""
        run_cluster(check_simultaneous_start, count=0)

    def test_loss_and_withdrawn_key(self) -> None:
        """All daemons learn of a killed daemon and of a withdrawn key."""

        run_cluster(check_withdrawal_and_loss)

    def test_announced_leave(self) -> None:
        """A planned stop is announced and removes the daemon's row."""

        run_cluster(check_leave)

    def test_mutual_tls(self, tmp_path: Path) -> None:
        """A daemon with a certificate of another authority cannot join."""
        known = create_tls_options(tmp_path / 'known')

        run_cluster(check_foreign_certificate, known, 2)


def get_values(cluster: Cluster) -> list[object]:
    """Return whether key ``k`` is withdrawn, as known to each daemon."""
    nodes = [component.node for component in cluster.components]
    cores = [node.configuration for node in nodes if node is not None]
    rows = [core.feed.records.rows.get('k') for core in cores]
    return [row and row.value['withdrawn'] for row in rows]


def create_tls_options(directory: Path) -> ControlOptions:
    """Issue a certificate of a new authority and return options with it."""
    directory.mkdir()
    authority = trustme.CA()
    certificate = authority.issue_cert('127.0.0.1')
    paths = [str(directory / name) for name in ('ca', 'cert', 'key')]
    authority.cert_pem.write_to_path(paths[0])
    certificate.cert_chain_pems[0].write_to_path(paths[1])
    certificate.private_key_pem.write_to_path(paths[2])
    return ControlOptions(
        authority=paths[0], certificate=paths[1], private_key=paths[2]
    )


class TestDaemonPort:
    """Guards against unauthorized peers and two processes on one address."""

    def test_second_bind_fails(self) -> None:
        """A second process cannot listen until the first socket is closed."""
        first = bind_daemon_port('127.0.0.1', 0)
        port = first.getsockname()[1]
        with pytest.raises(OSError):
            bind_daemon_port('127.0.0.1', port)
        first.close()
        bind_daemon_port('127.0.0.1', port).close()

    def test_wrong_secret(self) -> None:
        """A daemon with a wrong secret is not accepted."""

        run_cluster(check_wrong_secret, count=1)

    def test_hostile_bytes(self) -> None:
        """Malformed frames neither stop the daemon nor leak connections."""

        run_cluster(check_malformed_bytes, count=2)


async def send_bytes(port: int, data: bytes) -> None:
    """Send bytes and close the connection."""
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(stream.aclose)
        try:
            await stream.send_all(data)
            with trio.move_on_after(0.05):
                await stream.receive_some(4096)
        except (OSError, trio.BrokenResourceError):
            return
