"""Tests of daemons as processes, and a request that ends its endpoints."""

import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import trio
from tests.crashing_endpoint import (
    FATAL_BODY,
    CrashingEndpoint,
    start_endpoints,
)
from tests.entry_environment import CONFIGURATION, EntryEnvironment
from tests.settings_document import SETTINGS, compile_toml

from clementinedyke.codes import ResultCode
from clementinedyke.exceptions import ClementinedykeError
from clementinedyke.http.client import Address, HttpClient, HttpRequest

_ROOT = Path(__file__).parent.parent
_HOSTS = 3
_CALLER_PORT = 8368
_TIMEOUT_SECONDS = 40
_ANSWER_TIMEOUT = 3000
_PAUSE_SECONDS = 0.4
#: Sends that are allowed in all: three ends and three more sends.
_MAX_ARRIVALS = 6
_FATAL_ID = 'fatal'
_OK = int(ResultCode.OK)
_HELD = int(ResultCode.REQUEST_HELD)


class DaemonProcess:
    """An entry daemon at a loopback address of its own.

    The address contains the id of this process, so that suites that run at the
    same time do not meet.
    """

    def __init__(self, number: int, folder: Path) -> None:
        """Create a daemon that is not running yet."""
        high, low = divmod(os.getpid() % 62500, 250)
        self.ip = f'127.{high + 1}.{low + 1}.{number + 1}'
        self._number = number
        self._path = folder / f'host-{number}.toml'
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, env: EntryEnvironment) -> None:
        """Start the daemon."""
        document = {
            **SETTINGS,
            'node': f'host-{self._number}',
            'ip': self.ip,
            'listen': {
                'front': f'{self.ip}:{_CALLER_PORT}',
                'ready': f'{self.ip}:{_CALLER_PORT + 1}',
            },
            'platform': {'address': f'127.0.0.1:{env.store_port}'},
            'cloud': {'address': f'127.0.0.1:{env.duties_port}'},
        }
        self._path.write_text(compile_toml(document), encoding='utf-8')
        self._process = subprocess.Popen(
            [sys.executable, str(_ROOT / 'deploy' / 'daemon.py')],
            env={**os.environ, 'CLEMENTINEDYKE_SETTINGS': str(self._path)},
            stdout=subprocess.DEVNULL,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the daemon and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(_TIMEOUT_SECONDS)

    async def send(self, request_id: str, body: bytes) -> int:
        """Send a request and return the result code of its answer."""
        headers = {
            'host': 'desk.example',
            'x-request-id': request_id,
            'x-deadline-ms': '2500',
            'x-key': 'key-1',
        }
        request = HttpRequest(
            'POST',
            '/read/1',
            [(name.encode(), text.encode()) for name, text in headers.items()],
            body,
        )
        async with HttpClient(Address(self.ip, _CALLER_PORT)) as client:
            answer = await client.request(request, _ANSWER_TIMEOUT)
        return int(dict(answer.headers).get(b'clementinedyke-result', _OK))

    async def wait_until_served(self) -> None:
        """Wait until the daemon answers with success."""
        code: int | None = None
        while code != _OK:
            await trio.sleep(0.05)
            try:
                code = await self.send('probe', b'harmless')
            except ClementinedykeError as error:
                # The daemon does not listen yet.
                sys.stderr.write(f'{error}\n')


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


async def run_scenario(
    scenario: Callable[[EntryEnvironment], Awaitable[None]],
) -> None:
    """Run a scenario with the stand-ins of the platform in this process."""
    with trio.fail_after(_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            env = EntryEnvironment(nursery)
            await env.start()
            env.store.put('op', 'config', CONFIGURATION)
            await scenario(env)
            nursery.cancel_scope.cancel()


@contextmanager
def killing(hosts: list[DaemonProcess]) -> Iterator[None]:
    """Kill the daemons at the end."""
    try:
        yield
    finally:
        for host in hosts:
            host.kill()
