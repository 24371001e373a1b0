"""Events that the router core handles."""

from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.peer_work import EndpointWork
from clementinedyke.routing.types import Choice, RoutedEndpoint, RouteRequest


@dataclass(frozen=True, slots=True)
class EndpointsChanged:
    """The list of endpoints changed.

    ``endpoints`` holds the endpoints of all services and replaces the previous
    list.
    """

    endpoints: tuple[RoutedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class LoadReported:
    """An endpoint reported its load, measured ``lag`` ago."""

    endpoint_id: str
    report: LoadReport
    lag: Milliseconds = 0


@dataclass(frozen=True, slots=True)
class PeerReported:
    """Another daemon reported its work in flight at a service's endpoints."""

    peer: str
    service: str
    work: tuple[EndpointWork, ...]


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """An endpoint cached or evicted prompt blocks.

    ``sequence`` increases by one per event of an endpoint. ``added`` and
    ``removed`` hold block hashes.
    """

    endpoint_id: str
    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointRestarted:
    """The endpoint restarted with a new boot id, so its cache is empty."""

    endpoint_id: str


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was dispatched to the endpoints of ``choice``."""

    request: RouteRequest
    choice: Choice


@dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The first token arrived, so the prompt has been processed."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The complete answer arrived."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """The request failed at ``endpoint_id``."""

    request_id: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller disconnected; the health of the endpoint is unaffected."""

    request_id: str
