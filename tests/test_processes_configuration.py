"""Configuration when operators race and the platform lags."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from http.client import HTTPException

import pytest

from clementinedyke.records.core import get_digest
from process_tools import (
    Answer,
    DaemonProcess,
    Fleet,
    call,
    compile_engine,
    run_fleet,
    wait_for,
)

PATH = '/v1/records/key/raced'
LATE_PATH = '/v1/records/key/late'


@dataclass
class Scene:
    """Two daemons and an engine."""

    fleet: Fleet
    daemons: list[DaemonProcess]


@pytest.fixture(scope='class')
def scene() -> Iterator[Scene]:
    """Run the fleet."""
    with run_fleet(compile_engine()) as fleet:
        fleet.add_endpoints('chat', *fleet.standins)
        yield Scene(fleet, fleet.start_daemons('host-a', 'host-b'))


class TestConfiguration:
    """Guards against lost changes and configurations that revert."""

    def test_race(self, scene: Scene) -> None:
        """One of two operators wins; only its key works, everywhere."""
        version = 0
        for turn in range(3):
            secrets = [f'secret-{turn}-{index}' for index in range(2)]
            with ThreadPoolExecutor() as pool:
                answers = list(
                    pool.map(
                        _put_key,
                        scene.daemons,
                        (PATH, PATH),
                        (version, version),
                        secrets,
                    )
                )
            statuses = sorted(answer.status for answer in answers)
            assert statuses == [200, 409]
            winner = _find_status(answers, 200)
            loser = answers[1 - winner]
            version = answers[winner].body['version']
            assert loser.code == 2014
            assert str(version) in loser.text
            _wait_until_known(scene.daemons, secrets[winner])
            for daemon in scene.daemons:
                assert _use(daemon, secrets[1 - winner]).code == 2000

    def test_restart_while_lagging(self, scene: Scene) -> None:
        """A restarted daemon never answers by the older revision."""
        revision = call(
            scene.fleet.platform.port, 'GET', '/v1/tables/records/rows'
        ).body['revision']
        added = _put_key(scene.daemons[0], LATE_PATH, 0, 'secret-late')
        assert added.status == 200
        _wait_until_known(scene.daemons, 'secret-late')
        scene.fleet.platform.set_faults(lag_revision=revision)
        scene.daemons[1].kill()
        restarted = scene.fleet.start_daemon('host-b')
        seen = set()
        wait_for(lambda: _get_code(restarted))
        for _ in range(60):
            seen.add(_get_code(restarted))
            seen.add(_get_code(scene.daemons[0]))
        scene.fleet.platform.set_faults()
        wait_for(lambda: _get_code(restarted) == 1000)
        assert seen <= {None, 1000, 3005, 3007}
        scene.daemons[1] = restarted


def _put_key(
    daemon: DaemonProcess, path: str, version: int, secret: str
) -> Answer:
    record = {
        'kind': 'key',
        'name': path.rpartition('/')[2],
        'customer': 'lofts',
        'digest': get_digest(secret),
    }
    return daemon.operate('PUT', f'{path}?expect_version={version}', record)


def _find_status(answers: list[Answer], status: int) -> int:
    return [answer.status for answer in answers].index(status)


def _wait_until_known(daemons: list[DaemonProcess], secret: str) -> None:
    for daemon in daemons:
        wait_for(partial(_is_known, daemon, secret))


def _is_known(daemon: DaemonProcess, secret: str) -> bool:
    return _use(daemon, secret).status == 200


def _use(daemon: DaemonProcess, secret: str) -> Answer:
    return replace(daemon, key=secret).chat(max_tokens=1)


def _get_code(daemon: DaemonProcess) -> int | None:
    try:
        return _use(daemon, 'secret-late').code
    except (OSError, HTTPException):
        return None
