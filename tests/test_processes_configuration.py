"""Tests of concurrent record changes and of a lagging platform."""

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
class Deployment:
    """Two daemons and an engine."""

    fleet: Fleet
    daemons: list[DaemonProcess]


@pytest.fixture(scope='class')
def deployment() -> Iterator[Deployment]:
    """Run two daemons and an engine."""
    with run_fleet(compile_engine()) as fleet:
        fleet.add_endpoints('chat', *fleet.standins)
        yield Deployment(fleet, fleet.start_daemons('host-a', 'host-b'))


class TestConfiguration:
    """Guards against lost changes and reverted configurations."""

    def test_concurrent_changes(self, deployment: Deployment) -> None:
        """One of two concurrent changes succeeds, and only its key works."""
        version = 0
        for turn in range(3):
            secrets = [f'secret-{turn}-{index}' for index in range(2)]
            with ThreadPoolExecutor() as pool:
                answers = list(
                    pool.map(
                        _put_key,
                        deployment.daemons,
                        (PATH, PATH),
                        (version, version),
                        secrets,
                    )
                )
            statuses = sorted(answer.status for answer in answers)
            assert statuses == [200, 409]
            winner = _find_index(answers, 200)
            loser = answers[1 - winner]
            version = answers[winner].body['version']
            assert loser.code == 2014
            assert str(version) in loser.text
            _wait_until_known(deployment.daemons, secrets[winner])
            for daemon in deployment.daemons:
                assert _send_chat(daemon, secrets[1 - winner]).code == 2000

    def test_restart_with_lagging_store(self, deployment: Deployment) -> None:
        """A restarted daemon never answers from an older revision."""
        revision = call(
            deployment.fleet.platform.port, 'GET', '/v1/tables/records/rows'
        ).body['revision']
        added = _put_key(deployment.daemons[0], LATE_PATH, 0, 'secret-late')
        assert added.status == 200
        _wait_until_known(deployment.daemons, 'secret-late')
        deployment.fleet.platform.set_faults(lag_revision=revision)
        deployment.daemons[1].kill()
        restarted = deployment.fleet.start_daemon('host-b')
        seen = set()
        wait_for(lambda: _get_result_code(restarted))
        for _ in range(60):
            seen.add(_get_result_code(restarted))
            seen.add(_get_result_code(deployment.daemons[0]))
        deployment.fleet.platform.set_faults()
        wait_for(lambda: _get_result_code(restarted) == 1000)
        assert seen <= {None, 1000, 3005, 3007}
        deployment.daemons[1] = restarted


def _put_key(
    daemon: DaemonProcess, path: str, version: int, secret: str
) -> Answer:
    record = {
        'kind': 'key',
        'name': path.rpartition('/')[2],
        'customer': 'lofts',
        'digest': get_digest(secret),
    }
    return daemon.send_operator_request(
        'PUT', f'{path}?expect_version={version}', record
    )


def _find_index(answers: list[Answer], status: int) -> int:
    return [answer.status for answer in answers].index(status)


def _wait_until_known(daemons: list[DaemonProcess], secret: str) -> None:
    for daemon in daemons:
        wait_for(partial(_is_known, daemon, secret))


def _is_known(daemon: DaemonProcess, secret: str) -> bool:
    return _send_chat(daemon, secret).status == 200


def _send_chat(daemon: DaemonProcess, secret: str) -> Answer:
    return replace(daemon, key=secret).chat(max_tokens=1)


def _get_result_code(daemon: DaemonProcess) -> int | None:
    try:
        return _send_chat(daemon, 'secret-late').code
    except (OSError, HTTPException):
        return None
