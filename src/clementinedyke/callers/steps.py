"""Interfaces and default implementations of the pipeline steps."""

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

#: Calls of the registry per selection. Bounds the search for an endpoint that
#: was not tried yet.
_MAX_SELECT_CALLS = 64


class Admission(Protocol):
    """Decides whether and when a request may start."""

    def admit(
        self, context: RequestContext
    ) -> AbstractAsyncContextManager[None]:
        """Return the context manager in which the request runs.

        Entering waits until the request may start, or raises
        ``RequestError``. Exiting releases its capacity.
        """

    def record_first_byte(self, context: RequestContext) -> None:
        """Record that the prompt of a request was processed."""


class EndpointSelector(Protocol):
    """Selects the endpoint of an attempt."""

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return an endpoint that is not excluded, None if there is none."""

    def record_first_byte(self, context: RequestContext) -> None:
        """Record that the response of the last attempt has begun."""

    def record_attempt_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Record the result of an attempt.

        The code is None if the caller disconnected.
        """


class RetryPolicy(Protocol):
    """Decides whether and when a failed attempt is retried."""

    def plan_retry(
        self,
        context: RequestContext,
        code: ResultCode,
        deadline: Milliseconds,
    ) -> Milliseconds | None:
        """Return the delay before the next attempt, None to give up."""

    def record_success(self, context: RequestContext) -> None:
        """Record that a complete response was received."""


class UnlimitedAdmission:
    """Starts every request immediately."""

    def admit(
        self, context: RequestContext
    ) -> AbstractAsyncContextManager[None]:
        """Return a context manager that does nothing.

        :param context: request to admit.
        """
        return nullcontext()

    def record_first_byte(self, context: RequestContext) -> None:
        """Ignore the first byte of a response.

        :param context: request whose response has begun.
        """


class RoundRobinSelector:
    """Selects the live endpoints of a service in turn."""

    def __init__(self, registry: EndpointRegistry) -> None:
        """Create the selector.

        :param registry: endpoints that accept requests.
        """
        self._registry = registry

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return the next endpoint that is not excluded, or None.

        :param context: request to dispatch.
        :param excluded: names of endpoints that were already tried.
        """
        for _ in range(_MAX_SELECT_CALLS):
            client = self._registry.select_client(context.route.service.name)
            if client is None:
                return None
            name = str(client.address)
            if name not in excluded:
                return SelectedEndpoint(name, client)
        return None

    def record_first_byte(self, context: RequestContext) -> None:
        """Ignore the first byte of a response.

        :param context: request whose response has begun.
        """

    def record_attempt_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Ignore the result of an attempt.

        :param context: request of the attempt.
        :param name: endpoint of the attempt.
        :param code: result code, None if the caller disconnected.
        """


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Limits of the dispatch of one request; times in milliseconds.

    ``first_byte_timeout`` limits an attempt up to the first body byte, and
    ``request_timeout`` the request with all its attempts. A response with a
    Content-Length of at most ``max_buffered_bytes`` is received completely
    before it is relayed, so that the request can be retried or refused if the
    response is truncated.
    """

    max_attempts: int = 3
    first_byte_timeout: Milliseconds = 60000
    request_timeout: Milliseconds = 600000
    max_buffered_bytes: int = 1048576


class UnlimitedRetries:
    """Retries immediately; default without a retry budget."""

    def plan_retry(
        self,
        context: RequestContext,
        code: ResultCode,
        deadline: Milliseconds,
    ) -> Milliseconds | None:
        """Return a delay of 0.

        :param context: request whose attempt failed.
        :param code: result code of the failed attempt.
        :param deadline: time from which another attempt is useless.
        """
        return 0

    def record_success(self, context: RequestContext) -> None:
        """Ignore a complete response.

        :param context: request that got a complete response.
        """


def get_clear_verdict(fingerprint: str) -> Verdict:
    """Return the verdict clear; default without a quarantine.

    :param fingerprint: digest of customer, service and body.
    """
    return Verdict.CLEAR


def get_clear_part_verdict(context: RequestContext) -> Verdict:
    """Return the verdict clear; default without a quarantine.

    :param context: request to dispatch.
    """
    return Verdict.CLEAR


def ignore_end(request_id: str) -> None:
    """Do nothing; default without a quarantine.

    :param request_id: id of the request that ended.
    """


def get_zero_hold_time(fingerprint: str) -> Milliseconds:
    """Return a hold time of 0; default without a quarantine.

    :param fingerprint: digest of customer, service and body.
    """
    return 0


@dataclass(frozen=True, slots=True)
class HandlerOptions:
    """Replaceable parts of the pipeline.

    ``retries`` is consulted before each retry that the rules on repeatable
    requests allow. Without ``claims``, a request with an ``Idempotency-Key``
    is refused as not run.
    """

    admission: Admission = field(default_factory=UnlimitedAdmission)
    selector: EndpointSelector | None = None
    limits: DispatchLimits = DispatchLimits()
    clock: Clock = field(default_factory=MonotonicClock)
    retries: RetryPolicy = field(default_factory=UnlimitedRetries)
    claims: ClaimComponent | None = None
    get_verdict: Callable[[str], Verdict] = get_clear_verdict
    get_part_verdict: Callable[[RequestContext], Verdict] = (
        get_clear_part_verdict
    )
    end_request: Callable[[str], None] = ignore_end
    get_remaining_hold_time: Callable[[str], Milliseconds] = get_zero_hold_time
    connection_limit: ConnectionLimit = field(default_factory=ConnectionLimit)
    count_daemons: Callable[[], int] = count_single_daemon
    region: str = ''
    observe_outcome: OutcomeObserver = ignore_outcome
    observe_usage: UsageObserver = ignore_usage

    def get_worst_verdict(self, context: RequestContext) -> Verdict:
        """Return the verdict on a request or on the parts of its prompt.

        :param context: request to dispatch.
        """
        verdict = self.get_verdict(context.work.fingerprint)
        if verdict in {Verdict.HELD, Verdict.CONVICTED}:
            return verdict
        of_parts = self.get_part_verdict(context)
        return verdict if of_parts is Verdict.CLEAR else of_parts
