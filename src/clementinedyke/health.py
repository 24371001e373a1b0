"""Health of the endpoints of one service: ejection and probing back."""

import enum
import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds

_SMOOTHING = 0.3


class HealthState(enum.Enum):
    """Whether an endpoint takes work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'probing'


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """When an endpoint is ejected and for how long.

    ``slow_ratio`` compares an endpoint's first-token time over its expected
    time with the median of the service. ``max_ejected_share`` bounds the
    share of a service that is ejected at once, because ejecting more would
    overload the rest when the fault is not at the endpoints.
    """

    failures: int = 3
    slow_ratio: float = 4
    slow_samples: int = 8
    ejection: Milliseconds = 5000
    max_ejection: Milliseconds = 60_000
    max_ejected_share: float = 0.34


class EndpointHealth:
    """Mutable health of one endpoint."""

    __slots__ = (
        'ejected_until',
        'ejections',
        'failures',
        'is_ejected',
        'probe_request',
        'samples',
        'slowness',
    )

    def __init__(self) -> None:
        """Create the health of an endpoint that nothing is known about."""
        self.failures = 0
        self.ejections = 0
        self.is_ejected = False
        self.ejected_until: Milliseconds = 0
        self.probe_request: str | None = None
        self.samples = 0
        self.slowness = float(1)

    def get_state(self, now: Milliseconds) -> HealthState:
        """Return whether the endpoint takes work.

        :param now: current time.
        """
        if not self.is_ejected:
            return HealthState.HEALTHY
        if now < self.ejected_until or self.probe_request is not None:
            return HealthState.EJECTED
        return HealthState.PROBING


class HealthTable:
    """Health of the endpoints of one service."""

    def __init__(self, limits: HealthLimits) -> None:
        """Create an empty table.

        :param limits: limits of ejection.
        """
        self._limits = limits
        self._endpoints: dict[str, EndpointHealth] = {}

    def add(self, endpoint_id: str) -> None:
        """Add an endpoint unless it is known.

        :param endpoint_id: endpoint of the service.
        """
        self._endpoints.setdefault(endpoint_id, EndpointHealth())

    def remove(self, endpoint_id: str) -> None:
        """Forget an endpoint.

        :param endpoint_id: endpoint that left.
        """
        self._endpoints.pop(endpoint_id, None)

    def get_health(self, endpoint_id: str) -> EndpointHealth:
        """Return the health of an endpoint.

        :param endpoint_id: endpoint that was added.
        """
        return self._endpoints[endpoint_id]

    def record_success(self, endpoint_id: str, request_id: str) -> None:
        """Count a request that succeeded.

        :param endpoint_id: endpoint that answered.
        :param request_id: request that was answered.
        """
        health = self._endpoints.get(endpoint_id)
        if health is None:
            return
        if health.is_ejected and health.probe_request != request_id:
            return
        if health.is_ejected:
            health.samples = 0
            health.slowness = 1
        health.failures = 0
        health.is_ejected = False
        health.probe_request = None

    def record_failure(
        self, endpoint_id: str, request_id: str, now: Milliseconds
    ) -> None:
        """Count a failure and eject the endpoint after too many.

        :param endpoint_id: endpoint that failed.
        :param request_id: request that failed.
        :param now: current time.
        """
        health = self._endpoints.get(endpoint_id)
        if health is None:
            return
        health.failures += 1
        is_probe = health.probe_request == request_id
        if is_probe:
            health.probe_request = None
        if is_probe or health.failures >= self._limits.failures:
            self._eject(health, now)

    def record_first_token(
        self, endpoint_id: str, ratio: float, now: Milliseconds
    ) -> None:
        """Count a first-token time and eject the endpoint if it is slow.

        :param endpoint_id: endpoint that answered.
        :param ratio: observed over expected first-token time.
        :param now: current time.
        """
        health = self._endpoints.get(endpoint_id)
        if health is None:
            return
        health.samples += 1
        health.slowness += _SMOOTHING * (ratio - health.slowness)
        if health.samples < self._limits.slow_samples or health.is_ejected:
            return
        median = statistics.median(
            peer.slowness for peer in self._endpoints.values()
        )
        if health.slowness > self._limits.slow_ratio * max(median, 1):
            self._eject(health, now)

    def record_probe(self, endpoint_id: str, request_id: str) -> None:
        """Note the request that probes an endpoint, if it is ejected.

        :param endpoint_id: endpoint that gets a request.
        :param request_id: only request that an ejected one gets.
        """
        health = self._endpoints[endpoint_id]
        if health.is_ejected and health.probe_request is None:
            health.probe_request = request_id

    def release_probe(
        self, endpoint_ids: Iterable[str], request_id: str
    ) -> None:
        """Let another request probe after one that ended without an answer.

        :param endpoint_ids: endpoints that the request went to.
        :param request_id: request that ended.
        """
        for endpoint_id in endpoint_ids:
            health = self._endpoints.get(endpoint_id)
            if health is not None and health.probe_request == request_id:
                health.probe_request = None

    def _eject(self, health: EndpointHealth, now: Milliseconds) -> None:
        if not (health.is_ejected or self._may_eject()):
            return
        health.is_ejected = True
        health.ejections += 1
        duration = self._limits.ejection << min(health.ejections - 1, 10)
        health.ejected_until = now + min(duration, self._limits.max_ejection)

    def _may_eject(self) -> bool:
        total = len(self._endpoints)
        if total < 2:
            return False
        ejected = sum(
            1 for health in self._endpoints.values() if health.is_ejected
        )
        allowed = max(1, int(total * self._limits.max_ejected_share))
        return ejected < allowed
