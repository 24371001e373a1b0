"""The section of the status that lists endpoints."""

from collections.abc import Callable, Sequence

import msgspec

from clementinedyke.endpoints.registry import Endpoint


class EndpointStatus:
    """Describes the endpoints that the platform lists."""

    def __init__(
        self, list_endpoints: Callable[[], Sequence[Endpoint]]
    ) -> None:
        """Create the section.

        :param list_endpoints: returns all endpoints, live and leaving.
        """
        self._list_endpoints = list_endpoints

    def get_status(self) -> list[dict[str, str]]:
        """Return name, service, zone, address, price class and state."""
        return [
            msgspec.structs.asdict(endpoint)
            for endpoint in self._list_endpoints()
        ]

    def get_live_count(self) -> int:
        """Return the number of endpoints that take new work."""
        return sum(
            endpoint.state == 'live' for endpoint in self._list_endpoints()
        )
