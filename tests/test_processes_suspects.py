"""Tests of daemons as processes, and a request that ends its endpoints."""

import signal
from pathlib import Path

import trio
from tests.crashing_endpoint import (
    FATAL_BODY,
    CrashingEndpoint,
    start_endpoints,
)
from tests.entry_environment import EntryEnvironment
from tests.entry_processes import DaemonProcess, killing, run_scenario

from clementinedyke.codes import ResultCode

_HOSTS = 3
_PAUSE_SECONDS = 0.4
#: Sends that are allowed in all: three ends and three more sends.
_MAX_ARRIVALS = 6
_FATAL_ID = 'fatal'
_HELD = int(ResultCode.REQUEST_HELD)


class TestFatalRequest:
    """Guards against daemons that forget a request that ends endpoints."""

    def test_frozen_and_killed_daemons(self, tmp_path: Path) -> None:
        """A daemon knows it after it stood still, and after its restart."""
        hosts = [DaemonProcess(number, tmp_path) for number in range(_HOSTS)]

        async def scenario(env: EntryEnvironment) -> None:
            endpoints = await start_endpoints(env, ['one', 'two', 'three'])
            for host in hosts:
                host.start(env)
            for host in hosts:
                await host.wait_until_served()
            hosts[2].send_signal(signal.SIGSTOP)
            for number in range(6):
                await hosts[number % 2].send(f'{number}', FATAL_BODY)
                await trio.sleep(_PAUSE_SECONDS)
            known = count_arrivals(endpoints)
            assert known <= _MAX_ARRIVALS
            hosts[2].send_signal(signal.SIGCONT)
            assert await hosts[2].send(_FATAL_ID, FATAL_BODY) == _HELD
            for host in hosts:
                host.kill()
            hosts[0].start(env)
            await hosts[0].wait_until_served()
            assert await hosts[0].send(_FATAL_ID, FATAL_BODY) == _HELD
            assert count_arrivals(endpoints) == known

        with killing(hosts):
            trio.run(run_scenario, scenario)


def count_arrivals(endpoints: list[CrashingEndpoint]) -> int:
    """Return how often the fatal request reached an endpoint."""
    return sum(len(endpoint.arrivals) for endpoint in endpoints)
