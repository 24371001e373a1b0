"""Recognises availability zones that cannot be reached from here."""

from clementinedyke.clock import Milliseconds

#: Endpoints of a zone that must be out of reach, with no answer of another
#: one in between, before the zone is taken as cut off: one alone is down.
_MIN_ENDPOINTS = 2
#: A zone that is taken as cut off is tried again after this time; a cut lasts
#: seconds.
_PAUSE: Milliseconds = 1000


class ZoneReachability:
    """Endpoints that were out of reach since the last answer, by zone.

    In a cut each daemon would otherwise have to fail at every endpoint
    beyond it.
    """

    def __init__(self) -> None:
        """Create an object to which all zones are in reach."""
        self._silent: dict[str, set[str]] = {}
        self._paused_until: dict[str, Milliseconds] = {}

    def note_silence(
        self, zone: str, endpoint_id: str, now: Milliseconds
    ) -> None:
        """Take that an endpoint could not be reached.

        :param zone: its availability zone.
        :param endpoint_id: its id.
        :param now: current instant.
        """
        silent = self._silent.setdefault(zone, set())
        silent.add(endpoint_id)
        if len(silent) >= _MIN_ENDPOINTS:
            self._paused_until[zone] = now + _PAUSE

    def record_answer(self, zone: str) -> None:
        """Take that an endpoint of a zone answered.

        :param zone: its availability zone.
        """
        self._silent.pop(zone, None)
        self._paused_until.pop(zone, None)

    def is_unreachable(self, zone: str, now: Milliseconds) -> bool:
        """Tell whether a zone is taken as cut off.

        :param zone: availability zone.
        :param now: current instant.
        """
        return self._paused_until.get(zone, now) > now
