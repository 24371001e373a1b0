"""Runs requests that carry an idempotency key at most once."""

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

from clementinedyke.callers.collector import ResponseCollector
from clementinedyke.callers.context import RequestContext
from clementinedyke.claims import messages as claim_messages
from clementinedyke.claims.component import (
    ClaimComponent,
    ClaimOutcome,
    DispatchFailure,
)
from clementinedyke.codes import ExecutionState, ResultCode, get_details
from clementinedyke.http.body import AnswerHolding
from clementinedyke.http.message import RequestError, compile_result_headers

#: In milliseconds.
_RETRY_AFTER = 2000
_NONCE_BYTES = 16

#: Dispatches a request to endpoints and writes the response.
RunContext = Callable[[RequestContext], Awaitable[None]]


class ClaimedDispatch:
    """Runs requests with an ``Idempotency-Key`` at most once.

    The claim is made before the dispatch. A repeated request gets the stored
    response of the first one.
    """

    def __init__(self, claims: ClaimComponent, run: RunContext) -> None:
        """Create the dispatch.

        :param claims: component that claims keys for this daemon.
        :param run: dispatches a request; its response is collected.
        """
        self._claims = claims
        self._run = run

    async def run(self, context: RequestContext, key: str) -> None:
        """Answer a request with a new or a stored response.

        :param context: admitted request.
        :param key: value of the ``Idempotency-Key`` header.
        :raises RequestError: if the request was not run or its result is
            unknown.
        """
        event = claim_messages.ClaimRequested(
            request_id=context.outcome.request_id,
            key=_compile_key(context, key),
            digest=_compute_digest(context),
            nonce=secrets.token_hex(_NONCE_BYTES),
        )
        dispatch = partial(self._collect, context)
        claim_outcome = await self._claims.run_once(event, dispatch)
        await _send_outcome(context, claim_outcome)

    async def _collect(
        self, context: RequestContext
    ) -> claim_messages.StoredAnswer | DispatchFailure:
        holding = AnswerHolding(context.request.connection.memory)
        collector = ResponseCollector(holding.record_size)
        try:
            await self._run(replace(context, response=collector))
        except RequestError as error:
            execution = get_details(error.code).execution
            is_sent = execution is not ExecutionState.NOT_RUN
            return DispatchFailure(error.code, is_sent, str(error))
        return collector.get_answer()


async def _send_outcome(
    context: RequestContext, claim_outcome: ClaimOutcome
) -> None:
    if claim_outcome.answer is None:
        message = (
            claim_outcome.message or get_details(claim_outcome.code).meaning
        )
        raise RequestError(claim_outcome.code, message, _RETRY_AFTER)
    context.outcome.code = claim_outcome.code
    result_headers = compile_result_headers(
        claim_outcome.code, context.outcome.request_id
    )
    stored_headers = [
        (name.encode('latin-1'), content.encode('latin-1'))
        for name, content in claim_outcome.answer.headers
    ]
    if claim_outcome.code is ResultCode.REPLAYED:
        context.outcome.status = claim_outcome.answer.status
    await context.response.send_response(
        claim_outcome.answer.status,
        [*stored_headers, *result_headers],
        claim_outcome.answer.body,
    )


def _compile_key(context: RequestContext, key: str) -> str:
    """Return the row key; hashing the caller's key bounds its length."""
    customer = context.route.customer or ''
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'{context.route.service.name}/{customer}/{digest}'


def _compute_digest(context: RequestContext) -> str:
    digest = hashlib.sha256()
    request_line = f'{context.request.method} {context.route.target}\0'
    digest.update(request_line.encode())
    digest.update(context.request.body)
    return digest.hexdigest()
