"""Core that selects the endpoint of each request."""

import random
from functools import singledispatchmethod

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.endpoint_table import EndpointTable
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
from clementinedyke.routing.in_flight import InFlightTable
from clementinedyke.routing.peer_work import EndpointWork
from clementinedyke.routing.prefix_index import CacheView
from clementinedyke.routing.selection import RouterSettings, Selector
from clementinedyke.routing.types import (
    FreeCapacity,
    NoChoice,
    NoChoiceReason,
    RouteRequest,
    RouteResult,
)


class RouterCore:
    """Selects endpoints by their load, health and cached prompt blocks."""

    def __init__(
        self, settings: RouterSettings, generator: random.Random
    ) -> None:
        """Create a router without endpoints.

        :param settings: settings of the router.
        :param generator: seeded source of random choices.
        """
        self._table = EndpointTable(settings.health)
        self._selector = Selector(settings, generator)
        self._cache = CacheView(settings.max_blocks)
        self._in_flight = InFlightTable()

    @property
    def in_flight_count(self) -> int:
        """Number of requests that were started and have not ended."""
        return len(self._in_flight)

    def get_own_streams(self, endpoint_id: str) -> int:
        """Return how many requests of this daemon run at an endpoint.

        :param endpoint_id: endpoint; an unknown one gives 0.
        """
        state = self._table.get_endpoint_service(endpoint_id)
        return state.loads[endpoint_id].own_streams if state else 0

    def get_own_work(self, service: str) -> tuple[EndpointWork, ...]:
        """Return this daemon's work in flight, to publish to other daemons.

        :param service: name of the service.
        """
        state = self._table.get_service(service)
        return () if state is None else state.get_own_work()

    def get_free_capacity(
        self, service: str, now: Milliseconds, share: float = 1
    ) -> FreeCapacity:
        """Return the free capacity of a service, summed over its endpoints.

        All daemons share this capacity.

        :param service: name of the service.
        :param now: current time.
        :param share: usable fraction of the endpoints' limits, from 0 to 1.
        """
        state = self._table.get_service(service)
        return (
            FreeCapacity(0, 0)
            if state is None
            else state.get_free_capacity(now, share)
        )

    def has_endpoints(self, service: str) -> bool:
        """Return whether a service has an endpoint that is not leaving.

        :param service: name of the service.
        """
        state = self._table.get_service(service)
        return state is not None and any(
            not endpoint.leaving for endpoint in state.endpoints.values()
        )

    def select_endpoint(
        self, request: RouteRequest, now: Milliseconds
    ) -> RouteResult:
        """Return the endpoint for a request, or the reason for having none.

        This changes no state: after a dispatch, the caller has to send
        :class:`RequestStarted`.

        :param request: request to route.
        :param now: current time.
        """
        state = self._table.get_service(request.service)
        if state is None:
            return NoChoice(NoChoiceReason.SERVICE_UNKNOWN)
        hits = self._cache.index.get_hits(request.block_hashes)
        candidates = self._selector.score(state, request, hits, now)
        return self._selector.select(request, candidates)

    @singledispatchmethod
    def handle(self, event: object, now: Milliseconds) -> list[object]:
        """Apply an event and return an empty list.

        :param event: event of :mod:`clementinedyke.routing.events`.
        :param now: current time.
        :raises TypeError: if the event is of another type.
        """
        raise TypeError(f'{event!r} is not an event of the router')

    @handle.register
    def _handle_endpoints(
        self, event: EndpointsChanged, now: Milliseconds
    ) -> list[object]:
        for endpoint_id in self._table.replace(event.endpoints):
            self._cache.remove_endpoint(endpoint_id)
        return []

    @handle.register
    def _handle_load(
        self, event: LoadReported, now: Milliseconds
    ) -> list[object]:
        state = self._table.get_endpoint_service(event.endpoint_id)
        if state is not None:
            estimate = state.loads[event.endpoint_id]
            estimate.apply_report(event.report, now - event.lag)
        return []

    @handle.register
    def _handle_peer(
        self, event: PeerReported, now: Milliseconds
    ) -> list[object]:
        state = self._table.get_service(event.service)
        if state is not None:
            state.peers.apply(event.peer, event.work, now)
        return []

    @handle.register
    def _handle_cache(
        self, event: CacheChanged, now: Milliseconds
    ) -> list[object]:
        if self._table.get_endpoint_service(event.endpoint_id) is not None:
            self._cache.apply(
                event.endpoint_id, event.sequence, event.added, event.removed
            )
        return []

    @handle.register
    def _handle_restart(
        self, event: EndpointRestarted, now: Milliseconds
    ) -> list[object]:
        self._cache.remove_endpoint(event.endpoint_id)
        return []

    @handle.register
    def _handle_started(
        self, event: RequestStarted, now: Milliseconds
    ) -> list[object]:
        request = event.request
        endpoint_id = event.choice.endpoint_id
        state = self._table.get_service(request.service)
        loads = {} if state is None else state.loads
        self._in_flight.start(request, event.choice, loads, now)
        if state is not None and endpoint_id in state.endpoints:
            state.health.record_probe(endpoint_id, request.request_id)
            # The engine is about to cache these blocks; its cache events arrive
            # later.
            self._cache.index.add(endpoint_id, request.block_hashes)
        return []

    @handle.register
    def _handle_first_token(
        self, event: FirstTokenReceived, now: Milliseconds
    ) -> list[object]:
        entry = self._in_flight.end_prefill(event.request_id, now)
        state = self._table.get_service(entry.service) if entry else None
        if entry is not None and state is not None:
            choice = entry.choice
            ratio = (now - entry.started) / choice.expected_first_token
            state.health.record_first_token(choice.endpoint_id, ratio, now)
        return []

    @handle.register
    def _handle_finished(
        self, event: RequestFinished, now: Milliseconds
    ) -> list[object]:
        entry = self._in_flight.end(event.request_id, now)
        state = self._table.get_service(entry.service) if entry else None
        if entry is not None and state is not None:
            for endpoint_id in entry.endpoint_ids:
                state.health.record_success(endpoint_id, event.request_id)
        return []

    @handle.register
    def _handle_failure(
        self, event: RequestFailed | RequestCancelled, now: Milliseconds
    ) -> list[object]:
        entry = self._in_flight.end(event.request_id, now)
        state = self._table.get_service(entry.service) if entry else None
        if entry is None or state is None:
            return []
        if isinstance(event, RequestFailed):
            failed = event.endpoint_id
            state.health.record_failure(failed, event.request_id, now)
        state.health.release_probe(entry.endpoint_ids, event.request_id)
        return []
