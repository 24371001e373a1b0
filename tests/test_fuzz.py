"""Fuzz test of the caller port."""

import gc
import logging

import pytest
import trio

from caller_tools import serve_callers
from clementinedyke.standins.engine import EngineStandin
from clementinedyke.standins.service import ServiceStandin
from fuzzer import Fuzzer, count_descriptors
from http_tools import HOST


class FailureLog(logging.Handler):
    """Keeps the log records that tell of a fault in a handler."""

    def __init__(self) -> None:
        """Create an empty log."""
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record."""
        self.messages.append(self.format(record))


async def check_caller_port(seed: int, total: int) -> None:
    """Send bytes to a caller port and check what they leave behind."""
    failures = FailureLog()
    logging.getLogger('absl').addHandler(failures)
    engine = EngineStandin('m')
    service = ServiceStandin()
    async with trio.open_nursery() as nursery:
        ports = [
            await engine.start(nursery, HOST, 0),
            await service.start(nursery, HOST, 0),
        ]
        async with serve_callers(ports) as side:
            # Descriptors in garbage of earlier tests are not counted.
            gc.collect()
            idle = get_counts()
            assert (await side.chat()).status == 200
            await Fuzzer(seed).run(side.port, total)
            await side.selector.close_idle()
            await _wait_for_counts(idle)
            assert (await side.chat()).status == 200
        nursery.cancel_scope.cancel()
    logging.getLogger('absl').removeHandler(failures)
    assert not failures.messages


def get_counts() -> tuple[int, int]:
    """Return the numbers of living tasks and of open descriptors."""
    tasks = trio.lowlevel.current_statistics().tasks_living
    return tasks, count_descriptors()


async def _wait_for_counts(counts: tuple[int, int]) -> None:
    with trio.move_on_after(10):
        while get_counts() != counts:
            await trio.sleep(0.05)
    assert get_counts() == counts


class TestFuzz:
    """Guards against bytes that crash, hang or leak."""

    @pytest.mark.parametrize('seed', [1, 2])
    def test_caller_port(self, seed: int) -> None:
        """The port answers after 50 kB of broken requests per seed."""
        trio.run(check_caller_port, seed, 50000)
