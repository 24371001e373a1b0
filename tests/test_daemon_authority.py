"""Tests of leases, orders and usage reports of running daemons."""

import json
from collections import Counter
from typing import Any

import trio

from clementinedyke.control.daemon_reports import DaemonReports
from clementinedyke.standins.engine import EngineStandin
from daemon_cluster import DaemonCluster, run_daemon_cluster, wait_for

SCOPE = 'service/chat'
COMPLETION = 'lofts/chat/completion_tokens'
PROMPT = 'lofts/chat/prompt_tokens'


def sum_reports(cluster: DaemonCluster) -> Counter[str]:
    """Return the figures summed over all usage reports."""
    total: Counter[str] = Counter()
    for _, figures in cluster.get_reports():
        total.update(figures)
    return total


def list_endpoint_orders(cluster: DaemonCluster) -> list[str]:
    """Return the arguments of all orders sent to the endpoint interface."""
    return [
        json.loads(body)['argument']
        for path, body, _ in cluster.platform.stored_requests
        if path.startswith('/v1/endpoint-orders/')
    ]


def capture_orders(
    cluster: DaemonCluster,
    key: str,
    engine: EngineStandin,
    seen: dict[str, Any],
) -> None:
    """Capture orders to an engine, each with the row stored at its arrival."""
    forward_order = engine._handle_order

    async def capture(order: Any, response: Any) -> None:
        seen[key] = (cluster.get('orders', key), order)
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
        async with run_daemon_cluster() as cluster:
            daemon = cluster.daemons[0]
            await wait_for(lambda: cluster.get_holder(SCOPE))
            recorded: dict[str, Any] = {}
            for index, engine in enumerate(cluster.engines):
                capture_orders(
                    cluster, f'{SCOPE}|engine-{index}', engine, recorded
                )
            prompt = [{'role': 'user', 'content': 'x' * 600000}]
            await cluster.chat(daemon, messages=prompt, max_tokens=1)
            await wait_for(lambda: recorded)
            key, (row, order) = recorded.popitem()
            assert row['order_id'] == order['order_id']
            assert (order['kind'], order['argument']) == ('role', 'prefill')
            await wait_for(
                lambda: cluster.get('orders', key)['outcome'] == 'done'
            )

            # The store has the outcome before its answer reaches the daemon.
            await wait_for(
                lambda: (
                    self._get_outcome(daemon.reports, row['order_id']) == 'done'
                )
            )
            self._check_reports(daemon.reports, row['order_id'])
            await wait_for(lambda: list_endpoint_orders(cluster))
            assert list_endpoint_orders(cluster) == ['zone-a/standard/3']

    def _get_outcome(self, reports: DaemonReports, order_id: str) -> str:
        """Return the outcome of an order in the daemon's status."""
        orders = reports.compile_status()['orders']
        outcomes = {row['order_id']: row['outcome'] for row in orders}
        return outcomes[order_id]

    def _check_reports(self, reports: DaemonReports, order_id: str) -> None:
        """Check that status and metrics show the lease and the order."""
        status = reports.compile_status()
        leases = {lease['scope']: lease for lease in status['leases']}
        assert leases[SCOPE]['held']
        assert leases[SCOPE]['holder']['host'] == 'host-0'
        assert self._get_outcome(reports, order_id) == 'done'
        assert status['usage']['part_window'] > 0
        metrics = reports.metrics.render().decode()
        done = 'clementinedyke_orders_total{event="done",service="chat"}'
        assert done in metrics
        assert 'clementinedyke_lease_changes_total 2.0' in metrics

    def test_leases_are_released(self) -> None:
        """Withdrawing a service or stopping a daemon must release leases."""
        trio.run(self._check_release)

    async def _check_release(self) -> None:
        async with run_daemon_cluster() as cluster:
            cluster.write('service', 'more', backend='model', models=['n'])
            await wait_for(lambda: cluster.get_holder('service/more'))
            fence = cluster.get('leases', 'service/more')['fence']
            cluster.withdraw('service', 'more')
            await wait_for(lambda: not cluster.get_holder('service/more'))
            services = cluster.daemons[0].authority.services
            await wait_for(lambda: 'more' not in services)
            cluster.write('service', 'more', backend='model', models=['n'])
            await wait_for(lambda: cluster.get_holder('service/more'))
            assert cluster.get('leases', 'service/more')['fence'] > fence
            await self._check_release_on_stop(cluster)

    async def _check_release_on_stop(self, cluster: DaemonCluster) -> None:
        """A stopping daemon must release its leases before it leaves.

        Otherwise its successor has to wait until they expire.
        """
        daemon = cluster.daemons[0]
        await wait_for(lambda: cluster.get_holder(SCOPE))
        await wait_for(lambda: cluster.get_holder('usage'))
        holders: list[Any] = []
        leave = daemon.control.drain

        async def capture() -> None:
            holders.append(cluster.get_holder(SCOPE))
            holders.append(cluster.get_holder('usage'))
            await leave()

        daemon.control.drain = capture
        daemon.application.request_stop()
        await wait_for(lambda: holders)
        assert not any(holders)
        assert not cluster.get('leases', SCOPE)['unreleased']


class TestUsage:
    """Guards against usage that is reported twice or not at all."""

    def test_usage_is_reported_once(self) -> None:
        """The usage of all daemons must be reported exactly once."""
        trio.run(self._check_usage)

    async def _check_usage(self) -> None:
        async with run_daemon_cluster(daemons=2) as cluster:
            for daemon in cluster.daemons:
                assert await cluster.chat(daemon, max_tokens=5) == 200
            cluster.daemons[0].application.request_stop()
            await wait_for(lambda: sum_reports(cluster)[COMPLETION] >= 10)
            seen = len(cluster.get_reports())
            await wait_for(lambda: len(cluster.get_reports()) > seen)
            windows = [window for window, _ in cluster.get_reports()]
            assert len(windows) == len(set(windows))
            assert sum_reports(cluster)[COMPLETION] == 10
            assert sum_reports(cluster)[PROMPT] == 8
