"""Selects the endpoint that serves each request."""

from clementinedyke.routing.core import (
    RouterCore,
)
from clementinedyke.routing.events import (
    CacheChanged,
    EndpointRestarted,
    EndpointsChanged,
    FirstTokenReceived,
    LoadReported,
    PeerReported,
    RequestCancelled,
    RequestFailed,
    RequestFinished,
    RequestStarted,
)
from clementinedyke.routing.types import (
    Candidate,
    CandidateState,
    Choice,
    ChoiceReason,
    FreeCapacity,
    NoChoice,
    NoChoiceReason,
    Role,
    RoutedEndpoint,
    RouteRequest,
)

__all__ = (
    'CacheChanged',
    'Candidate',
    'CandidateState',
    'Choice',
    'ChoiceReason',
    'EndpointRestarted',
    'EndpointsChanged',
    'FirstTokenReceived',
    'LoadReported',
    'FreeCapacity',
    'NoChoice',
    'NoChoiceReason',
    'PeerReported',
    'RequestCancelled',
    'RequestFailed',
    'RequestFinished',
    'RequestStarted',
    'Role',
    'RouteRequest',
    'RoutedEndpoint',
    'RouterCore',
)
