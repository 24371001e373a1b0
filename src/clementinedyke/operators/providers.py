"""Interfaces through which components report to the operator port."""

from collections.abc import Callable
from typing import Any, Protocol

from clementinedyke.operators.metrics import Metrics
from clementinedyke.operators.outcomes import RecentOutcomes, RequestOutcome


class StatusProvider(Protocol):
    """Component with a section in the status; it must not block."""

    def get_status(self) -> Any:
        """Return the section as JSON-serialisable data without secrets."""


class OperatorReports:
    """Status, readiness, metrics and request outcomes of a daemon.

    Components register here; the operator port serves the result.
    """

    def __init__(self) -> None:
        """Create reports without sections and readiness conditions."""
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

        :param section: section name, for example ``members`` or ``leases``.
        :param provider: component that provides the section.
        """
        self._statuses[section] = provider.get_status

    def add_readiness(self, name: str, check: Callable[[], bool]) -> None:
        """Register a condition for the readiness of the daemon.

        :param name: name of the condition, reported while it is not met.
        :param check: returns whether the condition is met; must not block.
        """
        self._readiness[name] = check

    def record_outcome(self, outcome: RequestOutcome) -> None:
        """Count a finished request and store its outcome for ``explain``.

        :param outcome: outcome of the request.
        """
        self.outcomes.add(outcome)
        self.metrics.count_request(outcome)

    def start_draining(self) -> None:
        """Report the daemon as not ready until it stops."""
        self._is_draining = True

    def is_ready(self) -> bool:
        """Whether the daemon accepts new requests."""
        return not self.list_unready_reasons()

    def list_unready_reasons(self) -> list[str]:
        """Return the reasons why the daemon is not ready; empty if it is."""
        reasons = [
            name for name, check in self._readiness.items() if not check()
        ]
        if self._is_draining:
            reasons.append('draining')
        return reasons

    def compile_status(self) -> dict[str, Any]:
        """Return the status sections by name."""
        status: dict[str, Any] = {'not_ready': self.list_unready_reasons()}
        for section, get_status in self._statuses.items():
            status[section] = get_status()
        return status
