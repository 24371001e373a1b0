"""Converts the outcomes of caller requests for the operator port."""

from clementinedyke.callers import RequestOutcome as CallerOutcome
from clementinedyke.clock import Milliseconds
from clementinedyke.operators.outcomes import (
    Attempt,
    RequestOutcome,
    WeighedEndpoint,
)
from clementinedyke.routing.types import RouteResult


def describe_outcome(outcome: CallerOutcome) -> RequestOutcome:
    """Return the outcome of a finished request in the form for operators.

    The time to the first token and the token interval are available for
    streamed responses only. Individual tokens are not timed, so the interval
    is the mean over the response.

    :param outcome: outcome of the request as recorded by the caller port.
    """
    attempts = tuple(
        Attempt(attempt.endpoint, attempt.code) for attempt in outcome.attempts
    )
    return RequestOutcome(
        request_id=outcome.request_id,
        service=outcome.service or '',
        result_code=outcome.code,
        customer=outcome.customer,
        weighed=_list_weighed_endpoints(outcome.route_result),
        chosen=outcome.endpoint,
        reason=''
        if outcome.route_result is None
        else outcome.route_result.reason.value,
        attempts=attempts,
        queue_time=outcome.queue_time,
        first_token_time=_get_first_token_time(outcome),
        token_intervals=_compile_intervals(outcome),
    )


def _list_weighed_endpoints(
    route_result: RouteResult | None,
) -> tuple[WeighedEndpoint, ...]:
    if route_result is None:
        return ()
    return tuple(
        WeighedEndpoint(
            candidate.endpoint_id,
            -(candidate.prefill_cost + candidate.decode_cost),
        )
        for candidate in route_result.candidates
    )


def _is_streamed(outcome: CallerOutcome) -> bool:
    return outcome.completion_tokens > 0 and outcome.chunks > 1


def _get_first_token_time(outcome: CallerOutcome) -> Milliseconds | None:
    if outcome.first_byte_at is None or not _is_streamed(outcome):
        return None
    return outcome.first_byte_at - outcome.received_at


def _compile_intervals(outcome: CallerOutcome) -> tuple[Milliseconds, ...]:
    intervals = outcome.completion_tokens - 1
    if outcome.first_byte_at is None or outcome.ended_at is None:
        return ()
    if intervals < 1 or not _is_streamed(outcome):
        return ()
    return ((outcome.ended_at - outcome.first_byte_at) // intervals,)
