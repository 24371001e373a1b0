"""Dispatches a non-repeatable request under a claim."""

import hashlib
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

from clementinedyke.callers.collector import AnswerCollector
from clementinedyke.callers.context import RequestContext
from clementinedyke.claims import messages as claim_messages
from clementinedyke.claims.component import (
    ClaimComponent,
    ClaimOutcome,
    DispatchFailure,
)
from clementinedyke.codes import ExecutionState, ResultCode, get_details
from clementinedyke.http.message import RequestError, compile_result_headers

_RETRY_AFTER = 2000
_NONCE_BYTES = 16

#: Runs the request of a context against endpoints.
RunContext = Callable[[RequestContext], Awaitable[None]]


class ClaimedDispatch:
    """Runs requests with an ``Idempotency-Key`` at most once."""

    def __init__(self, claims: ClaimComponent, run: RunContext) -> None:
        """Create the step.

        :param claims: claims of this daemon.
        :param run: dispatches a context whose answer is collected.
        """
        self._claims = claims
        self._run = run

    async def run(self, context: RequestContext, key: str) -> None:
        """Answer a request with its own or its kept answer.

        :param context: request that may start.
        :param key: value of the ``Idempotency-Key`` header.
        :raises RequestError: if the request was not run, or it is not known.
        """
        event = claim_messages.ClaimRequested(
            request_id=context.outcome.request_id,
            key=_compile_key(context, key),
            digest=_compute_digest(context),
            nonce=secrets.token_hex(_NONCE_BYTES),
        )
        dispatch = partial(self._collect, context)
        ended = await self._claims.run_once(event, dispatch)
        await _write(context, ended)

    async def _collect(
        self, context: RequestContext
    ) -> claim_messages.KeptAnswer | DispatchFailure:
        collector = AnswerCollector()
        try:
            await self._run(replace(context, response=collector))
        except RequestError as error:
            execution = get_details(error.code).execution
            is_sent = execution is not ExecutionState.NOT_RUN
            return DispatchFailure(error.code, is_sent, str(error))
        return collector.get_answer()


async def _write(context: RequestContext, ended: ClaimOutcome) -> None:
    if ended.answer is None:
        message = ended.message or get_details(ended.code).meaning
        raise RequestError(ended.code, message, _RETRY_AFTER)
    context.outcome.code = ended.code
    own = compile_result_headers(ended.code, context.outcome.request_id)
    kept = [
        (name.encode('latin-1'), content.encode('latin-1'))
        for name, content in ended.answer.headers
    ]
    if ended.code is ResultCode.REPLAYED:
        context.outcome.status = ended.answer.status
    await context.response.send_response(
        ended.answer.status, [*kept, *own], ended.answer.body
    )


def _compile_key(context: RequestContext, key: str) -> str:
    """Return the row key; the caller's key is hashed to bound its length."""
    customer = context.route.customer or ''
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f'{context.route.service.name}/{customer}/{digest}'


def _compute_digest(context: RequestContext) -> str:
    digest = hashlib.sha256()
    head = f'{context.request.method} {context.route.target}\0'
    digest.update(head.encode())
    digest.update(context.request.body)
    return digest.hexdigest()
