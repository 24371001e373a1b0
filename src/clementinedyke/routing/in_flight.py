"""Requests that this daemon has dispatched and that have not ended."""

from dataclasses import dataclass, replace

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.load import LoadEstimate
from clementinedyke.routing.types import Choice, RouteRequest


@dataclass(slots=True)
class InFlightRequest:
    """A dispatched request and the load estimates that include it.

    It holds references to the estimates so that the counts are subtracted from
    the objects they were added to, even if the endpoint was removed from the
    list in the meantime.
    """

    service: str
    choice: Choice
    prefill_load: LoadEstimate
    decode_load: LoadEstimate
    started: Milliseconds
    has_first_token: bool = False

    @property
    def endpoint_ids(self) -> set[str]:
        """Ids of the endpoints that run the request."""
        choice = self.choice
        decode = choice.decode_endpoint_id or choice.endpoint_id
        return {choice.endpoint_id, decode}


class InFlightTable:
    """Tracks dispatched requests and counts them in the load estimates."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._requests: dict[str, InFlightRequest] = {}

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    def start(
        self,
        request: RouteRequest,
        choice: Choice,
        loads: dict[str, LoadEstimate],
        now: Milliseconds,
    ) -> None:
        """Add a dispatched request; one that is in flight is ignored.

        :param request: request that was dispatched.
        :param choice: endpoints that the router selected.
        :param loads: load estimates of the service by endpoint id.
        :param now: time of the dispatch.
        """
        if request.request_id in self._requests:
            return
        decode_id = choice.decode_endpoint_id or choice.endpoint_id
        entry = InFlightRequest(
            service=request.service,
            # Only the ``explain`` command uses the candidates of a choice.
            choice=replace(choice, candidates=()),
            prefill_load=loads.get(choice.endpoint_id, LoadEstimate()),
            decode_load=loads.get(decode_id, LoadEstimate()),
            started=now,
        )
        self._requests[request.request_id] = entry
        entry.prefill_load.apply_own(0, choice.uncached_tokens, now)
        entry.decode_load.apply_own(1, 0, now)

    def end_prefill(
        self, request_id: str, now: Milliseconds
    ) -> InFlightRequest | None:
        """Record the first token of a request and return the request.

        Returns None if the request is not in flight or already had its first
        token.

        :param request_id: request whose prompt has been processed.
        :param now: time of the first token.
        """
        entry = self._requests.get(request_id)
        if entry is None or entry.has_first_token:
            return None
        entry.has_first_token = True
        entry.prefill_load.apply_own(0, -entry.choice.uncached_tokens, now)
        return entry

    def end(self, request_id: str, now: Milliseconds) -> InFlightRequest | None:
        """Remove and return a request, None if it is not in flight.

        :param request_id: request that finished, failed or was cancelled.
        :param now: time at which it ended.
        """
        self.end_prefill(request_id, now)
        entry = self._requests.pop(request_id, None)
        if entry is not None:
            entry.decode_load.apply_own(-1, 0, now)
        return entry
