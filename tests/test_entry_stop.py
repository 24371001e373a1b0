"""Tests of a planned stop of a daemon that has lost the store."""

import base64
import random

import msgspec
import pytest
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.entry_samples import BOUNDS
from tests.link import Link

from clementinedyke.entry.application import EntryApplication
from clementinedyke.http.client import Address
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.messages import (
    LeaseRead,
    LeaseTick,
    LeaseWritten,
    OrdersClosed,
    ReadLease,
    StopRequested,
    WriteLease,
)
from clementinedyke.leases.types import Identity, LeaseRow
from clementinedyke.rows import ABSENT

_POLL_SECONDS = 0.05


async def wait_until_printed(
    text: str, capfd: pytest.CaptureFixture[str]
) -> None:
    """Wait until the daemons have printed a text."""
    printed = ''
    while text not in printed:
        printed += capfd.readouterr().out
        await trio.sleep(_POLL_SECONDS)


async def lose_store(link: Link, mode: str) -> None:
    """Let the store hang or refuse connections; nothing if it is sound."""
    if mode == 'hang':
        link.hang_open()
        link.hang_new()
    elif mode == 'refuse':
        link.refuse_new()
        link.reset_open()


async def stop_in_grace(
    daemon: EntryApplication, capfd: pytest.CaptureFixture[str]
) -> None:
    """Stop a daemon a moment later; fail unless it ends in the grace time."""
    await trio.sleep(0.5)
    daemon.application.request_stop()
    with trio.fail_after(BOUNDS.stop_grace / 1000):
        await wait_until_printed('"daemon_stopped"', capfd)


class TestStopWithoutStore:
    """Guards against daemons that are killed in the end of a planned stop.

    A daemon whose zone is cut off waited for an answer of the store about a
    lease that it had never held, longer than the grace time.
    """

    @pytest.mark.parametrize('mode', ['sound', 'hang', 'refuse'])
    def test_stop_ends_within_grace(
        self, mode: str, capfd: pytest.CaptureFixture[str]
    ) -> None:
        """A daemon without requests ends before the grace time is over."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            link = Link(Address('127.0.0.1', env.store_port))
            await link.start(env.nursery)
            await env.start_daemon('host-1')
            await env.wait_until_served()
            cut_off = await env.start_daemon('host-2', store_port=link.port)
            await env.wait_until_served()
            await lose_store(link, mode)
            await stop_in_grace(cut_off, capfd)

        ScenarioRunner().run(scenario)

    @pytest.mark.parametrize('mode', ['sound', 'hang', 'refuse'])
    def test_holder_ends_within_grace(
        self, mode: str, capfd: pytest.CaptureFixture[str]
    ) -> None:
        """So does the holder of the duties, which cannot give them up then."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            link = Link(Address('127.0.0.1', env.store_port))
            await link.start(env.nursery)
            holder = await env.start_daemon('host-1', store_port=link.port)
            await env.wait_until_served()
            await wait_until_printed('"duties_gained"', capfd)
            await lose_store(link, mode)
            await stop_in_grace(holder, capfd)
            row = env.store.rows['leases', 'duties']['value']
            lease = msgspec.json.decode(base64.b64decode(row))
            assert (lease['holder'] is None) == (mode == 'sound')

        ScenarioRunner().run(scenario)


class TestStopOfLease:
    """Guards against stops that wait for calls which release nothing."""

    def create_core(self) -> LeaseCore:
        """Return the core of a process without a lease."""
        identity = Identity('host-1', '127.0.0.1:1', 'host-1.1')
        return LeaseCore(identity, random.Random(1))

    def acquire(self, core: LeaseCore) -> LeaseRow:
        """Let a core acquire the free lease at 0 ms; return its row."""
        core.handle(LeaseTick(), 0)
        write = core.handle(LeaseRead(None, ABSENT), 0)[0]
        assert isinstance(write, WriteLease)
        core.handle(LeaseWritten(write.row.nonce, 1), 0)
        assert core.is_held(0)
        return write.row

    def test_nothing_to_release(self) -> None:
        """A process that never held the lease needs no read to stop."""
        core = self.create_core()
        assert not core.handle(StopRequested(), 0)
        assert core.is_released

    def test_write_without_answer(self) -> None:
        """A write that may still be applied is waited for."""
        core = self.create_core()
        core.handle(LeaseTick(), 0)
        core.handle(LeaseRead(None, ABSENT), 0)
        core.handle(StopRequested(), 100)
        assert not core.is_released

    def test_orders_are_closed_first(self) -> None:
        """A held lease is released once its orders are closed, not before."""
        core = self.create_core()
        row = self.acquire(core)
        core.handle(StopRequested(), 100)
        assert core.handle(LeaseTick(), 200) == [ReadLease()]
        assert not core.handle(LeaseRead(row, 1), 210)
        core.handle(OrdersClosed(), 300)
        assert not core.is_released
        assert core.handle(LeaseTick(), 310) == [ReadLease()]
        release = core.handle(LeaseRead(row, 1), 320)[0]
        assert isinstance(release, WriteLease)
        assert release.row.holder is None
        core.handle(LeaseWritten(release.row.nonce, 2), 330)
        assert core.is_released
