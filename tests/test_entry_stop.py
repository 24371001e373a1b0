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
from tests.platform_standin import never_answer

from clementinedyke.entry.application import EntryApplication
from clementinedyke.entry.intake import Job
from clementinedyke.entry.runners import RunnerContext
from clementinedyke.exceptions import ClementinedykeError
from clementinedyke.http.client import Address, HttpResponse
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
_RESULT = b'clementinedyke-result'
#: Requests may last longer than the grace time.
_SLOW_CONFIGURATION = {
    **CONFIGURATION,
    'routes': [
        {**route, 'timeout_ms': 20000} for route in CONFIGURATION['routes']
    ],
}


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


class TestRequestsAtTheEndOfGrace:
    """Guards against requests that the end of the grace cuts off.

    Those that were still open then lost their connections, also the ones that
    had not been sent to an endpoint and those that may not be repeated.
    """

    def stop_with_requests(
        self, path: str, **changes: object
    ) -> list[HttpResponse | Exception]:
        """Return the answers to requests that are open during a stop.

        :param changes: attributes of the endpoints that differ.
        """
        answers: list[HttpResponse | Exception] = []

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', _SLOW_CONFIGURATION)
            daemon = await env.start_daemon()
            await env.wait_until_served()
            for endpoint in env.endpoints.values():
                for name, changed in changes.items():
                    setattr(endpoint, name, changed)

            async def send(number: int, delay: float) -> None:
                await trio.sleep(delay)
                try:
                    answer = await env.send_request(
                        path, f'r-{number}', x_deadline_ms='30000'
                    )
                except ClementinedykeError as error:
                    answers.append(error)
                else:
                    answers.append(answer)

            async with trio.open_nursery() as nursery:
                for number, delay in enumerate((0, 1, 2)):
                    nursery.start_soon(send, number, delay)
                await trio.sleep(0.2)
                daemon.application.request_stop()

        ScenarioRunner().run(scenario)
        return answers

    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('/book/1', {b'4001'}),
            ('/read/1', {b'4001'}),
            # An engine may still read the prompt of a request.
            ('/ask/1', {b'4001', b'3004'}),
        ],
    )
    def test_sent_requests(self, path: str, expected: set[bytes]) -> None:
        """A request at an endpoint is answered: its outcome is unknown."""
        answers = self.stop_with_requests(path, override=never_answer)
        assert len(answers) == 3
        assert {dict(answer.headers)[_RESULT] for answer in answers} <= expected

    def test_waiting_requests(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A request that waits to be sent is answered: it has not run."""

        async def wait(context: RunnerContext, job: Job) -> None:
            await trio.sleep(0 if job.request.request_id == 'probe' else 60)

        monkeypatch.setattr(RunnerContext, 'wait_for_clearance', wait)
        answers = self.stop_with_requests('/book/1')
        assert {answer.status for answer in answers} == {503}
        assert len(answers) == 3
        for answer in answers:
            assert b'not_run' in answer.body
            assert dict(answer.headers)[b'retry-after']


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
