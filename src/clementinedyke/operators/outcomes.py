"""Outcomes of recent requests, kept in memory to explain them."""

from collections import OrderedDict
from dataclasses import asdict, dataclass
from typing import Any

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode

_DEFAULT_CAPACITY = 4096


@dataclass(frozen=True, slots=True)
class WeighedEndpoint:
    """An endpoint that the router weighed; the highest score is preferred."""

    endpoint_id: str
    score: float


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try at an endpoint; the code is None if the caller left."""

    endpoint_id: str
    result_code: ResultCode | None
    duration: Milliseconds | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOutcome:
    """How a request was routed and ended; holds no key and no content.

    The result code is None if the caller left before the end. ``service`` is
    the name of a service record, or empty: it becomes a metrics label, which
    must not be chosen by callers.
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
    """Return the name of a result code for people and metrics labels.

    :param code: result code, or None if the caller left before the end.
    """
    return 'CALLER_LEFT' if code is None else code.name


class RecentOutcomes:
    """The outcomes of the last requests by request id."""

    def __init__(self, capacity: int = _DEFAULT_CAPACITY) -> None:
        """Create an empty ring.

        :param capacity: number of outcomes that are kept.
        """
        self._capacity = capacity
        self._outcomes: OrderedDict[str, RequestOutcome] = OrderedDict()

    def add(self, outcome: RequestOutcome) -> None:
        """Keep an outcome and drop the oldest one above the capacity.

        :param outcome: outcome of a finished request.
        """
        self._outcomes[outcome.request_id] = outcome
        if len(self._outcomes) > self._capacity:
            self._outcomes.popitem(last=False)

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Return the outcome of a request as JSON-serialisable data.

        :param request_id: value of ``Clementinedyke-Request-Id``.
        """
        outcome = self._outcomes.get(request_id)
        if outcome is None:
            return None
        described = asdict(outcome)
        # Intervals are for the histogram and would fill the answer.
        described.pop('token_intervals')
        described['result_name'] = get_code_name(outcome.result_code)
        return described
