"""Client of the platform's host list, with live and leaving hosts."""

import msgspec
from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.decoding import decode_json
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import HttpClient, HttpRequest
from clementinedyke.peer_calls import (
    DEFAULT_TIMEOUT,
    STATUS_OK,
    call_pooled,
)


class Host(msgspec.Struct, frozen=True):
    """Entry of the host list; ``host`` is the host's name."""

    host: str


class HostListClient:
    """Reads the host list.

    The list is updated with a delay: it may miss a new host and still contain
    one that is gone.
    """

    def __init__(
        self, client: HttpClient, timeout: Milliseconds = DEFAULT_TIMEOUT
    ) -> None:
        """Create a client.

        :param client: HTTP client of the platform's address.
        :param timeout: maximum wait for an answer in milliseconds.
        """
        self._client = client
        self._timeout = timeout

    async def list_hosts(self) -> Result[frozenset[str], TableFailure]:
        """Return the names of the listed hosts."""
        request = HttpRequest('GET', '/v1/hosts')
        answer = await call_pooled(self._client, request, self._timeout)
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status != STATUS_OK:
            return Err(TableFailure.NOT_DONE)
        try:
            hosts = decode_json(response.body, list[Host])
        except ProtocolError:
            return Err(TableFailure.NOT_DONE)
        return Ok(frozenset(host.host for host in hosts))
