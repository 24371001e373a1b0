"""Events of the router."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.peer_work import EndpointWork
from clementinedyke.routing.types import Choice, RoutedEndpoint, RouteRequest


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """All endpoints of all services, in place of the former ones."""

    endpoints: tuple[RoutedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report and how long ago it was measured."""

    endpoint_id: str
    report: LoadReport
    lag: Milliseconds = 0


@dataclass(frozen=True, slots=True)
class PeerReported:
    """Work of another daemon in flight at the endpoints of a service."""

    peer: str
    service: str
    work: tuple[EndpointWork, ...]


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """A cache event; sequence numbers of an endpoint rise by one."""

    endpoint_id: str
    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointRestarted:
    """The endpoint has another boot id: its cache is empty."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was dispatched as the choice says."""

    request: RouteRequest
    choice: Choice


@dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The first token arrived; the prompt is processed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The answer arrived whole."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The endpoint failed the request."""

    request_id: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller went away; this says nothing about the endpoint."""

    request_id: str
