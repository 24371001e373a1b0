"""Requests that this daemon has dispatched and that did not end."""

from dataclasses import dataclass, replace

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.load import LoadEstimate
from clementinedyke.routing.types import Choice, RouteRequest


@dataclass(slots=True)
class InFlightRequest:
    """A dispatched request and the estimates that count it.

    The estimates are kept here so that a count goes back to the object that
    it was added to, even when the endpoint left the list meanwhile.
    """

    service: str
    choice: Choice
    prefill_load: LoadEstimate
    decode_load: LoadEstimate
    started: Milliseconds
    has_first_token: bool = False

    @property
    def endpoint_ids(self) -> set[str]:
        """Endpoints that run the request."""
        choice = self.choice
        decode = choice.decode_endpoint_id or choice.endpoint_id
        return {choice.endpoint_id, decode}


class InFlightTable:
    """Counts dispatched requests at the endpoints that run them."""

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
        """Count a dispatched request; a second start of one is ignored.

        :param request: request that was dispatched.
        :param choice: choice of the router.
        :param loads: estimates of the endpoints of the service.
        :param now: time of the dispatch.
        """
        if request.request_id in self._requests:
            return
        decode_id = choice.decode_endpoint_id or choice.endpoint_id
        entry = InFlightRequest(
            service=request.service,
            # The candidates of a choice are for ``explain`` only.
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
        """Note a first token; None if it was noted or is not in flight.

        :param request_id: request whose prompt is processed.
        :param now: time of the first token.
        """
        entry = self._requests.get(request_id)
        if entry is None or entry.has_first_token:
            return None
        entry.has_first_token = True
        entry.prefill_load.apply_own(0, -entry.choice.uncached_tokens, now)
        return entry

    def end(self, request_id: str, now: Milliseconds) -> InFlightRequest | None:
        """Remove a request; None if it is not in flight.

        :param request_id: request that ended in any way.
        :param now: time of the end.
        """
        self.end_prefill(request_id, now)
        entry = self._requests.pop(request_id, None)
        if entry is not None:
            entry.decode_load.apply_own(-1, 0, now)
        return entry
