"""Outcomes of recent requests, kept in memory for ``explain``."""

from collections import OrderedDict
from dataclasses import asdict, dataclass
from typing import Any

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode

_DEFAULT_CAPACITY = 4096


@dataclass(frozen=True, slots=True)
class WeighedEndpoint:
    """Endpoint considered by the router, which prefers the highest score."""

    endpoint_id: str
    score: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at an endpoint.

    The result code is None if the caller disconnected before the end.
    """

    endpoint_id: str
    result_code: ResultCode | None
    duration: Milliseconds | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOutcome:
    """How a request was routed and how it ended, without keys or content.

    The result code is None if the caller disconnected before the end.
    ``service`` is the name of a service record, or empty. It must not be a
    text chosen by the caller, because it becomes a metrics label.
    """

    request_id: str
    service: str
    result_code: ResultCode | None
    customer: str | None = None
    weighed: tuple[WeighedEndpoint, ...] = ()
    chosen: str | None = None
    reason: str = ''
    attempts: tuple[Attempt, ...] = ()
    queue_time: Milliseconds | None = None
    first_token_time: Milliseconds | None = None
    token_intervals: tuple[Milliseconds, ...] = ()


def get_code_name(code: ResultCode | None) -> str:
    """Return the name of a result code for output and metrics labels.

    :param code: result code, or None if the caller disconnected before the
        end.
    """
    return 'CALLER_LEFT' if code is None else code.name


class RecentOutcomes:
    """Bounded collection of the latest request outcomes by request id."""

    def __init__(self, capacity: int = _DEFAULT_CAPACITY) -> None:
        """Create an empty collection.

        :param capacity: maximum number of outcomes.
        """
        self._capacity = capacity
        self._outcomes: OrderedDict[str, RequestOutcome] = OrderedDict()

    def add(self, outcome: RequestOutcome) -> None:
        """Store an outcome and evict the oldest one above the capacity.

        :param outcome: outcome of a finished request.
        """
        self._outcomes[outcome.request_id] = outcome
        if len(self._outcomes) > self._capacity:
            self._outcomes.popitem(last=False)

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Return the outcome of a request as JSON-serialisable data.

        None is returned if the request is unknown or was evicted.

        :param request_id: value of ``Clementinedyke-Request-Id``.
        """
        outcome = self._outcomes.get(request_id)
        if outcome is None:
            return None
        described = asdict(outcome)
        # The intervals serve the histogram only and would make the response
        # too long.
        described.pop('token_intervals')
        described['result_name'] = get_code_name(outcome.result_code)
        return described
