"""Status section that lists the endpoints."""

from collections.abc import Callable, Sequence

import msgspec

from clementinedyke.endpoints.registry import Endpoint


class EndpointStatus:
    """Reports the endpoints in the endpoint list of the platform."""

    def __init__(
        self, list_endpoints: Callable[[], Sequence[Endpoint]]
    ) -> None:
        """Create the status section.

        :param list_endpoints: returns all endpoints, live and leaving.
        """
        self._list_endpoints = list_endpoints

    def get_status(self) -> list[dict[str, str]]:
        """Return the fields of each endpoint by name."""
        return [
            msgspec.structs.asdict(endpoint)
            for endpoint in self._list_endpoints()
        ]

    def get_live_count(self) -> int:
        """Return the number of endpoints that accept new requests."""
        return sum(
            endpoint.state == 'live' for endpoint in self._list_endpoints()
        )
