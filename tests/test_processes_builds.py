"""Tests of daemons of an earlier build beside those of the present one."""

import subprocess
from copy import deepcopy
from pathlib import Path

import pytest
import trio
from tests.entry_environment import CONFIGURATION, EntryEnvironment
from tests.entry_processes import OK, DaemonProcess, killing, run_scenario

_ROOT = Path(__file__).parent.parent
#: Last commits of the three landings before daemons read the store for others.
_BUILDS = ('490bf27', 'd09061b', '09d369e')
#: With fewer daemons of the present build each reads for itself.
_NEW = 13
_OLD = 2
_DELAY_SECONDS = 2
_ROUTES = ('/read/1', '/book/1', '/ask/1', '/resumable/1')


def extract_build(commit: str, folder: Path) -> Path:
    """Write the source of a commit into a folder and return the folder.

    Needs the history of the repository: a shallow clone does not have it.
    """
    folder.mkdir()
    archive = subprocess.run(
        ['git', 'archive', commit, 'src', 'deploy'],
        cwd=_ROOT,
        check=True,
        capture_output=True,
    )
    subprocess.run(
        ['tar', '-x', '-C', str(folder)], input=archive.stdout, check=True
    )
    return folder


class MixedFleet:
    """Daemons of two builds."""

    def __init__(self, old: Path, folder: Path) -> None:
        """Create daemons that are not running yet.

        :param old: folder of the earlier build.
        :param folder: folder for settings and logs.
        """
        self.old = old
        self.folder = folder
        self.hosts = [
            DaemonProcess(number, folder) for number in range(_NEW + _OLD)
        ]
        for host in self.hosts[:_OLD]:
            host.root = old

    async def start(self, env: EntryEnvironment) -> None:
        """Start all daemons and wait until each serves."""
        for host in self.hosts:
            host.start(env)
        for host in self.hosts:
            await host.wait_until_served()

    async def replace(
        self, env: EntryEnvironment, number: int, root: Path
    ) -> None:
        """Stop a daemon as planned and start another build on its host."""
        host = self.hosts[number]
        await trio.to_thread.run_sync(host.stop)
        host.root = root
        host.start(env)
        await host.wait_until_served()

    async def send_to_all(self, label: str, key: str) -> list[int]:
        """Send a request on each route to each daemon; return the codes."""
        codes: list[int] = []

        async def send(host: DaemonProcess, number: int, path: str) -> None:
            request_id = f'{label}-{number}-{path[1:4]}'
            codes.append(await host.send(request_id, b'body', path, x_key=key))

        async with trio.open_nursery() as nursery:
            for number, host in enumerate(self.hosts):
                for path in _ROUTES:
                    nursery.start_soon(send, host, number, path)
        return codes

    def read_logs(self) -> dict[str, str]:
        """Return the logs of all daemons by host."""
        return {
            log.stem: log.read_text(encoding='utf-8')
            for log in sorted(self.folder.glob('*.log'))
        }


def put_key(env: EntryEnvironment, version: int, key: str) -> None:
    """Store a version of the configuration with one key."""
    document = deepcopy(CONFIGURATION)
    document['version'] = version
    document['tenants'][0]['api_keys'] = ['key-1', key]
    env.store.put('op', 'config', document)


class TestMixedBuilds:
    """Guards against builds that do not work beside each other.

    Hosts are replaced one after the other, also back to the former build.
    """

    @pytest.mark.parametrize('commit', _BUILDS)
    def test_hosts_are_replaced(self, commit: str, tmp_path: Path) -> None:
        """Each daemon serves, and knows a new key in time, in each mix."""
        old = extract_build(commit, tmp_path / 'build')
        logs = tmp_path / 'logs'
        logs.mkdir()
        fleet = MixedFleet(old, logs)

        async def scenario(env: EntryEnvironment) -> None:
            await fleet.start(env)
            put_key(env, 2, 'key-2')
            await trio.sleep(_DELAY_SECONDS)
            assert set(await fleet.send_to_all('a', 'key-2')) == {OK}
            await fleet.replace(env, 0, _ROOT)
            await fleet.replace(env, _OLD, old)
            env.store.remove('servers', 'ledger-1')
            put_key(env, 3, 'key-3')
            await trio.sleep(_DELAY_SECONDS)
            gone = env.endpoints['ledger-1']
            gone.received.clear()
            assert set(await fleet.send_to_all('b', 'key-3')) == {OK}
            assert not gone.received

        with killing(fleet.hosts):
            trio.run(run_scenario, scenario)
        logs = fleet.read_logs()
        assert any('reads for others' in text for text in logs.values())
        # A daemon that went back gets messages for its former build until the
        # others hear from it, and drops them.
        logs.pop(f'host-{_OLD}')
        assert not any('news_unreadable' in text for text in logs.values())
