"""Ejects unhealthy endpoints of a service and probes them for return."""

import enum
import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds

#: Weight of a new sample in the moving average of the first-token ratio.
_RATIO_WEIGHT = 0.3


class HealthState(enum.Enum):
    """Whether an endpoint may get requests.

    ``PROBING`` means that an ejected endpoint may get a single probe request.
    """

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBING = 'probing'


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """Limits that decide when and for how long an endpoint is ejected.

    An endpoint is ejected after ``failures`` failures without a success in
    between. It is also ejected for slowness after ``slow_samples`` samples or
    more, when its ratio of observed to expected first-token time exceeds
    ``slow_ratio`` times the median of the service. ``ejection`` is the time of
    the first ejection; it doubles with each further one, up to
    ``max_ejection``. ``max_ejected_share`` bounds the share of a service that
    is ejected at a time, because ejecting more would overload the remaining
    endpoints when the fault lies elsewhere.
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
        'probe_request_id',
        'samples',
        'smoothed_ratio',
    )

    def __init__(self) -> None:
        """Create the health of a new endpoint, which counts as healthy."""
        self.failures = 0
        self.ejections = 0
        self.is_ejected = False
        self.ejected_until: Milliseconds = 0
        self.probe_request_id: str | None = None
        self.samples = 0
        self.smoothed_ratio = float(1)

    def get_state(self, now: Milliseconds) -> HealthState:
        """Return whether the endpoint may get requests.

        :param now: current time.
        """
        if not self.is_ejected:
            return HealthState.HEALTHY
        if now < self.ejected_until or self.probe_request_id is not None:
            return HealthState.EJECTED
        return HealthState.PROBING


class HealthTable:
    """Health of the endpoints of one service."""

    def __init__(self, limits: HealthLimits) -> None:
        """Create an empty table.

        :param limits: limits for ejecting endpoints.
        """
        self._limits = limits
        self._endpoints: dict[str, EndpointHealth] = {}

    def add(self, endpoint_id: str) -> None:
        """Add an endpoint unless the table already has it.

        :param endpoint_id: endpoint of the service.
        """
        self._endpoints.setdefault(endpoint_id, EndpointHealth())

    def remove(self, endpoint_id: str) -> None:
        """Remove an endpoint if the table has it.

        :param endpoint_id: endpoint that left.
        """
        self._endpoints.pop(endpoint_id, None)

    def get_health(self, endpoint_id: str) -> EndpointHealth:
        """Return the health of an endpoint.

        :param endpoint_id: endpoint that was added.
        """
        return self._endpoints[endpoint_id]

    def record_success(self, endpoint_id: str, request_id: str) -> None:
        """Record a request that succeeded.

        An ejected endpoint returns only if the request was its probe.

        :param endpoint_id: endpoint that answered.
        :param request_id: request that was answered.
        """
        health = self._endpoints.get(endpoint_id)
        if health is None:
            return
        if health.is_ejected and health.probe_request_id != request_id:
            return
        if health.is_ejected:
            health.samples = 0
            health.smoothed_ratio = 1
        health.failures = 0
        health.is_ejected = False
        health.probe_request_id = None

    def record_failure(
        self, endpoint_id: str, request_id: str, now: Milliseconds
    ) -> None:
        """Record a failure and eject the endpoint if a limit is reached.

        A failed probe ejects the endpoint again.

        :param endpoint_id: endpoint that failed.
        :param request_id: request that failed.
        :param now: current time.
        """
        health = self._endpoints.get(endpoint_id)
        if health is None:
            return
        health.failures += 1
        is_probe = health.probe_request_id == request_id
        if is_probe:
            health.probe_request_id = None
        if is_probe or health.failures >= self._limits.failures:
            self._eject(health, now)

    def record_first_token(
        self, endpoint_id: str, ratio: float, now: Milliseconds
    ) -> None:
        """Record a first-token time and eject the endpoint if it is slow.

        :param endpoint_id: endpoint that answered.
        :param ratio: observed divided by expected first-token time.
        :param now: current time.
        """
        health = self._endpoints.get(endpoint_id)
        if health is None:
            return
        health.samples += 1
        health.smoothed_ratio += _RATIO_WEIGHT * (ratio - health.smoothed_ratio)
        if health.samples < self._limits.slow_samples or health.is_ejected:
            return
        median = statistics.median(
            peer.smoothed_ratio for peer in self._endpoints.values()
        )
        if health.smoothed_ratio > self._limits.slow_ratio * max(median, 1):
            self._eject(health, now)

    def record_probe(self, endpoint_id: str, request_id: str) -> None:
        """Record a request as the probe of an endpoint that is ejected.

        Does nothing if the endpoint is healthy or already has a probe.

        :param endpoint_id: endpoint that gets the request.
        :param request_id: request that was dispatched to it.
        """
        health = self._endpoints[endpoint_id]
        if health.is_ejected and health.probe_request_id is None:
            health.probe_request_id = request_id

    def release_probe(
        self, endpoint_ids: Iterable[str], request_id: str
    ) -> None:
        """Allow a new probe after one that ended without an answer.

        :param endpoint_ids: endpoints that ran the request.
        :param request_id: request that ended.
        """
        for endpoint_id in endpoint_ids:
            health = self._endpoints.get(endpoint_id)
            if health is not None and health.probe_request_id == request_id:
                health.probe_request_id = None

    def _eject(self, health: EndpointHealth, now: Milliseconds) -> None:
        if not (health.is_ejected or self._can_eject()):
            return
        health.is_ejected = True
        health.ejections += 1
        duration = self._limits.ejection << min(health.ejections - 1, 10)
        health.ejected_until = now + min(duration, self._limits.max_ejection)

    def _can_eject(self) -> bool:
        total = len(self._endpoints)
        if total < 2:
            return False
        ejected = sum(
            1 for health in self._endpoints.values() if health.is_ejected
        )
        allowed = max(1, int(total * self._limits.max_ejected_share))
        return ejected < allowed
