"""Reports the ended requests of callers to operators."""

from clementinedyke.callers import RequestOutcome as CallerOutcome
from clementinedyke.clock import Milliseconds
from clementinedyke.operators.outcomes import (
    Attempt,
    RequestOutcome,
    WeighedEndpoint,
)
from clementinedyke.routing.types import RouteResult


def describe_outcome(ended: CallerOutcome) -> RequestOutcome:
    """Return what operators are told of an ended request.

    Times to and between tokens are known for streamed answers only. The
    interval is the mean over the answer, since single tokens are not timed.

    :param ended: record of the request, filled by the caller port.
    """
    attempts = tuple(
        Attempt(tried.endpoint, tried.code) for tried in ended.attempts
    )
    return RequestOutcome(
        request_id=ended.request_id,
        service=ended.service or '',
        result_code=ended.code,
        customer=ended.customer,
        weighed=_list_weighed(ended.route_result),
        chosen=ended.endpoint,
        reason=''
        if ended.route_result is None
        else ended.route_result.reason.value,
        attempts=attempts,
        queue_time=ended.queue_time,
        first_token_time=_get_first_token_time(ended),
        token_intervals=_compile_intervals(ended),
    )


def _list_weighed(
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


def _is_streamed(ended: CallerOutcome) -> bool:
    return ended.completion_tokens > 0 and ended.chunks > 1


def _get_first_token_time(ended: CallerOutcome) -> Milliseconds | None:
    if ended.first_byte_at is None or not _is_streamed(ended):
        return None
    return ended.first_byte_at - ended.received_at


def _compile_intervals(ended: CallerOutcome) -> tuple[Milliseconds, ...]:
    intervals = ended.completion_tokens - 1
    if ended.first_byte_at is None or ended.ended_at is None:
        return ()
    if intervals < 1 or not _is_streamed(ended):
        return ()
    return ((ended.ended_at - ended.first_byte_at) // intervals,)
