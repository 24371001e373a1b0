"""Tests of two lease holder processes with real signals and sockets."""

import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import trio

from clementinedyke.standins.engine import EngineStandin
from clementinedyke.standins.platform import PlatformStandin

LOCAL = '127.0.0.1'
PROGRAM = Path(__file__).with_name('lease_holder.py')
#: Seconds, well above the normal duration, so that only a hang fails.
LIMIT = 60


@contextmanager
def run_holder(*arguments: object) -> Iterator[subprocess.Popen[bytes]]:
    """Run a lease holder process and kill it on exit."""
    command = [sys.executable, str(PROGRAM), *map(str, arguments)]
    process = subprocess.Popen(command)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def wait_for(condition: Callable[[], Any]) -> None:
    """Wait until a condition is true; fail after ``LIMIT``."""
    with trio.fail_after(LIMIT):
        while not condition():
            await trio.sleep(0.05)


class StandinSystem:
    """A platform stand-in and two engine stand-ins."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.platform = PlatformStandin()
        self.platform.hosts = [{'host': 'a'}, {'host': 'b'}]
        self.checked = EngineStandin('model', checks_fence=True)
        self.ignored = EngineStandin('model', checks_fence=False)

    async def start(self, nursery: trio.Nursery) -> list[int]:
        """Start the stand-ins and return their ports."""
        parts = (self.platform, self.checked, self.ignored)
        return [await part.start(nursery, LOCAL, 0) for part in parts]

    def get_row(self) -> Any:
        """Return the lease row, without a holder if it is absent."""
        row = self.platform.tables.get_row('leases', 'service/chat')
        return row.value if row else {'holder': None, 'unreleased': []}

    def has_order(self, engine: EngineStandin, host: str) -> bool:
        """Return whether an engine executed an order from a host."""
        return any(
            order['argument'].startswith(host) for order in engine.orders
        )

    def check_order(self) -> None:
        """Assert that no order of a former holder follows a successor's."""
        for engine in (self.checked, self.ignored):
            fences = [order['fence'] for order in engine.orders]
            assert fences == sorted(fences)
            numbers = [
                int(order['order_id'].rpartition('/')[2])
                for order in engine.orders
            ]
            assert numbers == sorted(numbers)


class TestFrozenHolder:
    """Guards against late orders of a holder whose lease expired."""

    def test_successor_waits_for_frozen_holder(self) -> None:
        """The successor orders the unfenced engine only after the release."""
        trio.run(self._freeze_and_resume)

    async def _freeze_and_resume(self) -> None:
        system = StandinSystem()
        async with trio.open_nursery() as nursery:
            platform, *engines = await system.start(nursery)
            with run_holder(platform, 'a', *engines) as former:
                await wait_for(lambda: system.has_order(system.ignored, 'a'))
                with run_holder(platform, 'b', *engines):
                    former.send_signal(signal.SIGSTOP)
                    await wait_for(
                        lambda: system.has_order(system.checked, 'b')
                    )
                    assert not system.has_order(system.ignored, 'b')
                    assert system.get_row()['unreleased']
                    former.send_signal(signal.SIGCONT)
                    await wait_for(
                        lambda: system.has_order(system.ignored, 'b')
                    )
                    system.check_order()
            nursery.cancel_scope.cancel()

    def test_graceful_stop_releases_lease(self) -> None:
        """A holder that stops gracefully leaves no unreleased entry."""
        trio.run(self._stop)

    async def _stop(self) -> None:
        system = StandinSystem()
        async with trio.open_nursery() as nursery:
            platform, *engines = await system.start(nursery)
            with run_holder(platform, 'a', *engines) as former:
                await wait_for(lambda: system.has_order(system.ignored, 'a'))
                with run_holder(platform, 'b', *engines):
                    former.send_signal(signal.SIGTERM)
                    await wait_for(
                        lambda: system.has_order(system.ignored, 'b')
                    )
                    assert not system.get_row()['unreleased']
                    await wait_for(lambda: former.poll() == 0)
                    system.check_order()
            nursery.cancel_scope.cancel()
