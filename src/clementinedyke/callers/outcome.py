"""Outcome of a request, for metrics, usage accounting and operators."""

from collections.abc import Callable
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.http.message import create_request_id
from clementinedyke.routing.types import RouteResult


@dataclass(frozen=True, slots=True)
class Attempt:
    """Attempt at an endpoint; the code is None if the caller disconnected."""

    endpoint: str
    code: ResultCode | None


@dataclass(slots=True)
class RequestOutcome:
    """Outcome of one request, updated while it runs.

    Times are in milliseconds of the daemon's clock. The code is None while the
    request runs, and stays None if the caller disconnected before the end.
    """

    received_at: Milliseconds
    request_id: str = field(default_factory=create_request_id)
    customer: str | None = None
    service: str | None = None
    code: ResultCode | None = None
    status: int | None = None
    attempts: list[Attempt] = field(default_factory=list)
    first_byte_at: Milliseconds | None = None
    ended_at: Milliseconds | None = None
    chunks: int = 0
    body_bytes: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    queue_time: Milliseconds | None = None
    priority: int = 0
    route_result: RouteResult | None = None

    def record_route_result(self, route_result: RouteResult) -> None:
        """Store the last decision of the router for ``explain``.

        :param route_result: selected endpoint and candidates, or the reason
            why none was selected.
        """
        self.route_result = route_result

    @property
    def endpoint(self) -> str | None:
        """Endpoint of the last attempt, None before the first."""
        return self.attempts[-1].endpoint if self.attempts else None

    @property
    def attempt_count(self) -> int:
        """Number of attempts so far."""
        return len(self.attempts)


@dataclass(frozen=True, slots=True)
class TokenUsage:
    """Tokens used by one request, for usage accounting."""

    customer: str
    service: str
    prompt_tokens: int
    completion_tokens: int


OutcomeObserver = Callable[[RequestOutcome], None]
UsageObserver = Callable[[TokenUsage], None]


def ignore_outcome(outcome: RequestOutcome) -> None:
    """Do nothing; the default observer of outcomes.

    :param outcome: outcome of an ended request.
    """


def ignore_usage(usage: TokenUsage) -> None:
    """Do nothing; the default observer of token usage.

    :param usage: tokens used by an ended request.
    """
