"""Interfaces through which other components report to the operator port."""

from collections.abc import Callable
from typing import Any, Protocol

from clementinedyke.operators.metrics import Metrics
from clementinedyke.operators.outcomes import RecentOutcomes, RequestOutcome


class StatusProvider(Protocol):
    """A component that describes its state; it must not block."""

    def get_status(self) -> Any:
        """Return JSON-serialisable data without secrets."""


class OperatorReports:
    """What the operator port shows; components register with it."""

    def __init__(self) -> None:
        """Create empty reports."""
        self.metrics = Metrics()
        self.outcomes = RecentOutcomes()
        self._statuses: dict[str, Callable[[], Any]] = {}
        self._readiness: dict[str, Callable[[], bool]] = {}
        self._is_draining = False
        self.metrics.add_gauge(
            'ready', '1 while the daemon takes new requests.', self.is_ready
        )

    def add_status(self, section: str, provider: StatusProvider) -> None:
        """Register a section of the status.

        :param section: name, for example ``members`` or ``leases``.
        :param provider: component that describes the section.
        """
        self._statuses[section] = provider.get_status

    def add_readiness(self, name: str, check: Callable[[], bool]) -> None:
        """Register a condition without which the daemon is not ready.

        :param name: what must hold, shown while it does not.
        :param check: returns whether it holds; must not block.
        """
        self._readiness[name] = check

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Count a request that ended and keep it for ``explain``.

        :param outcome: outcome of the request.
        """
        self.outcomes.add(outcome)
        self.metrics.count_request(outcome)

    def start_draining(self) -> None:
        """Turn readiness false for good."""
        self._is_draining = True

    def is_ready(self) -> bool:
        """Whether the daemon takes new requests."""
        return not self.list_unready_reasons()

    def list_unready_reasons(self) -> list[str]:
        """Return why the daemon is not ready; empty when it is."""
        reasons = [
            name for name, check in self._readiness.items() if not check()
        ]
        if self._is_draining:
            reasons.append('draining')
        return reasons

    def compile_status(self) -> dict[str, Any]:
        """Return the status of all sections."""
        status: dict[str, Any] = {'not_ready': self.list_unready_reasons()}
        for section, get_status in self._statuses.items():
            status[section] = get_status()
        return status
