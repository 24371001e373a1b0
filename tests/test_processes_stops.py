"""Tests that planned stops of daemons and endpoints interrupt no work."""

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
class Deployment:
    """Two daemons, two engines and a slow ledger."""

    fleet: Fleet
    ledger: Process
    engines: list[Process]
    daemons: list[DaemonProcess]

    def list_rows(self, table: str) -> list[Any]:
        """Return all rows of a table of the platform."""
        path = f'/v1/tables/{table}/rows'
        rows = call(self.fleet.platform.port, 'GET', path).body['rows']
        return list(rows)

    def find_busy_engine(self) -> Process | None:
        """Return an engine that runs a request, or None if all are idle."""
        for engine in self.engines:
            if engine.get_report()['running']:
                return engine
        return None


@pytest.fixture(scope='class')
def deployment() -> Iterator[Deployment]:
    """Run two daemons, two engines and a slow ledger."""
    engine = compile_engine('--token-interval', '0.1')
    with run_fleet(('service', '--delay', '2'), engine, engine) as fleet:
        ledger, *engines = fleet.standins
        fleet.add_endpoints('ledger', ledger)
        fleet.add_endpoints('chat', *engines)
        daemons = fleet.start_daemons('host-a', 'host-b')
        yield Deployment(fleet, ledger, engines, daemons)


class TestPlannedStop:
    """Guards against work that a planned stop interrupts or loses."""

    def test_leaving_engine_finishes_stream(
        self, deployment: Deployment
    ) -> None:
        """A leaving engine finishes its stream and gets no new requests."""
        stream = deployment.daemons[0].open_stream('stays', 80)
        leaving = wait_for(deployment.find_busy_engine)
        deployment.fleet.set_endpoint_state(leaving.port, 'leaving')
        for daemon in deployment.daemons:
            wait_for(partial(daemon.has_live_endpoints, 2))
        before = len(leaving.get_report()['headers'])
        # Enough concurrent requests to make the other engine the busier one.
        with ThreadPoolExecutor(16) as pool:
            runs = [
                pool.submit(daemon.chat, max_tokens=1)
                for daemon in deployment.daemons * 8
            ]
            assert {run.result().status for run in runs} == {200}
        engine_report = leaving.get_report()
        assert len(engine_report['headers']) == before
        assert engine_report['running'] == 1
        text = stream.read().decode()
        assert text.count('stays') == 80
        assert text.endswith('data: [DONE]\n\n')
        deployment.fleet.set_endpoint_state(leaving.port, 'live')

    def test_stopped_daemon_finishes_work(self, deployment: Deployment) -> None:
        """A daemon finishes its stream and its booking before it exits."""
        daemon = deployment.daemons[0]
        assert _select_rows(deployment.list_rows('members'), 'host-a')
        runs = deployment.ledger.get_report()['runs']
        stream = daemon.open_stream('whole', 60)
        with ThreadPoolExecutor() as pool:
            booking = pool.submit(daemon.book, 'last')
            wait_for(lambda: deployment.ledger.get_report()['runs'] == runs + 1)
            daemon.signal(signal.SIGTERM)
            wait_for(lambda: _get_readiness(daemon) == 503)
            assert deployment.find_busy_engine() is not None
            assert not booking.done()
            text = stream.read().decode()
            done = booking.result()
        assert text.count('whole') == 60
        assert text.endswith('data: [DONE]\n\n')
        assert (done.status, done.code) == (201, 1000)
        assert daemon.popen.wait() == 0
        assert not _select_rows(deployment.list_rows('members'), 'host-a')
        assert not _select_rows(deployment.list_rows('leases'), 'host-a')
        repeat = deployment.daemons[1].book('last')
        assert (repeat.code, repeat.body) == (1001, done.body)

    def test_signals_during_stop(self, deployment: Deployment) -> None:
        """Signals after the first leave a graceful stop as it is.

        Guards against the default action of SIGHUP and of a second SIGTERM,
        which ended ``serve`` with its requests open.
        """
        daemon = deployment.daemons[1]
        runs = deployment.ledger.get_report()['runs']
        with ThreadPoolExecutor() as pool:
            booking = pool.submit(daemon.book, 'repeated signals')
            wait_for(lambda: deployment.ledger.get_report()['runs'] == runs + 1)
            daemon.signal(signal.SIGTERM)
            wait_for(lambda: _get_readiness(daemon) == 503)
            daemon.signal(signal.SIGHUP)
            daemon.signal(signal.SIGTERM)
            assert booking.result().status == 201
        assert daemon.popen.wait() == 0


def _get_readiness(daemon: DaemonProcess) -> int:
    return call(daemon.operator_port, 'GET', '/readyz').status


def _select_rows(rows: list[Any], name: str) -> list[Any]:
    """Return the rows with a host in their key or as their holder."""
    return [
        row
        for row in rows
        if row['key'].startswith(f'{name}/')
        or name in str(row['value'].get('holder'))
    ]
