"""Endpoint stand-in that names a limit on its requests."""

import trio
from tests.platform_standin import EndpointStandin

from clementinedyke.http.message import ResponseWriter, ServerRequest

#: Requests a second.
_RATE = 1
_WINDOW_SECONDS = 4
#: Requests that a limited endpoint may get in a window.
ALLOWED = 1.5 * _RATE * _WINDOW_SECONDS + 5


class LimitingEndpoint:
    """Records the arrivals at an endpoint that names a limit while in need."""

    def __init__(self, standin: EndpointStandin) -> None:
        """Make a stand-in name the limit in all its answers."""
        self.standin = standin
        self.arrivals: list[float] = []
        standin.override = self._record
        standin.extra_headers = [(b'Server-Limit', str(float(_RATE)).encode())]

    def lift(self) -> None:
        """Name no limit any more."""
        self.standin.extra_headers = []

    async def _record(
        self,
        standin: EndpointStandin,
        request: ServerRequest,
        response: ResponseWriter,
    ) -> bool:
        self.arrivals.append(trio.current_time())
        return False

    def count_most(self, since: float) -> int:
        """Return the most arrivals in a window that begins later."""
        later = [moment for moment in self.arrivals if moment >= since]
        return max(
            (
                sum(
                    begin <= moment < begin + _WINDOW_SECONDS
                    for moment in later
                )
                for begin in later
            ),
            default=0,
        )
