"""Client of the platform's object store."""

from urllib.parse import quote

from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.http.client import HttpClient, HttpRequest
from clementinedyke.peer_calls import (
    DEFAULT_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    call_pooled,
)


class ObjectClient:
    """Reads and writes objects as a whole."""

    def __init__(
        self, client: HttpClient, timeout: Milliseconds = DEFAULT_TIMEOUT
    ) -> None:
        """Create a client.

        :param client: HTTP client of the platform's address.
        :param timeout: maximum wait for an answer in milliseconds.
        """
        self._client = client
        self._timeout = timeout

    async def put_object(
        self, key: str, content: bytes
    ) -> Result[None, TableFailure]:
        """Store an object, replacing an existing one.

        :param key: object key.
        :param content: complete content.
        """
        request = HttpRequest('PUT', _get_path(key), body=content)
        answer = await call_pooled(self._client, request, self._timeout)
        if answer.is_err():
            return Err(answer.unwrap_err())
        if answer.unwrap().status != STATUS_OK:
            return Err(TableFailure.NOT_DONE)
        return Ok(None)

    async def get_object(self, key: str) -> Result[bytes | None, TableFailure]:
        """Return an object, or None if it does not exist.

        :param key: object key.
        """
        request = HttpRequest('GET', _get_path(key))
        answer = await call_pooled(self._client, request, self._timeout)
        if answer.is_err():
            return Err(answer.unwrap_err())
        response = answer.unwrap()
        if response.status == STATUS_NOT_FOUND:
            return Ok(None)
        if response.status != STATUS_OK:
            return Err(TableFailure.NOT_DONE)
        return Ok(response.body)


def _get_path(key: str) -> str:
    return f'/v1/objects/{quote(key, safe="")}'
