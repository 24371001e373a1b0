"""Tests that bookings run at most once when daemons or the platform fail."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from http.client import HTTPException

import pytest

from process_tools import (
    LOCAL,
    Answer,
    DaemonProcess,
    Fleet,
    Process,
    call,
    compile_engine,
    find_ports,
    run_fleet,
    wait_for,
)


@dataclass
class Deployment:
    """Three daemons and a ledger that they reach through a relay."""

    fleet: Fleet
    ledger: Process
    relay: Process
    first: DaemonProcess
    second: DaemonProcess
    third: DaemonProcess

    def get_runs(self) -> int:
        """Return the number of bookings that the ledger ran."""
        return int(self.ledger.get_report()['runs'])

    def count_claims(self) -> int:
        """Return the number of claims in the platform's table."""
        port = self.fleet.platform.port
        return len(call(port, 'GET', '/v1/tables/claims/rows').body['rows'])


@pytest.fixture(scope='class')
def deployment() -> Iterator[Deployment]:
    """Run three daemons, a ledger and an engine."""
    port = find_ports()[0]
    commands = (
        ('service', '--delay', '0.3', '--port', port),
        ('relay', '--target', f'{LOCAL}:{port}'),
        compile_engine(),
    )
    with run_fleet(*commands) as fleet:
        ledger, relay, engine = fleet.standins
        fleet.add_endpoints('ledger', relay)
        fleet.add_endpoints('chat', engine)
        daemons = fleet.start_daemons('host-a', 'host-b', 'host-c')
        yield Deployment(fleet, ledger, relay, *daemons)


class TestAtMostOnce:
    """Guards against bookings that run twice under one idempotency key."""

    def test_repeat_after_completion(self, deployment: Deployment) -> None:
        """A repeat through another daemon gets the stored answer."""
        runs = deployment.get_runs()
        done = deployment.first.book('finished')
        repeat = deployment.second.book('finished')
        assert (done.status, done.code) == (201, 1000)
        assert (repeat.status, repeat.code) == (201, 1001)
        assert repeat.body == done.body
        assert deployment.get_runs() == runs + 1

    def test_platform_outage(self, deployment: Deployment) -> None:
        """A booking that cannot be claimed is refused and never runs later."""
        runs = deployment.get_runs()
        deployment.fleet.platform.set_faults(outage=True)
        refused = deployment.first.book('outage')
        chat = deployment.first.chat('goes on')
        deployment.fleet.platform.set_faults()
        assert (refused.status, refused.code) == (503, 3006)
        assert refused.body['error']['type'] == 'not_run'
        assert chat.status == 200
        later = wait_for(
            lambda: _book_when_claimable(deployment.first, 'after')
        )
        assert later.code == 1000
        assert deployment.get_runs() == runs + 1

    def test_lost_claim_answer(self, deployment: Deployment) -> None:
        """A claim whose commit answer is lost is read back and used."""
        runs = deployment.get_runs()
        platform = deployment.fleet.platform
        platform.set_faults(lose_answers=1, lose_table='claims')
        done = deployment.second.book('lost')
        faults = call(platform.port, 'GET', '/faults').body
        assert faults['lose_answers'] == 0
        assert (done.status, done.code) == (201, 1000)
        assert done.body == {'run': runs + 1}
        assert deployment.get_runs() == runs + 1

    def test_daemon_killed_during_booking(self, deployment: Deployment) -> None:
        """A repeat does not run a booking whose daemon was killed."""
        runs = deployment.get_runs()
        with ThreadPoolExecutor() as pool:
            deployment.relay.set_faults(hold_backward=True)
            broken = pool.submit(deployment.first.book, 'killed')
            wait_for(lambda: deployment.get_runs() == runs + 1)
            deployment.first.kill()
            assert isinstance(broken.exception(), (OSError, HTTPException))
        deployment.relay.set_faults()
        repeat = deployment.second.book('killed')
        assert (repeat.status, repeat.code) == (409, 4002)
        assert repeat.body['error']['type'] == 'outcome_unknown'
        assert deployment.get_runs() == runs + 1

    def test_daemon_killed_before_booking(self, deployment: Deployment) -> None:
        """A daemon killed between claim and service causes no second run."""
        runs = deployment.get_runs()
        claims = deployment.count_claims()
        with ThreadPoolExecutor() as pool:
            deployment.relay.set_faults(hold_forward=True)
            broken = pool.submit(deployment.third.book, 'held')
            wait_for(lambda: deployment.count_claims() > claims)
            deployment.third.kill()
            assert broken.exception() is not None
        repeat = deployment.second.book('held')
        deployment.relay.set_faults()
        assert (repeat.status, repeat.code) == (409, 4002)
        assert deployment.second.book('next').code == 1000
        assert deployment.second.book('held').code == 4002
        # The relay may still deliver the request that it had held back.
        assert deployment.get_runs() <= runs + 2


def _book_when_claimable(daemon: DaemonProcess, name: str) -> Answer | None:
    answer = daemon.book(name)
    return None if answer.code == 3006 else answer
