"""Selects endpoints for callers' requests and polls endpoint states."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, Any

import msgspec
import trio

from clementinedyke.callers.context import RequestContext, SelectedEndpoint
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.decoding import decode_json
from clementinedyke.endpoints.registry import Endpoint, EndpointRegistry
from clementinedyke.exceptions import (
    AnswerLostError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import HttpRequest
from clementinedyke.quarantine import core as quarantine
from clementinedyke.quarantine.part_losses import PartLosses
from clementinedyke.roles.types import EngineState, PlannedEngine
from clementinedyke.routing import events as route_events
from clementinedyke.routing.core import RouterCore
from clementinedyke.routing.endpoint_subset import EndpointSubset
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.selection import RouterSettings
from clementinedyke.routing.subset import RingPosition
from clementinedyke.routing.types import (
    NoChoice,
    Role,
    RoutedEndpoint,
    RouteRequest,
)

#: Number of endpoints polled concurrently, and the range of the random pause
#: after each batch. The mean rate is 4.8 calls/s for any subset size: a larger
#: subset is polled less often at the same traffic.
_STATE_BATCH_SIZE = 6
_MIN_STATE_INTERVAL: Milliseconds = 1000
_MAX_STATE_INTERVAL: Milliseconds = 1500
_STATE_TIMEOUT: Milliseconds = 1500
_MILLISECONDS_PER_SECOND = 1000
_STATUS_OK = 200
#: Results that count as evidence of a crash: the request was sent, but its
#: answer was lost. A refused request is no such evidence.
_LOST_CODES = frozenset((ResultCode.ANSWER_LOST,))


_Count = Annotated[int, msgspec.Meta(ge=1)]
_Rate = Annotated[float, msgspec.Meta(gt=0)]


class _EngineCapacity(msgspec.Struct, frozen=True):
    """Limits in ``/state``; None keeps the default of the router."""

    max_streams: _Count | None = None
    max_prompt_tokens: _Count | None = None
    prefill_rate: _Rate | None = None


class _EngineState(msgspec.Struct):
    boot_id: str
    role: str = 'mixed'
    running: int = 0
    prompt_tokens: int = 0


@dataclass(slots=True)
class _WatchedEndpoint:
    endpoint: Endpoint
    boot_id: str = ''
    role: Role = Role.MIXED
    capacity: _EngineCapacity = _EngineCapacity()
    #: Whether the endpoint is in the subset; only then it gets new requests.
    is_in_subset: bool = True
    running: int = 0

    @property
    def planned_engine(self) -> PlannedEngine:
        """Endpoint as input to planners; engines do not report their model."""
        is_known = bool(self.boot_id) and self.endpoint.state == 'live'
        return PlannedEngine(
            self.endpoint.endpoint_id,
            model='',
            version=1,
            role=self.role,
            state=EngineState.READY if is_known else EngineState.DOWN,
            streams=self.running,
        )


class RoutingComponent(Component):
    """Runs the router core and the quarantine core of a daemon."""

    def __init__(
        self,
        registry: EndpointRegistry,
        clock: Clock,
        availability_zone: str,
        generator: random.Random,
        get_position: Callable[[], RingPosition] = RingPosition,
    ) -> None:
        """Create the component.

        :param registry: endpoints listed by the platform.
        :param clock: clock of this process.
        :param availability_zone: availability zone of this daemon.
        :param generator: seeded source of random choices.
        :param get_position: returns the position of this daemon in the ring
            of live daemons.
        """
        self._registry = registry
        #: Selects the endpoints that this daemon sends requests to.
        self.subset = EndpointSubset(get_position)
        self._clock = clock
        self._generator = generator
        self._router = RouterCore(
            RouterSettings(availability_zone=availability_zone), generator
        )
        self._quarantine = quarantine.QuarantineCore(
            quarantine.QuarantineSettings()
        )
        # Cached because singledispatchmethod builds a new function on every
        # access, and each request sends about six events to the cores.
        self._handle_route = self._router.handle
        self._handle_quarantine = self._quarantine.handle
        #: Prompt parts under which endpoints ended.
        self.parts = PartLosses()
        self._watched: dict[str, _WatchedEndpoint] = {}
        #: Called with crash evidence to share with the other daemons.
        self.evidence_observers: list[Any] = []

    @property
    def router(self) -> RouterCore:
        """Router of this daemon."""
        return self._router

    def has_endpoints(self) -> bool:
        """Return whether at least one endpoint is being watched."""
        return bool(self._watched)

    def list_engines(self, service: str) -> tuple[PlannedEngine, ...]:
        """Return the engines of a service with their last reported state.

        :param service: name of the service.
        """
        return tuple(
            watched.planned_engine
            for watched in self._watched.values()
            if watched.endpoint.service == service
        )

    def get_verdict(self, fingerprint: str) -> quarantine.Verdict:
        """Return the quarantine verdict on a request.

        :param fingerprint: digest of customer, service and body.
        """
        return self._quarantine.get_verdict(fingerprint, self._clock.get_now())

    def get_part_verdict(self, context: RequestContext) -> quarantine.Verdict:
        """Return the verdict on the prompt parts of a request.

        :param context: request to dispatch.
        """
        return self.parts.get_verdict(
            context.outcome.request_id,
            context.work.parts,
            self._clock.get_now(),
        )

    def get_remaining_hold_time(self, fingerprint: str) -> Milliseconds:
        """Return the remaining hold time of a request in milliseconds.

        A request is held while its most recent loss is being examined.

        :param fingerprint: digest of customer, service and body.
        """
        return self._quarantine.get_remaining_hold_time(
            fingerprint, self._clock.get_now()
        )

    def receive_evidence(
        self, evidence: tuple[quarantine.Evidence, ...]
    ) -> None:
        """Apply crash evidence from another daemon.

        :param evidence: fingerprints of the requests that ran on lost
            endpoints.
        """
        of_requests = self.parts.receive_evidence(
            evidence, self._clock.get_now()
        )
        self._update_quarantine(quarantine.EvidenceReceived(of_requests))

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return the endpoint for an attempt, None if none is usable.

        The attempt is recorded as started.

        :param context: request to dispatch.
        :param excluded: ids of endpoints that were already tried.
        """
        now = self._clock.get_now()
        barred = self._quarantine.list_excluded_endpoints(
            context.work.fingerprint, self._watched.keys() - excluded, now
        )
        request = compile_route_request(context, excluded | barred)
        choice = self._router.select_endpoint(request, now)
        context.outcome.record_route_result(choice)
        if isinstance(choice, NoChoice):
            return None
        watched = self._watched[choice.endpoint_id]
        started = route_events.RequestStarted(request, choice)
        self._handle_route(started, now)
        self._update_quarantine(
            quarantine.RequestStarted(
                request.request_id,
                context.work.fingerprint,
                choice.endpoint_id,
            )
        )
        self.parts.record_start(
            request.request_id, choice.endpoint_id, context.work.parts
        )
        client = self._registry.get_client(watched.endpoint)
        return SelectedEndpoint(choice.endpoint_id, client)

    def record_first_byte(self, context: RequestContext) -> None:
        """Record that the prompt of a request has been processed.

        :param context: request whose answer has begun.
        """
        event = route_events.FirstTokenReceived(context.outcome.request_id)
        self._handle_route(event, self._clock.get_now())

    def record_attempt_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Report the result of an attempt to the router and the quarantine.

        :param context: request of the attempt.
        :param name: id of the endpoint that served the attempt.
        :param code: result code, None if the caller disconnected.
        """
        request_id = context.outcome.request_id
        self._report_end_to_router(request_id, name, code)
        watched = self._watched.get(name)
        now = self._clock.get_now()
        if code in _LOST_CODES and watched and watched.endpoint.state == 'live':
            self._update_quarantine(
                quarantine.EndpointLost(name, watched.boot_id)
            )
            self.parts.record_loss(name, watched.boot_id, now)
        is_whole = code is ResultCode.OK
        self.parts.record_end(request_id, now, is_complete=is_whole)
        self._update_quarantine(quarantine.RequestEnded(request_id, is_whole))

    async def start(self, nursery: trio.Nursery) -> None:
        """Load the current endpoints and start polling their state.

        :param nursery: nursery that runs the polling task.
        """
        self._registry.observers.append(self._replace_endpoints)
        self._replace_endpoints(self._registry.list_endpoints())
        nursery.start_soon(self._poll_forever)

    def _report_end_to_router(
        self, request_id: str, name: str, code: ResultCode | None
    ) -> None:
        event: object = route_events.RequestFailed(request_id, name)
        if code is ResultCode.OK:
            event = route_events.RequestFinished(request_id)
        elif code is None:
            event = route_events.RequestCancelled(request_id)
        self._handle_route(event, self._clock.get_now())

    def _update_quarantine(self, event: quarantine.QuarantineEvent) -> None:
        shared = self._handle_quarantine(event, self._clock.get_now())
        for action in shared:
            self._share(action.evidence)

    def _share(self, evidence: tuple[quarantine.Evidence, ...]) -> None:
        for observer in self.evidence_observers:
            observer(evidence)

    def _replace_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        used = self.subset.select(endpoints)
        watched: dict[str, _WatchedEndpoint] = {}
        for endpoint in endpoints:
            endpoint_id = endpoint.endpoint_id
            is_in_subset = endpoint_id in used
            is_kept = endpoint.state == 'leaving' or self._is_busy(endpoint_id)
            if is_in_subset or is_kept:
                entry = self._watched.get(endpoint_id) or _WatchedEndpoint(
                    endpoint
                )
                entry.endpoint = endpoint
                entry.is_in_subset = is_in_subset
                watched[endpoint_id] = entry
        self._watched = watched
        self._update_router()

    def _is_busy(self, endpoint_id: str) -> bool:
        """Return whether this daemon has requests running at an endpoint."""
        return self._router.get_own_streams(endpoint_id) > 0

    def _update_router(self) -> None:
        routed = tuple(map(_compile_routed_endpoint, self._watched.values()))
        event = route_events.EndpointsChanged(routed)
        self._handle_route(event, self._clock.get_now())

    async def _poll_forever(self) -> None:
        while True:
            await self._poll_states()

    async def _poll_states(self) -> None:
        pending = list(filter(_is_polled, self._watched.values()))
        await self._poll_batch(pending[:_STATE_BATCH_SIZE])
        while len(pending) > _STATE_BATCH_SIZE:
            # A daemon that has just started knows no members and watches all
            # endpoints. Most are dropped once the members are known, so the
            # list is filtered again before each batch.
            pending = [
                watched
                for watched in pending[_STATE_BATCH_SIZE:]
                if watched.endpoint.endpoint_id in self._watched
                and _is_polled(watched)
            ]
            if pending:
                await self._poll_batch(pending[:_STATE_BATCH_SIZE])

    async def _poll_batch(self, batch: list[_WatchedEndpoint]) -> None:
        async with trio.open_nursery() as nursery:
            for watched in batch:
                nursery.start_soon(self._poll_state, watched)
        wait = self._generator.uniform(_MIN_STATE_INTERVAL, _MAX_STATE_INTERVAL)
        await trio.sleep(wait / _MILLISECONDS_PER_SECOND)
        self._update_subset()

    def _update_subset(self) -> None:
        has_endpoint_outside_subset = any(
            not watched.is_in_subset for watched in self._watched.values()
        )
        if has_endpoint_outside_subset or self.subset.is_outdated():
            self._replace_endpoints(self._registry.list_endpoints())

    async def _poll_state(self, watched: _WatchedEndpoint) -> None:
        asked_at = self._clock.get_now()
        client = self._registry.get_client(watched.endpoint)
        try:
            answer = await client.request(
                HttpRequest('GET', '/state'), _STATE_TIMEOUT
            )
        except (PeerUnavailableError, AnswerLostError):
            return
        if answer.status != _STATUS_OK:
            return
        try:
            state = decode_json(answer.body, _EngineState)
        except ProtocolError:
            return
        self._apply_state(watched, state, asked_at)
        capacity = _parse_capacity(answer.body)
        if capacity != watched.capacity:
            watched.capacity = capacity
            self._update_router()

    def _apply_state(
        self,
        watched: _WatchedEndpoint,
        state: _EngineState,
        asked_at: Milliseconds,
    ) -> None:
        now = self._clock.get_now()
        endpoint_id = watched.endpoint.endpoint_id
        role = _get_role(state.role)
        if watched.boot_id not in {'', state.boot_id}:
            restarted = route_events.EndpointRestarted(endpoint_id)
            self._handle_route(restarted, now)
        watched.boot_id = state.boot_id
        watched.running = state.running
        self._update_quarantine(
            quarantine.EndpointAnswered(endpoint_id, state.boot_id, asked_at)
        )
        found = self.parts.record_answer(
            endpoint_id, state.boot_id, asked_at, now
        )
        if found:
            self._share(found)
        if role is not watched.role:
            watched.role = role
            self._update_router()
        report = LoadReport(state.running, state.prompt_tokens)
        loaded = route_events.LoadReported(endpoint_id, report, now - asked_at)
        self._handle_route(loaded, now)


def compile_route_request(
    context: RequestContext, excluded: frozenset[str]
) -> RouteRequest:
    """Return the router's description of a request.

    :param context: request of a caller.
    :param excluded: ids of endpoints that must not be selected.
    """
    work = context.work
    return RouteRequest(
        request_id=context.outcome.request_id,
        service=context.route.service.name,
        prompt_tokens=work.prompt_tokens,
        block_hashes=work.block_hashes,
        repeatable=context.is_repeatable,
        excluded=excluded,
    )


def _is_polled(watched: _WatchedEndpoint) -> bool:
    """Return whether the state of an endpoint is polled.

    An endpoint outside the subset that was never polled gets no requests, so
    its state is not needed.
    """
    return watched.is_in_subset or bool(watched.boot_id)


def _compile_routed_endpoint(watched: _WatchedEndpoint) -> RoutedEndpoint:
    endpoint = watched.endpoint
    routed = RoutedEndpoint(
        endpoint_id=endpoint.endpoint_id,
        service=endpoint.service,
        availability_zone=endpoint.availability_zone,
        cheap=endpoint.price_class == 'cheap',
        leaving=not watched.is_in_subset,
        role=watched.role,
    )
    reported = msgspec.structs.asdict(watched.capacity)
    known = {
        name: amount for name, amount in reported.items() if amount is not None
    }
    return replace(routed, **known)


def _parse_capacity(body: bytes) -> _EngineCapacity:
    """Return the reported limits, or no limits if one is invalid.

    A count below 1 is invalid.
    """
    try:
        return decode_json(body, _EngineCapacity)
    except ProtocolError:
        return _EngineCapacity()


def _get_role(name: str) -> Role:
    try:
        return Role(name)
    except ValueError:
        return Role.MIXED
