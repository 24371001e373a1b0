"""Calls to the platform that return the kind of a failure."""

from result import Err, Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Milliseconds
from clementinedyke.exceptions import (
    AnswerLostError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import (
    Address,
    BodyLimits,
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
    client: HttpClient,
    request: HttpRequest,
    timeout: Milliseconds,
    body_limits: BodyLimits | None = None,
    *,
    doubts_idle: bool = False,
) -> CallResult:
    """Send a request over a pooled connection.

    Only for requests that do no harm if they arrive late.

    :param client: HTTP client of the platform.
    :param request: request with its complete body.
    :param timeout: longest wait for an answer in milliseconds.
    :param body_limits: limits for its body; None if the timeout includes it.
    :param doubts_idle: whether idle connections may have gone silent.
    """
    try:
        return Ok(
            await client.request(
                request, timeout, body_limits, doubts_idle=doubts_idle
            )
        )
    except PeerUnavailableError:
        return Err(TableFailure.NOT_DONE)
    except (AnswerLostError, ProtocolError):
        return Err(TableFailure.UNKNOWN)


async def call_unpooled(
    address: Address, request: HttpRequest, timeout: Milliseconds
) -> CallResult:
    """Send a request over a new connection that is closed afterwards.

    For requests that must not arrive late.

    :param address: address of the platform.
    :param request: request with its complete body.
    :param timeout: longest wait for an answer in milliseconds.
    """
    try:
        return Ok(await exchange_once(address, request, timeout))
    except PeerUnavailableError:
        return Err(TableFailure.NOT_DONE)
    except (AnswerLostError, ProtocolError):
        return Err(TableFailure.UNKNOWN)
