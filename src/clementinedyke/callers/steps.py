"""Steps of the pipeline that other subsystems replace."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass, field
from typing import Protocol

from clementinedyke.callers.context import RequestContext, SelectedEndpoint
from clementinedyke.callers.outcome import (
    OutcomeObserver,
    UsageObserver,
    ignore_outcome,
    ignore_usage,
)
from clementinedyke.clock import Clock, Milliseconds, MonotonicClock
from clementinedyke.endpoints.registry import EndpointRegistry

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


class EndpointSelector(Protocol):
    """Chooses the endpoint of a try."""

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return an endpoint that is not excluded, or None."""


class OpenAdmission:
    """Starts every request at once."""

    def admit(
        self, context: RequestContext
    ) -> AbstractAsyncContextManager[None]:
        """Return an empty scope.

        :param context: request that wants to start.
        """
        return nullcontext()


class RotationSelector:
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


@dataclass(frozen=True, slots=True)
class DispatchLimits:
    """Bounds of the dispatch of one request; times in milliseconds.

    ``first_byte_timeout`` bounds one try up to the first body byte and
    ``request_timeout`` the request with all its tries. An answer of known
    length up to ``max_held_bytes`` is received whole before it is passed on,
    so that a broken one can still be tried again or refused.
    """

    max_tries: int = 3
    first_byte_timeout: Milliseconds = 60000
    request_timeout: Milliseconds = 600000
    max_held_bytes: int = 1048576


def allow_retry(context: RequestContext) -> bool:
    """Allow every retry; stands in for a retry budget.

    :param context: request that would be tried again.
    """
    return True


@dataclass(frozen=True, slots=True)
class HandlerOptions:
    """Parts of the pipeline that a daemon can replace.

    ``allow_retry`` is asked before each further try, after the rules on
    repeatable requests allow it.
    """

    admission: Admission = field(default_factory=OpenAdmission)
    selector: EndpointSelector | None = None
    limits: DispatchLimits = DispatchLimits()
    clock: Clock = field(default_factory=MonotonicClock)
    allow_retry: Callable[[RequestContext], bool] = allow_retry
    observe_outcome: OutcomeObserver = ignore_outcome
    observe_usage: UsageObserver = ignore_usage
