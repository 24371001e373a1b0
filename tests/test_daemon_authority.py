"""Tests of leases, orders and usage reports of running daemons."""

import json
from collections import Counter
from typing import Any

import trio

from clementinedyke.control.daemon_reports import DaemonReports
from clementinedyke.standins.engine import EngineStandin
from daemon_scene import DaemonScene, run_scene, wait_for

SCOPE = 'service/chat'
COMPLETION = 'lofts/chat/completion_tokens'
PROMPT = 'lofts/chat/prompt_tokens'


def sum_reports(scene: DaemonScene) -> Counter[str]:
    """Return the figures summed over all usage reports."""
    total: Counter[str] = Counter()
    for _, figures in scene.get_reports():
        total.update(figures)
    return total


def list_endpoint_orders(scene: DaemonScene) -> list[str]:
    """Return the arguments of all orders sent to the endpoint interface."""
    return [
        json.loads(body)['argument']
        for path, body, _ in scene.platform.stored_requests
        if path.startswith('/v1/endpoint-orders/')
    ]


def capture_orders(
    scene: DaemonScene,
    key: str,
    engine: EngineStandin,
    seen: dict[str, Any],
) -> None:
    """Capture orders to an engine, each with the row stored at its arrival."""
    forward_order = engine._handle_order

    async def capture(order: Any, response: Any) -> None:
        seen[key] = (scene.get('orders', key), order)
        await forward_order(order, response)

    engine._handle_order = capture


class TestLeases:
    """Guards against leases that are never acquired or never released."""

    def test_order_is_recorded_first(self) -> None:
        """An order must be recorded before it reaches an engine.

        Otherwise the next lease holder would not know of it.
        """
        trio.run(self._check_order)

    async def _check_order(self) -> None:
        async with run_scene() as scene:
            daemon = scene.daemons[0]
            await wait_for(lambda: scene.get_holder(SCOPE))
            recorded: dict[str, Any] = {}
            for index, engine in enumerate(scene.engines):
                capture_orders(
                    scene, f'{SCOPE}|engine-{index}', engine, recorded
                )
            prompt = [{'role': 'user', 'content': 'x' * 600000}]
            await scene.chat(daemon, messages=prompt, max_tokens=1)
            await wait_for(lambda: recorded)
            key, (row, order) = recorded.popitem()
            assert row['order_id'] == order['order_id']
            assert (order['kind'], order['argument']) == ('role', 'prefill')
            await wait_for(
                lambda: scene.get('orders', key)['outcome'] == 'done'
            )

            self._check_reports(daemon.reports, row['order_id'])
            await wait_for(lambda: list_endpoint_orders(scene))
            assert list_endpoint_orders(scene) == ['zone-a/standard/3']

    def _check_reports(self, reports: DaemonReports, order_id: str) -> None:
        """Check that status and metrics show the lease and the order."""
        status = reports.compile_status()
        leases = {lease['scope']: lease for lease in status['leases']}
        assert leases[SCOPE]['held']
        assert leases[SCOPE]['holder']['host'] == 'host-0'
        outcomes = {row['order_id']: row['outcome'] for row in status['orders']}
        assert outcomes[order_id] == 'done'
        assert status['usage']['part_window'] > 0
        metrics = reports.metrics.render().decode()
        done = 'clementinedyke_orders_total{event="done",service="chat"}'
        assert done in metrics
        assert 'clementinedyke_lease_changes_total 2.0' in metrics

    def test_leases_are_released(self) -> None:
        """Withdrawing a service or stopping a daemon must release leases."""
        trio.run(self._check_release)

    async def _check_release(self) -> None:
        async with run_scene() as scene:
            scene.write('service', 'more', backend='model', models=['n'])
            await wait_for(lambda: scene.get_holder('service/more'))
            fence = scene.get('leases', 'service/more')['fence']
            scene.withdraw('service', 'more')
            await wait_for(lambda: not scene.get_holder('service/more'))
            services = scene.daemons[0].authority.services
            await wait_for(lambda: 'more' not in services)
            scene.write('service', 'more', backend='model', models=['n'])
            await wait_for(lambda: scene.get_holder('service/more'))
            assert scene.get('leases', 'service/more')['fence'] > fence
            await self._check_release_on_stop(scene)

    async def _check_release_on_stop(self, scene: DaemonScene) -> None:
        """A stopping daemon must release its leases before it leaves.

        Otherwise its successor has to wait until they expire.
        """
        daemon = scene.daemons[0]
        await wait_for(lambda: scene.get_holder(SCOPE))
        await wait_for(lambda: scene.get_holder('usage'))
        holders: list[Any] = []
        leave = daemon.control.drain

        async def capture() -> None:
            holders.append(scene.get_holder(SCOPE))
            holders.append(scene.get_holder('usage'))
            await leave()

        daemon.control.drain = capture
        daemon.application.request_stop()
        await wait_for(lambda: holders)
        assert not any(holders)
        assert not scene.get('leases', SCOPE)['unreleased']


class TestUsage:
    """Guards against usage that is reported twice or not at all."""

    def test_usage_is_reported_once(self) -> None:
        """The usage of all daemons must be reported exactly once."""
        trio.run(self._check_usage)

    async def _check_usage(self) -> None:
        async with run_scene(daemons=2) as scene:
            for daemon in scene.daemons:
                assert await scene.chat(daemon, max_tokens=5) == 200
            scene.daemons[0].application.request_stop()
            await wait_for(lambda: sum_reports(scene)[COMPLETION] >= 10)
            seen = len(scene.get_reports())
            await wait_for(lambda: len(scene.get_reports()) > seen)
            windows = [window for window, _ in scene.get_reports()]
            assert len(windows) == len(set(windows))
            assert sum_reports(scene)[COMPLETION] == 10
            assert sum_reports(scene)[PROMPT] == 8
