"""Status and metrics of the leases, orders and usage of a daemon."""

from collections.abc import Iterator
from typing import Any

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from clementinedyke.authority.component import AuthorityComponent
from clementinedyke.clock import Clock
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.types import Identity


class LeaseReport:
    """Status of the leases that this daemon may acquire.

    Taken from the last known rows, which may be out of date.
    """

    def __init__(self, authority: AuthorityComponent, clock: Clock) -> None:
        """Create the report.

        :param authority: component that owns the leases.
        :param clock: clock of the process.
        """
        self._authority = authority
        self._clock = clock

    def get_status(self) -> list[dict[str, Any]]:
        """Return holder, fence and unreleased former holders by scope."""
        leases = self._authority.leases
        if leases is None:
            return []
        return [
            self._describe(scope, core)
            for scope, core in sorted(leases.cores.items())
        ]

    def _describe(self, scope: str, core: LeaseCore) -> dict[str, Any]:
        holder = core.holder
        return {
            'scope': scope,
            'held': core.is_held(self._clock.get_now()),
            'fence': core.fence,
            'holder': holder and _describe_identity(holder),
            'unreleased': [
                _describe_identity(former.identity)
                for former in core.unreleased
            ],
        }


class OrderReport:
    """Status of the last order of each target of the held leases."""

    def __init__(self, authority: AuthorityComponent) -> None:
        """Create the report.

        :param authority: component that owns the outboxes.
        """
        self._authority = authority

    def get_status(self) -> list[dict[str, Any]]:
        """Return identifier, kind, argument, fence and outcome by target."""
        return [
            {
                'service': name,
                'target': target,
                'order_id': row.order_id,
                'kind': row.kind.value,
                'argument': row.argument,
                'fence': row.fence,
                'outcome': row.outcome,
            }
            for name, service in sorted(self._authority.services.items())
            for target, row in service.outbox.core.list_rows()
        ]


class UsageReport:
    """Status of the usage windows known to this daemon."""

    def __init__(self, authority: AuthorityComponent) -> None:
        """Create the report.

        :param authority: component that owns the usage accounting.
        """
        self._authority = authority

    def get_status(self) -> dict[str, Any]:
        """Return the windows and counts, empty before the start.

        ``part_window`` is the window that this daemon writes to.
        ``open_window`` is the last window known to be open, 0 on a daemon that
        never held the usage lease.
        """
        part = self._authority.part
        closer = self._authority.closer
        if part is None or closer is None:
            return {}
        return {
            'part_window': part.core.window,
            'part_written': part.core.is_flushed,
            'open_window': closer.core.open_window,
            'windows_closed': closer.counts['closing'],
            'windows_reported': closer.counts['reported'],
        }


class AuthorityCollector(Collector):
    """Counters of lease changes, orders and usage window states."""

    def __init__(self, authority: AuthorityComponent) -> None:
        """Create the collector.

        :param authority: component that owns leases, outboxes and usage.
        """
        self._authority = authority

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Return the counters since the start of this daemon."""
        leases = self._authority.leases
        changes = CounterMetricFamily(
            'clementinedyke_lease_changes',
            'Leases that this daemon gained or lost.',
            value=leases.changes if leases else 0,
        )
        yield changes
        yield self._collect_orders()
        windows = CounterMetricFamily(
            'clementinedyke_usage_windows',
            'Steps of usage windows that this daemon wrote.',
            labels=('state',),
        )
        closer = self._authority.closer
        for state in ('closing', 'summed', 'reported'):
            count = closer.counts[state] if closer else 0
            windows.add_metric((state,), count)
        yield windows

    def _collect_orders(self) -> CounterMetricFamily:
        orders = CounterMetricFamily(
            'clementinedyke_orders',
            'Orders by service and what became of them.',
            labels=('service', 'event'),
        )
        for name, service in self._authority.services.items():
            for event, count in service.outbox.counts.items():
                orders.add_metric((name, event), count)
        return orders


def _describe_identity(identity: Identity) -> dict[str, str]:
    return {
        'host': identity.host,
        'address': identity.address,
        'incarnation': identity.incarnation,
    }
