"""Request pipeline for callers of chat models and plain services."""

from clementinedyke.callers.context import (
    RequestContext,
    Route,
    SelectedEndpoint,
)
from clementinedyke.callers.customer_limits import ConnectionLimit
from clementinedyke.callers.handler import CallerHandler
from clementinedyke.callers.outcome import RequestOutcome, TokenUsage
from clementinedyke.callers.steps import (
    Admission,
    DispatchLimits,
    EndpointSelector,
    HandlerOptions,
)

__all__ = (
    'Admission',
    'CallerHandler',
    'ConnectionLimit',
    'DispatchLimits',
    'EndpointSelector',
    'HandlerOptions',
    'RequestContext',
    'RequestOutcome',
    'Route',
    'SelectedEndpoint',
    'TokenUsage',
)
