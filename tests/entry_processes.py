"""Entry daemons as processes of their own."""

import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import trio
from tests.entry_environment import CONFIGURATION, EntryEnvironment
from tests.settings_document import SETTINGS, compile_toml

from clementinedyke.codes import ResultCode
from clementinedyke.exceptions import ClementinedykeError
from clementinedyke.http.client import Address, HttpClient, HttpRequest

OK = int(ResultCode.OK)
_ROOT = Path(__file__).parent.parent
_CALLER_PORT = 8368
_TIMEOUT_SECONDS = 40
_ANSWER_TIMEOUT = 3000


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
        self.path = folder / f'host-{number}.toml'
        self._process: subprocess.Popen[bytes] | None = None
        #: Folder of the build that is started.
        self.root = _ROOT

    def start(
        self, env: EntryEnvironment, store_port: int | None = None
    ) -> None:
        """Start the daemon.

        :param store_port: port of the store, None for that of the environment.
        """
        port = env.store_port if store_port is None else store_port
        document = {
            **SETTINGS,
            'node': f'host-{self._number}',
            'ip': self.ip,
            'listen': {
                'front': f'{self.ip}:{_CALLER_PORT}',
                'ready': f'{self.ip}:{_CALLER_PORT + 1}',
            },
            'platform': {'address': f'127.0.0.1:{port}'},
            'cloud': {'address': f'127.0.0.1:{env.duties_port}'},
        }
        self.write_settings(compile_toml(document))
        with self.path.with_suffix('.log').open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, str(self.root / 'deploy' / 'daemon.py')],
                env={
                    **os.environ,
                    'CLEMENTINEDYKE_SETTINGS': str(self.path),
                    'PYTHONPATH': str(self.root / 'src'),
                },
                stdout=log,
            )

    def write_settings(self, text: str) -> None:
        """Write the settings file that the daemon is about to read."""
        self.path.write_text(text, encoding='utf-8')

    def get_exit_status(self) -> int | None:
        """Return the exit status, None while the daemon runs."""
        return None if self._process is None else self._process.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        if self._process is not None:
            self._process.send_signal(number)

    def stop(self) -> None:
        """Stop the daemon as planned and wait for its end."""
        if self._process is not None:
            self._process.terminate()
            self._process.wait(_TIMEOUT_SECONDS)

    def kill(self) -> None:
        """Kill the daemon and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(_TIMEOUT_SECONDS)

    async def send(
        self,
        request_id: str,
        body: bytes,
        path: str = '/read/1',
        **headers: str,
    ) -> int:
        """Send a request and return the result code of its answer."""
        given = {
            'host': 'desk.example',
            'x-request-id': request_id,
            'x-deadline-ms': '2500',
            'x-key': 'key-1',
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        request = HttpRequest(
            'POST',
            path,
            [(name.encode(), text.encode()) for name, text in given.items()],
            body,
        )
        async with HttpClient(Address(self.ip, _CALLER_PORT)) as client:
            answer = await client.request(request, _ANSWER_TIMEOUT)
        return int(dict(answer.headers).get(b'clementinedyke-result', OK))

    async def wait_until_served(self) -> None:
        """Wait until the daemon answers with success."""
        code: int | None = None
        while code != OK:
            await trio.sleep(0.05)
            try:
                code = await self.send('probe', b'harmless')
            except ClementinedykeError as error:
                # The daemon does not listen yet.
                sys.stderr.write(f'{error}\n')


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
