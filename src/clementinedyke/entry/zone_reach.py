"""Detects availability zones that this host cannot reach."""

from clementinedyke.clock import Milliseconds

#: Endpoints of a zone that must fail to answer, with no answer from the zone in
#: between, before the whole zone counts as unreachable. A single one is just
#: down.
_MIN_ENDPOINTS = 2
#: Time after which an unreachable zone is tried again; network partitions last
#: seconds.
_UNREACHABLE_PAUSE: Milliseconds = 1000


class ZoneReachability:
    """Endpoints of each zone that failed since the zone last answered.

    Without it, in a network partition each daemon would have to wait for a
    failure of every endpoint on the other side.
    """

    def __init__(self) -> None:
        """Create an instance that considers all zones reachable."""
        self._unresponsive: dict[str, set[str]] = {}
        self._paused_until: dict[str, Milliseconds] = {}

    def record_timeout(
        self, zone: str, endpoint_id: str, now: Milliseconds
    ) -> None:
        """Record that an endpoint could not be reached or did not answer.

        :param zone: availability zone of the endpoint.
        :param endpoint_id: id of the endpoint.
        :param now: current instant.
        """
        unresponsive = self._unresponsive.setdefault(zone, set())
        unresponsive.add(endpoint_id)
        if len(unresponsive) >= _MIN_ENDPOINTS:
            self._paused_until[zone] = now + _UNREACHABLE_PAUSE

    def record_answer(self, zone: str) -> None:
        """Record an answer of an endpoint, which makes its zone reachable.

        :param zone: availability zone of the endpoint.
        """
        self._unresponsive.pop(zone, None)
        self._paused_until.pop(zone, None)

    def is_unreachable(self, zone: str, now: Milliseconds) -> bool:
        """Return whether a zone counts as unreachable.

        :param zone: availability zone.
        :param now: current instant.
        """
        return self._paused_until.get(zone, now) > now
