"""Tests of how changes reach the parts of a daemon, and what waiting costs."""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from types import SimpleNamespace

import pytest
import trio
from result import Ok, Result
from tests.entry_samples import (
    create_configuration,
    create_endpoint,
    create_journal,
    create_service,
)
from tests.test_entry_endpoints import create_view
from trio.testing import MockClock

from clementinedyke.clock import ManualClock
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.peer_network import PeerNetwork
from clementinedyke.entry.sync_component import SyncComponent
from clementinedyke.entry.watch import StoredRow
from clementinedyke.http.client import Address

_READY = StoredRow('i-1', 1, b'ready')
_REMOVED = StoredRow('i-1', 2, None)
_BURST = 100
_DATAGRAMS_IN_A_ROW = 16


class TrioClock:
    """Clock of the product that follows the virtual time of trio."""

    def get_now(self) -> int:
        """Return the current time in milliseconds."""
        return round(trio.current_time() * 1000)


def decode_services(content: bytes) -> Result:
    """Return a configuration with services; its version is their number."""
    names = content.decode().split()
    services = {name: create_service(name) for name in names}
    return Ok(create_configuration(len(names), services=services))


def decode_endpoint(endpoint_id: str, content: bytes) -> Result:
    """Return an endpoint at an address of all; its content is its service."""
    endpoint = create_endpoint(
        endpoint_id, service=content.decode(), started_at=int(endpoint_id[2:])
    )
    return Ok(replace(endpoint, address=Address('127.0.0.1', 1)))


class SyncWorld:
    """A sync component with views, and what it passes on."""

    def __init__(self) -> None:
        """Create the component, whose other parts do nothing."""
        self.view = create_view(decode=decode_endpoint)
        self.configuration = ConfigurationView(
            'config', decode_services, create_journal(ManualClock())
        )
        self.view.get_services = self.configuration.get_services
        self.passed: list[tuple[int, list[str]]] = []
        self.component = SyncComponent(
            self.configuration,
            self.view,
            self,
            self,
            SimpleNamespace(set_bounds=bool),
            (self.record,),
            TrioClock(),
        )

    def set_endpoints(self, endpoints: list[EntryEndpoint]) -> None:
        """Do nothing in the place of the placement."""

    async def close_stale(self, run_ids: set[str]) -> None:
        """Do nothing in the place of the transport."""

    def record(self, endpoints: Iterable[EntryEndpoint], now: int) -> None:
        """Note what was passed on, and when."""
        ids = [endpoint.endpoint_id for endpoint in endpoints]
        self.passed.append((TrioClock().get_now(), ids))


def run_virtual(scenario: Callable[[SyncWorld], Awaitable[None]]) -> SyncWorld:
    """Run a scenario beside the component on virtual time."""

    async def run() -> SyncWorld:
        world = SyncWorld()
        async with trio.open_nursery() as nursery:
            await world.component.start(nursery)
            await scenario(world)
            nursery.cancel_scope.cancel()
        return world

    return trio.run(run, clock=MockClock(autojump_threshold=0))


class TestSyncComponent:
    """Guards against late changes, and against waiting that costs a core.

    A task that looked for changes 50 times a second took a third of the
    processor time of an idle daemon.
    """

    def test_change_is_passed_on(self) -> None:
        """A new and a removed endpoint are known within 50 ms."""

        async def scenario(world: SyncWorld) -> None:
            await trio.sleep(5.3)
            world.view.apply_rows((_READY,), 5300)
            await trio.sleep(0.05)
            world.view.apply_rows((_REMOVED,), 5350)
            await trio.sleep(0.05)

        world = run_virtual(scenario)
        assert [ids for _, ids in world.passed] == [['i-1'], []]

    def test_added_service(self) -> None:
        """An endpoint of a service that is added has its address at once.

        The one that had the address before got the requests of the service
        that it no longer runs, until any entry changed.
        """

        async def scenario(world: SyncWorld) -> None:
            for number, service in enumerate(('chat', 'ledger'), 1):
                world.view.apply_rows(
                    (StoredRow(f'i-{number}', number, service.encode()),), 0
                )
            world.configuration.apply_content(b'chat', 0)
            await trio.sleep(3)
            world.configuration.apply_content(b'chat ledger', 3000)
            await trio.sleep(0.05)

        world = run_virtual(scenario)
        assert [ids for _, ids in world.passed][-2:] == [
            ['i-1', 'i-2'],
            ['i-2'],
        ]

    def test_end_of_hold(self) -> None:
        """An endpoint that is kept in an outage is dropped in time."""

        async def scenario(world: SyncWorld) -> None:
            world.view.apply_rows((_READY,), 0)
            await trio.sleep(5)
            world.view.record_failure(5000)
            world.view.apply_rows((_REMOVED,), 5000)
            await trio.sleep(5)

        world = run_virtual(scenario)
        dropped_at, ids = world.passed[-1]
        assert not ids
        assert dropped_at in range(6700, 6751)

    def test_idle_component_rests(self) -> None:
        """Without a change there are at most 2 steps a second."""
        listed: list[int] = []

        async def scenario(world: SyncWorld) -> None:
            list_endpoints = world.view.list_endpoints

            def count(now: int) -> list[EntryEndpoint]:
                listed.append(now)
                return list_endpoints(now)

            world.view.list_endpoints = count
            await trio.sleep(30)

        run_virtual(scenario)
        assert len(listed) <= 60


class TestPeerNetwork:
    """Guards against a socket that keeps the other tasks from running."""

    def test_other_tasks_run(self) -> None:
        """Tasks run between the datagrams of a burst, and none is lost.

        In what order trio runs two tasks is random, so that up to two batches
        of 16 datagrams may come between two turns of the other task.
        """
        turns: list[int] = [0]
        received: Counter[int] = Counter()

        async def count_turns(task_status: trio.TaskStatus[None]) -> None:
            task_status.started()
            while True:
                turns[0] += 1
                await trio.lowlevel.checkpoint()

        async def scenario() -> None:
            network = PeerNetwork(create_journal(ManualClock()))
            port = await network.bind(Address('127.0.0.1', 0))
            for _ in range(_BURST):
                await network.send(b'news', [Address('127.0.0.1', port)])
            async with trio.open_nursery() as nursery:
                await nursery.start(count_turns)
                for _ in range(_BURST):
                    await network.receive()
                    received[turns[0]] += 1
                nursery.cancel_scope.cancel()
            network.close()

        trio.run(scenario)
        assert max(received.values()) <= 2 * _DATAGRAMS_IN_A_ROW

    def test_close_ends_receive(self) -> None:
        """A task that waits for a datagram learns that the socket is closed."""

        async def scenario() -> None:
            network = PeerNetwork(create_journal(ManualClock()))
            await network.bind(Address('127.0.0.1', 0))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(close_soon, network)
                with pytest.raises(trio.ClosedResourceError):
                    await network.receive()
            with pytest.raises(trio.ClosedResourceError):
                await network.receive()

        async def close_soon(network: PeerNetwork) -> None:
            await trio.sleep(0.01)
            network.close()

        trio.run(scenario)
