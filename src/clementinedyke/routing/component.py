"""Chooses endpoints for the caller path and watches their state."""

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
from clementinedyke.endpoints.registry import Endpoint, EndpointRegistry
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.client import HttpRequest
from clementinedyke.quarantine import core as quarantine
from clementinedyke.roles.types import EngineState, PlannedEngine
from clementinedyke.routing import events as route_events
from clementinedyke.routing.core import RouterCore
from clementinedyke.routing.endpoint_subset import EndpointSubset
from clementinedyke.routing.load import LoadReport
from clementinedyke.routing.selection import RouterSettings
from clementinedyke.routing.subset import RingShare
from clementinedyke.routing.types import (
    NoChoice,
    Role,
    RoutedEndpoint,
    RouteRequest,
)

#: Endpoints that are asked at the same time, and the wait after each batch.
#: The mean is 4.8 calls/s, so a larger subset is asked less often and the
#: bytes stay the same.
_STATE_BATCH = 6
_STATE_INTERVAL: Milliseconds = 1000
_MAX_STATE_INTERVAL: Milliseconds = 1500
_STATE_TIMEOUT: Milliseconds = 1500
_MILLISECONDS_PER_SECOND = 1000
_STATUS_OK = 200
#: A request that was sent and lost is evidence of a crash; a refusal is not.
_LOST = frozenset((ResultCode.ANSWER_LOST,))


_Count = Annotated[int, msgspec.Meta(ge=1)]
_Rate = Annotated[float, msgspec.Meta(gt=0)]


class _EngineCapacity(msgspec.Struct, frozen=True):
    """Capacity in ``/state``; None leaves the router's default."""

    max_streams: _Count | None = None
    max_prompt_tokens: _Count | None = None
    prefill_rate: _Rate | None = None


class _EngineState(msgspec.Struct):
    boot_id: str
    role: str = 'mixed'
    running: int = 0
    prompt_tokens: int = 0


@dataclass(slots=True)
class _Watched:
    endpoint: Endpoint
    boot_id: str = ''
    role: Role = Role.MIXED
    capacity: _EngineCapacity = _EngineCapacity()
    #: Whether the subset has the endpoint; else it gets no new work.
    is_used: bool = True
    running: int = 0

    @property
    def planned(self) -> PlannedEngine:
        """The engine as planners see it; its model is not reported."""
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
    """Owns the router and the quarantine of a daemon."""

    def __init__(
        self,
        registry: EndpointRegistry,
        clock: Clock,
        availability_zone: str,
        generator: random.Random,
        get_share: Callable[[], RingShare] = RingShare,
    ) -> None:
        """Create the component.

        :param registry: endpoints that the platform lists.
        :param clock: clock of this process.
        :param availability_zone: zone of this daemon.
        :param generator: seeded source of random choices.
        :param get_share: returns the place of this daemon among the living
            ones.
        """
        self._registry = registry
        #: Endpoints that this daemon uses.
        self.subset = EndpointSubset(get_share)
        self._clock = clock
        self._generator = generator
        self._router = RouterCore(
            RouterSettings(availability_zone=availability_zone), generator
        )
        self._quarantine = quarantine.QuarantineCore(
            quarantine.QuarantineSettings()
        )
        # Kept, since singledispatchmethod builds a function at each access;
        # a request feeds the cores about six times.
        self._handle_route = self._router.handle
        self._handle_suspect = self._quarantine.handle
        self._watched: dict[str, _Watched] = {}
        #: Called with evidence that other daemons should have.
        self.evidence_observers: list[Any] = []

    @property
    def router(self) -> RouterCore:
        """Router of this daemon."""
        return self._router

    def has_state(self) -> bool:
        """Return whether endpoints are known."""
        return bool(self._watched)

    def list_engines(self, service: str) -> tuple[PlannedEngine, ...]:
        """Return the engines of a service as they last reported.

        :param service: name of the service.
        """
        return tuple(
            watched.planned
            for watched in self._watched.values()
            if watched.endpoint.service == service
        )

    def get_verdict(self, fingerprint: str) -> quarantine.Verdict:
        """Return what may be done with a request.

        :param fingerprint: digest of customer, service and body.
        """
        return self._quarantine.get_verdict(fingerprint, self._clock.get_now())

    def get_hold(self, fingerprint: str) -> Milliseconds:
        """Return how long the newest loss is still being examined.

        :param fingerprint: digest of customer, service and body.
        """
        return self._quarantine.get_hold(fingerprint, self._clock.get_now())

    def receive_evidence(
        self, evidence: tuple[quarantine.Evidence, ...]
    ) -> None:
        """Take the evidence of another daemon.

        :param evidence: fingerprints aboard lost endpoints.
        """
        self._tell(quarantine.EvidenceReceived(evidence))

    def select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return the endpoint of a try, or None.

        :param context: request to be dispatched.
        :param excluded: endpoints that were tried.
        """
        now = self._clock.get_now()
        barred = self._quarantine.list_excluded_endpoints(
            context.work.fingerprint, self._watched.keys() - excluded, now
        )
        request = compile_route_request(context, excluded | barred)
        choice = self._router.select_endpoint(request, now)
        context.outcome.weigh(choice)
        if isinstance(choice, NoChoice):
            return None
        watched = self._watched[choice.endpoint_id]
        started = route_events.RequestStarted(request, choice)
        self._handle_route(started, now)
        self._tell(
            quarantine.RequestStarted(
                request.request_id,
                context.work.fingerprint,
                choice.endpoint_id,
            )
        )
        client = self._registry.get_client(watched.endpoint)
        return SelectedEndpoint(choice.endpoint_id, client)

    def note_first_byte(self, context: RequestContext) -> None:
        """Tell the router that a prompt was processed.

        :param context: request whose answer began.
        """
        event = route_events.FirstTokenReceived(context.outcome.request_id)
        self._handle_route(event, self._clock.get_now())

    def note_end(
        self, context: RequestContext, name: str, code: ResultCode | None
    ) -> None:
        """Tell the router and the quarantine how a try ended.

        :param context: request that was tried.
        :param name: endpoint of the try.
        :param code: result code, None if the caller left.
        """
        request_id = context.outcome.request_id
        self._tell_router_end(request_id, name, code)
        watched = self._watched.get(name)
        if code in _LOST and watched and watched.endpoint.state == 'live':
            self._tell(quarantine.EndpointLost(name, watched.boot_id))
        is_whole = code is ResultCode.OK
        self._tell(quarantine.RequestEnded(request_id, is_whole))

    async def start(self, nursery: trio.Nursery) -> None:
        """Take the present endpoints and start watching their state.

        :param nursery: nursery that runs the watch.
        """
        self._registry.observers.append(self._replace_endpoints)
        self._replace_endpoints(self._registry.list_endpoints())
        nursery.start_soon(self._watch_forever)

    def _tell_router_end(
        self, request_id: str, name: str, code: ResultCode | None
    ) -> None:
        event: object = route_events.RequestFailed(request_id, name)
        if code is ResultCode.OK:
            event = route_events.RequestFinished(request_id)
        elif code is None:
            event = route_events.RequestCancelled(request_id)
        self._handle_route(event, self._clock.get_now())

    def _tell(self, event: quarantine.QuarantineEvent) -> None:
        shared = self._handle_suspect(event, self._clock.get_now())
        for action in shared:
            for observer in self.evidence_observers:
                observer(action.evidence)

    def _replace_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        used = self.subset.select(endpoints)
        watched: dict[str, _Watched] = {}
        for endpoint in endpoints:
            endpoint_id = endpoint.endpoint_id
            is_used = endpoint_id in used
            is_kept = endpoint.state == 'leaving' or self._is_busy(endpoint_id)
            if is_used or is_kept:
                entry = self._watched.get(endpoint_id) or _Watched(endpoint)
                entry.endpoint = endpoint
                entry.is_used = is_used
                watched[endpoint_id] = entry
        self._watched = watched
        self._update_router()

    def _is_busy(self, endpoint_id: str) -> bool:
        """Return whether an endpoint runs requests of this daemon."""
        return self._router.get_own_streams(endpoint_id) > 0

    def _update_router(self) -> None:
        routed = tuple(map(_compile_routed, self._watched.values()))
        event = route_events.EndpointsChanged(routed)
        self._handle_route(event, self._clock.get_now())

    async def _watch_forever(self) -> None:
        while True:
            await self._read_states()

    async def _read_states(self) -> None:
        waiting = list(filter(_is_asked, self._watched.values()))
        await self._read_batch(waiting[:_STATE_BATCH])
        while len(waiting) > _STATE_BATCH:
            # A daemon that just started knows no members and begins with all
            # endpoints; it drops most of them as soon as members are known.
            waiting = [
                watched
                for watched in waiting[_STATE_BATCH:]
                if watched.endpoint.endpoint_id in self._watched
                and _is_asked(watched)
            ]
            if waiting:
                await self._read_batch(waiting[:_STATE_BATCH])

    async def _read_batch(self, batch: list[_Watched]) -> None:
        async with trio.open_nursery() as nursery:
            for watched in batch:
                nursery.start_soon(self._read_state, watched)
        wait = self._generator.uniform(_STATE_INTERVAL, _MAX_STATE_INTERVAL)
        await trio.sleep(wait / _MILLISECONDS_PER_SECOND)
        self._follow_members()

    def _follow_members(self) -> None:
        is_draining = any(
            not watched.is_used for watched in self._watched.values()
        )
        if is_draining or self.subset.is_outdated():
            self._replace_endpoints(self._registry.list_endpoints())

    async def _read_state(self, watched: _Watched) -> None:
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
            state = msgspec.json.decode(answer.body, type=_EngineState)
        except msgspec.MsgspecError:
            return
        self._apply_state(watched, state, asked_at)
        capacity = _parse_capacity(answer.body)
        if capacity != watched.capacity:
            watched.capacity = capacity
            self._update_router()

    def _apply_state(
        self, watched: _Watched, state: _EngineState, asked_at: Milliseconds
    ) -> None:
        now = self._clock.get_now()
        endpoint_id = watched.endpoint.endpoint_id
        role = _get_role(state.role)
        if watched.boot_id not in {'', state.boot_id}:
            restarted = route_events.EndpointRestarted(endpoint_id)
            self._handle_route(restarted, now)
        watched.boot_id = state.boot_id
        watched.running = state.running
        self._tell(
            quarantine.EndpointAnswered(endpoint_id, state.boot_id, asked_at)
        )
        if role is not watched.role:
            watched.role = role
            self._update_router()
        report = LoadReport(state.running, state.prompt_tokens)
        loaded = route_events.LoadReported(endpoint_id, report, now - asked_at)
        self._handle_route(loaded, now)


def compile_route_request(
    context: RequestContext, excluded: frozenset[str]
) -> RouteRequest:
    """Return what the router needs to know of a request.

    :param context: request of a caller.
    :param excluded: endpoints that may not be chosen.
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


def _is_asked(watched: _Watched) -> bool:
    """Return whether the endpoint is asked for its state.

    A leaving endpoint that was never asked gets no work and needs no state.
    """
    return watched.is_used or bool(watched.boot_id)


def _compile_routed(watched: _Watched) -> RoutedEndpoint:
    endpoint = watched.endpoint
    routed = RoutedEndpoint(
        endpoint_id=endpoint.endpoint_id,
        service=endpoint.service,
        availability_zone=endpoint.availability_zone,
        cheap=endpoint.price_class == 'cheap',
        leaving=not watched.is_used,
        role=watched.role,
    )
    reported = msgspec.structs.asdict(watched.capacity)
    known = {
        name: amount for name, amount in reported.items() if amount is not None
    }
    return replace(routed, **known)


def _parse_capacity(body: bytes) -> _EngineCapacity:
    """Return the reported capacity; a count below 1 is not taken."""
    try:
        return msgspec.json.decode(body, type=_EngineCapacity)
    except msgspec.MsgspecError:
        return _EngineCapacity()


def _get_role(name: str) -> Role:
    try:
        return Role(name)
    except ValueError:
        return Role.MIXED
