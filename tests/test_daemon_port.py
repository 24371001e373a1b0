"""Tests of the daemon port and its links over loopback."""

import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
import trio
import trustme

from clementinedyke.control_messages import Member, MemberState
from clementinedyke.daemons import ControlComponent, ControlOptions
from clementinedyke.daemons.platform_reader import PlatformReader
from clementinedyke.daemons.server import bind_daemon_port
from clementinedyke.http_client import Address, HttpClient
from clementinedyke.platform.tables import Write
from clementinedyke.standins.platform import PlatformStandin

RUN = 1_700_000_000_000


class Cluster:
    """Control components in one process with one platform stand-in."""

    def __init__(self, options: ControlOptions) -> None:
        self.options = options
        self.platform = PlatformStandin()
        self.components: list[ControlComponent] = []
        self.scopes: list[trio.CancelScope] = []
        self.port = 0

    async def start(self, nursery: trio.Nursery, count: int) -> None:
        """Start the stand-in and the daemons."""
        self.port = await self.platform.start(nursery, '127.0.0.1', 0)
        for number in range(count):
            await self.add(nursery, f'zone-{number}')

    async def add(
        self,
        nursery: trio.Nursery,
        zone: str,
        options: ControlOptions | None = None,
    ) -> ControlComponent:
        """Start one daemon in a scope of its own."""
        reader = PlatformReader(HttpClient(Address('127.0.0.1', self.port)))

        def describe(address: str) -> Member:
            return Member(address, zone, 'r', zone, address, RUN, RUN)

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

    def get_states(self, daemon_id: str) -> list[MemberState | None]:
        """Return the state of a daemon in every other daemon's view."""
        members = [
            component.node.membership.view.table.get_member(daemon_id)
            for component in self.components
            if component.node is not None
        ]
        return [member and member.state for member in members]

    def get_id(self, place: int) -> str:
        """Return the identity of a daemon."""
        node = self.components[place].node
        assert node is not None
        return node.membership.view.own.daemon_id

    def count_living(self) -> list[int]:
        """Return the number of living members in each view."""
        return [
            len(component.node.membership.view.table.list_ring())
            for component in self.components
            if component.node is not None
        ]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; the limit only ends a broken test."""
    with trio.fail_after(20):
        while not condition():
            await trio.sleep(0.02)


def run_cluster(
    check: Callable[[Cluster, trio.Nursery], object],
    options: ControlOptions | None = None,
    count: int = 3,
) -> None:
    """Run a check against started daemons, then stop them."""

    async def run() -> None:
        cluster = Cluster(options or ControlOptions(secret='s3cret'))
        async with trio.open_nursery() as nursery:
            await cluster.start(nursery, count)
            await check(cluster, nursery)  # type: ignore[misc]
            nursery.cancel_scope.cancel()

    trio.run(run)


class TestCluster:
    """Guards against cores that agree only in the fake."""

    def test_loss_and_withdrawn_key(self) -> None:
        """A killed daemon is seen, and a withdrawn key reaches all."""

        async def check(cluster: Cluster, nursery: trio.Nursery) -> None:
            await wait_until(lambda: cluster.count_living() == [3, 3, 3])
            tables = cluster.platform.tables
            for withdrawn in (False, True):
                tables.commit([], [Write('records', 'k', {'w': withdrawn})])
            await wait_until(lambda: get_values(cluster) == [{'w': True}] * 3)
            lost = cluster.get_id(2)
            cluster.scopes[2].cancel()
            await wait_until(
                lambda: cluster.get_states(lost)[:2] == [MemberState.DEAD] * 2
            )

        run_cluster(check)

    def test_announced_leave(self) -> None:
        """A planned stop needs no failure detection and removes its row."""

        async def check(cluster: Cluster, nursery: trio.Nursery) -> None:
            await wait_until(lambda: cluster.count_living() == [3, 3, 3])
            await cluster.components[0].drain()
            left = cluster.get_id(0)
            await wait_until(
                lambda: cluster.get_states(left) == [MemberState.LEFT] * 3
            )
            assert cluster.platform.tables.get_row('members', left) is None

        run_cluster(check)

    def test_mutual_tls(self, tmp_path: Path) -> None:
        """Daemons with certificates meet; one of another authority does not."""
        known = create_tls_options(tmp_path / 'a')
        stranger = create_tls_options(tmp_path / 'b')

        async def check(cluster: Cluster, nursery: trio.Nursery) -> None:
            await wait_until(lambda: cluster.count_living() == [2, 2])
            await cluster.add(nursery, 'zone-9', stranger)
            await trio.sleep(1.5)
            assert cluster.count_living() == [2, 2, 1]

        run_cluster(check, known, 2)


def get_values(cluster: Cluster) -> list[object]:
    """Return the value of row ``k`` on every daemon."""
    rows = [
        component.node.configuration.feed.records.rows.get('k')
        for component in cluster.components
        if component.node is not None
    ]
    return [row and row.value for row in rows]


def create_tls_options(directory: Path) -> ControlOptions:
    """Write a fresh authority and certificate and return their options."""
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
    """Guards against strangers and against two processes on one address."""

    def test_second_bind_fails(self) -> None:
        """The bind proves that no earlier process listens."""
        first = bind_daemon_port('127.0.0.1', 0)
        port = first.getsockname()[1]
        with pytest.raises(OSError):
            bind_daemon_port('127.0.0.1', port)
        first.close()
        bind_daemon_port('127.0.0.1', port).close()

    def test_wrong_secret(self) -> None:
        """A daemon without the secret is not heard."""

        async def check(cluster: Cluster, nursery: trio.Nursery) -> None:
            options = ControlOptions(secret='wrong')
            await cluster.add(nursery, 'zone-9', options)
            await trio.sleep(1.5)
            assert cluster.count_living() == [1, 1]

        run_cluster(check, count=1)

    def test_hostile_bytes(self) -> None:
        """Malformed frames neither end the daemon nor keep connections."""
        source = random.Random(7)
        preface = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'

        async def check(cluster: Cluster, nursery: trio.Nursery) -> None:
            port = int(cluster.get_id(0).rpartition(':')[2])
            base = cluster.components[0].connections
            for turn in range(60):
                noise = source.randbytes(source.randrange(400))
                frame = b'\0\0' + bytes([source.randrange(60), turn % 12])
                start = (b'', preface, preface + frame)[turn % 3]
                await send_bytes(port, start + noise)
            await wait_until(
                lambda: cluster.components[0].connections <= base + 2
            )
            await wait_until(lambda: cluster.count_living() == [2, 2])

        run_cluster(check, count=2)


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
