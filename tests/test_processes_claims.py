"""Bookings run at most once although daemons and the platform fail."""

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
class Scene:
    """Three daemons before one ledger, which is reached through a relay."""

    fleet: Fleet
    ledger: Process
    relay: Process
    first: DaemonProcess
    second: DaemonProcess
    third: DaemonProcess

    def get_runs(self) -> int:
        """Return how often the ledger ran a booking."""
        return int(self.ledger.report()['runs'])

    def count_claims(self) -> int:
        """Return the number of bookings that were ever claimed."""
        port = self.fleet.platform.port
        return len(call(port, 'GET', '/v1/tables/claims/rows').body['rows'])


@pytest.fixture(scope='class')
def scene() -> Iterator[Scene]:
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
        yield Scene(fleet, ledger, relay, *daemons)


class TestAtMostOnce:
    """Guards against a second net, bed or bill from one confirmation."""

    def test_finished(self, scene: Scene) -> None:
        """A repeat through the other daemon gets the kept answer."""
        runs = scene.get_runs()
        done = scene.first.book('finished')
        repeat = scene.second.book('finished')
        assert (done.status, done.code) == (201, 1000)
        assert (repeat.status, repeat.code) == (201, 1001)
        assert repeat.body == done.body
        assert scene.get_runs() == runs + 1

    def test_platform_down(self, scene: Scene) -> None:
        """A booking without a claim is refused and never runs later."""
        runs = scene.get_runs()
        scene.fleet.platform.set_faults(outage=True)
        refused = scene.first.book('outage')
        chat = scene.first.chat('goes on')
        scene.fleet.platform.set_faults()
        assert (refused.status, refused.code) == (503, 3006)
        assert refused.body['error']['type'] == 'not_run'
        assert chat.status == 200
        later = wait_for(lambda: _book_when_claimable(scene.first, 'after'))
        assert later.code == 1000
        assert scene.get_runs() == runs + 1

    def test_lost_answer(self, scene: Scene) -> None:
        """A claim that was applied without an answer is read back."""
        runs = scene.get_runs()
        platform = scene.fleet.platform
        platform.set_faults(lose_answers=1, lose_table='claims')
        done = scene.second.book('lost')
        faults = call(platform.port, 'GET', '/faults').body
        assert faults['lose_answers'] == 0
        assert (done.status, done.code) == (201, 1000)
        assert done.body == {'run': runs + 1}
        assert scene.get_runs() == runs + 1

    def test_killed_while_running(self, scene: Scene) -> None:
        """The other daemon does not run the booking of a killed one."""
        runs = scene.get_runs()
        with ThreadPoolExecutor() as pool:
            scene.relay.set_faults(hold_backward=True)
            broken = pool.submit(scene.first.book, 'killed')
            wait_for(lambda: scene.get_runs() == runs + 1)
            scene.first.kill()
            assert isinstance(broken.exception(), (OSError, HTTPException))
        scene.relay.set_faults()
        repeat = scene.second.book('killed')
        assert (repeat.status, repeat.code) == (409, 4002)
        assert repeat.body['error']['type'] == 'outcome_unknown'
        assert scene.get_runs() == runs + 1

    def test_killed_before_service(self, scene: Scene) -> None:
        """A daemon killed between claim and service leaves no second run."""
        runs = scene.get_runs()
        claims = scene.count_claims()
        with ThreadPoolExecutor() as pool:
            scene.relay.set_faults(hold_forward=True)
            broken = pool.submit(scene.third.book, 'held')
            wait_for(lambda: scene.count_claims() > claims)
            scene.third.kill()
            assert broken.exception() is not None
        repeat = scene.second.book('held')
        scene.relay.set_faults()
        assert (repeat.status, repeat.code) == (409, 4002)
        assert scene.second.book('next').code == 1000
        assert scene.second.book('held').code == 4002
        # The relay may still deliver the one request that it held.
        assert scene.get_runs() <= runs + 2


def _book_when_claimable(daemon: DaemonProcess, name: str) -> Answer | None:
    answer = daemon.book(name)
    return None if answer.code == 3006 else answer
