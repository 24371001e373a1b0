"""Steps of the pipeline that other subsystems replace."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass, field
from typing import Protocol

from clementinedyke.callers.context import RequestContext, SelectedEndpoint
from clementinedyke.callers.customer_limits import (
    ConnectionLimit,
    count_single_daemon,
)
from clementinedyke.callers.outcome import (
    OutcomeObserver,
    UsageObserver,
    ignore_outcome,
    ignore_usage,
)
from clementinedyke.claims.component import ClaimComponent
from clementinedyke.clock import Clock, Milliseconds, MonotonicClock
from clementinedyke.codes import ResultCode
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.quarantine.core import Verdict

#: Calls of the registry's rotation until an endpoint not yet tried is found.
_MAX_ROTATION = 64


class Admission(Protocol):
    """Decides whether and when a request starts."""

    def admit(
        self, context: RequestContext
    ) -> AbstractAsyncContextManager[None]:
        """Return the scope in which the request runs.

        Entering waits for the request's turn or raises ``RequestError``;
        leaving returns what the request held.
        """

    def record_first_byte(self, context: RequestContext) -> None:
        """Learn that the prompt of a request was processed."""


class EndpointSelector(Protocol):
    """Chooses the endpoint of a try."""

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return an endpoint that is not excluded, or None."""

    def record_first_byte(self, context: RequestContext) -> None:
        """Learn that the answer of the last try began."""

    def record_attempt_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Learn how a try ended; the code is None if the caller left."""


class RetryPolicy(Protocol):
    """Decides on further tries."""

    def plan_retry(
        self,
        context: RequestContext,
        code: ResultCode,
        deadline: Milliseconds,
    ) -> Milliseconds | None:
        """Return how long to wait before the next try, None to give up."""

    def record_success(self, context: RequestContext) -> None:
        """Learn that an answer was whole."""


class UnlimitedAdmission:
    """Starts every request at once."""

    def admit(
        self, context: RequestContext
    ) -> AbstractAsyncContextManager[None]:
        """Return an empty scope.

        :param context: request that wants to start.
        """
        return nullcontext()

    def record_first_byte(self, context: RequestContext) -> None:
        """Ignore the beginning of an answer.

        :param context: request whose answer began.
        """


class RoundRobinSelector:
    """Takes the live endpoints of a service in turn."""

    def __init__(self, registry: EndpointRegistry) -> None:
        """Create the selector.

        :param registry: endpoints that can take requests.
        """
        self._registry = registry

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return the next endpoint that is not excluded, or None.

        :param context: request to be dispatched.
        :param excluded: names of the endpoints that were tried.
        """
        for _ in range(_MAX_ROTATION):
            client = self._registry.select_client(context.route.service.name)
            if client is None:
                return None
            name = str(client.address)
            if name not in excluded:
                return SelectedEndpoint(name, client)
        return None

    def record_first_byte(self, context: RequestContext) -> None:
        """Ignore the beginning of an answer.

        :param context: request whose answer began.
        """

    def record_attempt_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Ignore the end of a try.

        :param context: request that was tried.
        :param name: endpoint of the try.
        :param code: result code, None if the caller left.
        """


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Bounds of the dispatch of one request; times in milliseconds.

    ``first_byte_timeout`` bounds one try up to the first body byte and
    ``request_timeout`` the request with all its tries. An answer of known
    length up to ``max_held_bytes`` is received whole before it is passed on,
    so that a broken one can still be tried again or refused.
    """

    max_attempts: int = 3
    first_byte_timeout: Milliseconds = 60000
    request_timeout: Milliseconds = 600000
    max_buffered_bytes: int = 1048576


class UnlimitedRetries:
    """Tries again at once; stands in for a retry budget."""

    def plan_retry(
        self,
        context: RequestContext,
        code: ResultCode,
        deadline: Milliseconds,
    ) -> Milliseconds | None:
        """Return no wait.

        :param context: request whose try failed.
        :param code: how the try failed.
        :param deadline: latest useful start of a try.
        """
        return 0

    def record_success(self, context: RequestContext) -> None:
        """Ignore a whole answer.

        :param context: request that was answered.
        """


def get_clear_verdict(fingerprint: str) -> Verdict:
    """Clear every request; stands in for a quarantine.

    :param fingerprint: digest of customer, service and body.
    """
    return Verdict.CLEAR


def get_zero_hold(fingerprint: str) -> Milliseconds:
    """Return no wait; stands in for a quarantine.

    :param fingerprint: digest of customer, service and body.
    """
    return 0


@dataclass(frozen=True, slots=True)
class HandlerOptions:
    """Parts of the pipeline that a daemon can replace.

    ``retries`` is asked before each further try, after the rules on
    repeatable requests allow it. Without ``claims``, a request with an
    ``Idempotency-Key`` is refused as not run.
    """

    admission: Admission = field(default_factory=UnlimitedAdmission)
    selector: EndpointSelector | None = None
    limits: DispatchLimits = DispatchLimits()
    clock: Clock = field(default_factory=MonotonicClock)
    retries: RetryPolicy = field(default_factory=UnlimitedRetries)
    claims: ClaimComponent | None = None
    get_verdict: Callable[[str], Verdict] = get_clear_verdict
    get_hold: Callable[[str], Milliseconds] = get_zero_hold
    connection_limit: ConnectionLimit = field(default_factory=ConnectionLimit)
    count_daemons: Callable[[], int] = count_single_daemon
    region: str = ''
    observe_outcome: OutcomeObserver = ignore_outcome
    observe_usage: UsageObserver = ignore_usage
