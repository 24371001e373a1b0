"""One call to the platform, with the kinds of failure told apart."""

from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.client import (
    Address,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.orders.connection import exchange_once

DEFAULT_TIMEOUT: Milliseconds = 2000
STATUS_OK = 200
STATUS_NOT_FOUND = 404

CallResult = Result[HttpResponse, TableFailure]


async def call_pooled(
    client: HttpClient, request: HttpRequest, timeout: Milliseconds
) -> CallResult:
    """Call over a pooled connection, for calls that are safe when late.

    :param client: HTTP client of the platform's address.
    :param request: request with its whole body.
    :param timeout: longest wait for an answer in milliseconds.
    """
    try:
        return Ok(await client.request(request, timeout))
    except PeerUnavailableError:
        return Err(TableFailure.NOT_DONE)
    except AnswerLostError:
        return Err(TableFailure.UNKNOWN)


async def call_unpooled(
    address: Address, request: HttpRequest, timeout: Milliseconds
) -> CallResult:
    """Call over a connection of its own, for calls that must not be late.

    :param address: the platform's address.
    :param request: request with its whole body.
    :param timeout: longest wait for an answer in milliseconds.
    """
    try:
        return Ok(await exchange_once(address, request, timeout))
    except PeerUnavailableError:
        return Err(TableFailure.NOT_DONE)
    except AnswerLostError:
        return Err(TableFailure.UNKNOWN)
