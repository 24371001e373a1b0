"""Planned stops of daemons and endpoints cut no work."""

import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Any

import pytest

from process_tools import (
    DaemonProcess,
    Fleet,
    Process,
    call,
    compile_engine,
    run_fleet,
    wait_for,
)


@dataclass
class Scene:
    """Two daemons, two engines and a slow ledger."""

    fleet: Fleet
    ledger: Process
    engines: list[Process]
    daemons: list[DaemonProcess]

    def list_rows(self, table: str) -> list[Any]:
        """Return the rows of a table of the platform."""
        path = f'/v1/tables/{table}/rows'
        rows = call(self.fleet.platform.port, 'GET', path).body['rows']
        return list(rows)

    def get_busy(self) -> Process | None:
        """Return an engine that runs a stream."""
        for engine in self.engines:
            if engine.report()['running']:
                return engine
        return None


@pytest.fixture(scope='class')
def scene() -> Iterator[Scene]:
    """Run the fleet."""
    engine = compile_engine('--token-interval', '0.1')
    with run_fleet(('service', '--delay', '2'), engine, engine) as fleet:
        ledger, *engines = fleet.standins
        fleet.add_endpoints('ledger', ledger)
        fleet.add_endpoints('chat', *engines)
        daemons = fleet.start_daemons('host-a', 'host-b')
        yield Scene(fleet, ledger, engines, daemons)


class TestPlannedStop:
    """Guards against work that a planned change cuts or loses."""

    def test_leaving_endpoint(self, scene: Scene) -> None:
        """A leaving engine finishes its stream and gets nothing new."""
        stream = scene.daemons[0].open_stream('stays', 80)
        leaving = wait_for(scene.get_busy)
        scene.fleet.set_state(leaving.port, 'leaving')
        for daemon in scene.daemons:
            wait_for(partial(daemon.knows_endpoints, 2))
        before = len(leaving.report()['headers'])
        # So much at once that the other engine is the busier one.
        with ThreadPoolExecutor(16) as pool:
            runs = [
                pool.submit(daemon.chat, max_tokens=1)
                for daemon in scene.daemons * 8
            ]
            assert {run.result().status for run in runs} == {200}
        report = leaving.report()
        assert len(report['headers']) == before
        assert report['running'] == 1
        text = stream.read().decode()
        assert text.count('stays') == 80
        assert text.endswith('data: [DONE]\n\n')
        scene.fleet.set_state(leaving.port, 'live')

    def test_stopped_daemon(self, scene: Scene) -> None:
        """A daemon finishes its stream and its booking, then ends."""
        daemon = scene.daemons[0]
        assert _find_own(scene.list_rows('members'), 'host-a')
        runs = scene.ledger.report()['runs']
        stream = daemon.open_stream('whole', 60)
        with ThreadPoolExecutor() as pool:
            booking = pool.submit(daemon.book, 'last')
            wait_for(lambda: scene.ledger.report()['runs'] == runs + 1)
            daemon.signal(signal.SIGTERM)
            wait_for(lambda: _get_readiness(daemon) == 503)
            assert scene.get_busy() is not None
            assert not booking.done()
            text = stream.read().decode()
            done = booking.result()
        assert text.count('whole') == 60
        assert text.endswith('data: [DONE]\n\n')
        assert (done.status, done.code) == (201, 1000)
        assert daemon.popen.wait() == 0
        assert not _find_own(scene.list_rows('members'), 'host-a')
        assert not _find_own(scene.list_rows('leases'), 'host-a')
        repeat = scene.daemons[1].book('last')
        assert (repeat.code, repeat.body) == (1001, done.body)


def _get_readiness(daemon: DaemonProcess) -> int:
    return call(daemon.operator_port, 'GET', '/readyz').status


def _find_own(rows: list[Any], name: str) -> list[Any]:
    """Return the rows that name a host as a member or as a holder."""
    return [
        row
        for row in rows
        if row['key'].startswith(f'{name}/')
        or name in str(row['value'].get('holder'))
    ]
