"""Tests of leases, orders and usage as a running daemon wires them."""

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
    """Return the sum of the figures of all reports."""
    total: Counter[str] = Counter()
    for _, figures in scene.get_reports():
        total.update(figures)
    return total


def list_endpoint_orders(scene: DaemonScene) -> list[str]:
    """Return the arguments of the orders at the endpoint interface."""
    return [
        json.loads(body)['argument']
        for path, body, _ in scene.platform.received
        if path.startswith('/v1/endpoint-orders/')
    ]


def watch_orders(
    scene: DaemonScene,
    key: str,
    engine: EngineStandin,
    seen: dict[str, Any],
) -> None:
    """Note each order with the row that was recorded when it arrived."""
    take_order = engine._take_order

    async def note(order: Any, response: Any) -> None:
        seen[key] = (scene.get('orders', key), order)
        await take_order(order, response)

    engine._take_order = note


class TestLeases:
    """Guards against a daemon that seeks no lease, or keeps one for ever."""

    def test_order_is_recorded_first(self) -> None:
        """An engine never gets an order that the next holder cannot see."""
        trio.run(self._order)

    async def _order(self) -> None:
        async with run_scene() as scene:
            daemon = scene.daemons[0]
            await wait_for(lambda: scene.get_holder(SCOPE))
            recorded: dict[str, Any] = {}
            for index, engine in enumerate(scene.engines):
                watch_orders(scene, f'{SCOPE}|engine-{index}', engine, recorded)
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
        """Operators see the lease, the order and the counters."""
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

    def test_scopes_and_stop(self) -> None:
        """A withdrawn service or a stopped daemon must not keep a lease."""
        trio.run(self._follow)

    async def _follow(self) -> None:
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
            await self._check_stop(scene)

    async def _check_stop(self, scene: DaemonScene) -> None:
        """A stopped daemon must not make its successor wait for a lapse."""
        daemon = scene.daemons[0]
        await wait_for(lambda: scene.get_holder(SCOPE))
        await wait_for(lambda: scene.get_holder('usage'))
        holders: list[Any] = []
        leave = daemon.control.drain

        async def note() -> None:
            holders.append(scene.get_holder(SCOPE))
            holders.append(scene.get_holder('usage'))
            await leave()

        daemon.control.drain = note
        daemon.application.request_stop()
        await wait_for(lambda: holders)
        assert not any(holders)
        assert not scene.get('leases', SCOPE)['unreleased']


class TestUsage:
    """Guards against work that is billed twice or not at all."""

    def test_usage_is_reported_once(self) -> None:
        """The figures of all daemons' requests are in the reports once."""
        trio.run(self._report)

    async def _report(self) -> None:
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
