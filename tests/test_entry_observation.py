"""Tests of the metrics that tell a stalled process from a full link."""

import time

import trio
from prometheus_client import CollectorRegistry, generate_latest

from clementinedyke.entry.event_loop import EventLoopMonitor
from clementinedyke.entry.lending import LendingCounts


def get_sample(registry: CollectorRegistry, name: str, **labels: str) -> float:
    """Return the value of a sample, 0 if there is none."""
    return registry.get_sample_value(name, labels) or 0


class TestEventLoopMonitor:
    """Guards against a stalled event loop that no metric shows."""

    def test_stall(self) -> None:
        """A stall must be counted with its length."""
        registry = CollectorRegistry()
        monitor = EventLoopMonitor(registry)

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                await monitor.start(nursery)
                await trio.sleep(0.01)
                time.sleep(0.4)
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        trio.run(main)
        name = 'clementinedyke_entry_event_loop_delay_seconds'
        count = get_sample(registry, f'{name}_count')
        assert count > get_sample(registry, f'{name}_bucket', le='0.25')


class TestLendingCounts:
    """Guards against a link full of lent state that no metric shows."""

    def test_counts(self) -> None:
        """Lent bytes and fetches by outcome must be served."""
        counts = LendingCounts()
        registry = CollectorRegistry()
        registry.register(counts)
        counts.record_lent(30000)
        counts.record_lent(1)
        counts.record_fetch('failed')
        assert b'lent_bytes_total 30001' in generate_latest(registry)
        name = 'clementinedyke_entry_state_fetches_total'
        assert get_sample(registry, name, outcome='failed') == 1
