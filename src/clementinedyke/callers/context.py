"""State of a request in the pipeline."""

from dataclasses import dataclass

from clementinedyke.callers.outcome import RequestOutcome
from clementinedyke.callers.work import Work
from clementinedyke.http.client import HttpClient
from clementinedyke.http.server import ResponseWriter, ServerRequest
from clementinedyke.records.core import ServiceRecord


@dataclass(frozen=True, slots=True)
class Route:
    """Destination, customer and estimated work of a request.

    ``customer`` is None for services that are open to all, and ``target`` is
    the path and query that the endpoint receives.
    """

    service: ServiceRecord
    customer: str | None
    target: str
    work: Work = Work()

    @property
    def is_model(self) -> bool:
        """Whether the endpoints of the service are engines."""
        return self.service.backend == 'model'


@dataclass(frozen=True, slots=True)
class RequestContext:
    """A request that was authenticated, routed and validated."""

    request: ServerRequest
    response: ResponseWriter
    route: Route
    outcome: RequestOutcome

    @property
    def work(self) -> Work:
        """Estimated work of the request."""
        return self.route.work

    @property
    def idempotency_key(self) -> str | None:
        """Value of the ``Idempotency-Key`` header, None without one."""
        return self.request.get_header(b'idempotency-key')

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be sent again although it may have run."""
        if not self.route.service.repeatable:
            return False
        return self.idempotency_key is None


@dataclass(frozen=True, slots=True)
class SelectedEndpoint:
    """Endpoint selected for one attempt."""

    name: str
    client: HttpClient
