"""Pooled connections from this host to the endpoints."""

from collections import defaultdict
from collections.abc import Callable

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.http.client import MAX_IDLE_CONNECTIONS, HttpClient
from clementinedyke.http.idle_time_limit import IdleTimeLimit

#: The round trip to an endpoint takes about 1 ms, and TCP sends a lost SYN
#: again only after 1 s, so a longer wait would rarely succeed.
CONNECT_TIMEOUT: Milliseconds = 250


class EndpointConnections:
    """A client with a pool of connections for each run of an endpoint."""

    def __init__(self, get_max_idle: Callable[[str], int]) -> None:
        """Create an instance without connections.

        :param get_max_idle: returns the maximum number of idle connections
            to each endpoint of the service with the given name.
        """
        self._get_max_idle = get_max_idle
        #: By service, since its endpoints close idle connections alike.
        self._idle_limits: defaultdict[str, IdleTimeLimit] = defaultdict(
            IdleTimeLimit
        )
        self._clients: dict[str, HttpClient] = {}

    def get_client(self, endpoint: EntryEndpoint) -> HttpClient:
        """Return the client of a run of an endpoint.

        :param endpoint: endpoint to connect to.
        """
        client = self._clients.get(endpoint.run_id)
        if client is None:
            client = HttpClient(
                endpoint.address,
                connect_timeout=CONNECT_TIMEOUT,
                max_idle=self._get_max_idle(endpoint.service),
                idle_limit=self._idle_limits[endpoint.service],
            )
            self._clients[endpoint.run_id] = client
        return client

    def has_idle(self, endpoint: EntryEndpoint) -> bool:
        """Return whether an idle connection to an endpoint is open.

        :param endpoint: endpoint to look up.
        """
        client = self._clients.get(endpoint.run_id)
        return client is not None and client.has_idle

    async def close_stale(self, current_runs: set[str]) -> None:
        """Close the connections to endpoints that no longer exist.

        :param current_runs: run ids of the endpoints that still exist.
        """
        for run_id in set(self._clients) - current_runs:
            await self._clients.pop(run_id).close()


async def check_listening(endpoint: EntryEndpoint) -> bool | None:
    """Open a connection and return whether a process listens.

    None if the endpoint did not answer in time, so that it is unknown.

    :param endpoint: endpoint to connect to.
    """
    client = HttpClient(endpoint.address, connect_timeout=CONNECT_TIMEOUT)
    return await client.check_listening()


def get_max_idle(
    view: ConfigurationView, count_daemons: Callable[[], int], service: str
) -> int:
    """Return this daemon's share of the connection limit of an endpoint.

    :param view: view of the active configuration.
    :param count_daemons: returns the number of daemons that share the limit.
    :param service: name of the endpoint's service.
    """
    configuration = view.configuration
    known = configuration.services.get(service) if configuration else None
    if known is None or not known.max_connections:
        return MAX_IDLE_CONNECTIONS
    share = known.max_connections // count_daemons()
    return min(MAX_IDLE_CONNECTIONS, max(1, share))
