"""Turns the outcome of a caller request into its report to operators."""

from clementinedyke.callers import outcome as callers_outcome
from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.operators.outcomes import (
    Attempt,
    RequestOutcome,
    WeighedEndpoint,
)
from clementinedyke.route_types import Choice, RouteResult


def compile_report(outcome: callers_outcome.RequestOutcome) -> RequestOutcome:
    """Return what operators see of a request.

    :param outcome: outcome of a request that ended.
    """
    routed = outcome.routed
    chosen = routed.endpoint_id if isinstance(routed, Choice) else None
    reason = '' if routed is None else routed.reason.value
    return RequestOutcome(
        request_id=outcome.request_id,
        service=outcome.service or '',
        result_code=_get_code(outcome.code),
        customer=outcome.customer,
        weighed=_list_weighed(routed),
        chosen=chosen,
        reason=reason,
        attempts=tuple(
            Attempt(attempt.endpoint, _get_code(attempt.code))
            for attempt in outcome.attempts
        ),
        queue_time=outcome.queue_time,
        first_token_time=_get_first_token_time(outcome),
        token_intervals=_compile_intervals(outcome),
    )


def _get_code(code: ResultCode | None) -> ResultCode:
    return ResultCode.CALLER_LEFT if code is None else code


def _get_first_token_time(
    outcome: callers_outcome.RequestOutcome,
) -> Milliseconds | None:
    # The first byte of a whole answer comes after its last token.
    if outcome.first_byte_at is None or not _is_streamed(outcome):
        return None
    return outcome.first_byte_at - outcome.received_at


def _is_streamed(outcome: callers_outcome.RequestOutcome) -> bool:
    return outcome.completion_tokens > 0 and outcome.chunks > 1


def _compile_intervals(
    outcome: callers_outcome.RequestOutcome,
) -> tuple[Milliseconds, ...]:
    """Return the mean interval of an answer; single tokens are not timed."""
    intervals = outcome.completion_tokens - 1
    if outcome.first_byte_at is None or outcome.ended_at is None:
        return ()
    if intervals < 1 or not _is_streamed(outcome):
        return ()
    return ((outcome.ended_at - outcome.first_byte_at) // intervals,)


def _list_weighed(routed: RouteResult | None) -> tuple[WeighedEndpoint, ...]:
    if routed is None:
        return ()
    return tuple(
        WeighedEndpoint(
            candidate.endpoint_id,
            -(candidate.prefill_cost + candidate.decode_cost),
        )
        for candidate in routed.candidates
    )
