"""The state of one request on its way through the pipeline."""

from dataclasses import dataclass

from clementinedyke.callers.outcome import RequestOutcome
from clementinedyke.callers.work import Work
from clementinedyke.http.client import HttpClient
from clementinedyke.http.server import ResponseWriter, ServerRequest
from clementinedyke.records.core import ServiceRecord


@dataclass(frozen=True, slots=True)
class Route:
    """Where a request goes and on whose behalf."""

    service: ServiceRecord
    customer: str | None
    target: str
    work: Work = Work()

    @property
    def is_model(self) -> bool:
        """Whether the endpoint is a model engine."""
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
        """Key under which the request may run once."""
        return self.request.get_header(b'idempotency-key')

    @property
    def is_repeatable(self) -> bool:
        """Whether running the request twice does no harm."""
        if not self.route.service.repeatable:
            return False
        return self.idempotency_key is None


@dataclass(frozen=True, slots=True)
class SelectedEndpoint:
    """An endpoint chosen for one try."""

    name: str
    client: HttpClient
