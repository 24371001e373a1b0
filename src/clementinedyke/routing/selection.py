"""Scores the endpoints of a service and picks one for a request."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.health import HealthLimits, HealthState
from clementinedyke.routing.endpoint_table import ServiceState
from clementinedyke.routing.load import Load
from clementinedyke.routing.prefix_index import BLOCK_TOKENS
from clementinedyke.routing.types import (
    Candidate,
    CandidateState,
    Choice,
    ChoiceReason,
    NoChoice,
    NoChoiceReason,
    Role,
    RoutedEndpoint,
    RouteRequest,
    RouteResult,
)

_MILLISECONDS_PER_SECOND = 1000
#: An endpoint over its stream limit misses the token interval, so each stream
#: over the limit costs this many times as much as one below it.
_OVERLOAD_FACTOR = 5


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of the router; costs in milliseconds.

    ``tolerance`` is the difference in cost below which two endpoints count as
    equally good. ``stream_cost`` is the cost of an endpoint that is full of
    streams. ``failure_cost`` is added per recent failure of an endpoint.
    ``wrong_role_cost`` is added when an endpoint does work that it is not set
    up for. ``uncached_weight`` multiplies the time for uncached tokens, because
    processing a block again also delays what waits there and evicts another
    block. Trials with weight 1, 2 and 3 gave a goodput of 0.924, 0.935 and
    0.944 in a steady mix and 0.903, 0.936 and 0.931 through a reversal.
    ``transfer_rate`` is the KV transfer in prompt tokens/s.
    """

    availability_zone: str = ''
    zone_cost: float = 2
    tolerance: float = 25
    stream_cost: float = 100
    failure_cost: float = 200
    wrong_role_cost: float = 300
    transfer_rate: float = 100_000
    uncached_weight: float = 2
    max_blocks: int = 100_000
    health: HealthLimits = field(default_factory=HealthLimits)


class Selector:
    """Scores candidates and picks one of the best at random."""

    def __init__(
        self, settings: RouterSettings, generator: random.Random
    ) -> None:
        """Create a selector.

        :param settings: settings of the router.
        :param generator: seeded source of random choices.
        """
        self._settings = settings
        self._generator = generator

    def score(
        self,
        state: ServiceState,
        request: RouteRequest,
        hits: Mapping[str, int],
        now: Milliseconds,
    ) -> tuple[Candidate, ...]:
        """Return all endpoints of a service with their costs.

        :param state: endpoints of the service.
        :param request: request to route.
        :param hits: cached leading blocks per endpoint.
        :param now: current time.
        """
        return tuple(
            self._score_endpoint(
                state, endpoint, request, hits.get(endpoint_id, 0), now
            )
            for endpoint_id, endpoint in state.endpoints.items()
        )

    def select(
        self, request: RouteRequest, candidates: tuple[Candidate, ...]
    ) -> RouteResult:
        """Return the choice among scored candidates.

        :param request: request to route.
        :param candidates: all endpoints of the service.
        """
        usable = _filter_state(candidates, CandidateState.CONSIDERED)
        probing = _filter_state(candidates, CandidateState.PROBING)
        reason = ChoiceReason.LOWEST_COST
        if len(usable) == 1:
            reason = ChoiceReason.ONLY_CANDIDATE
        if probing and request.repeatable:
            usable = probing[:1]
            reason = ChoiceReason.PROBE
        if not usable:
            # Trying an ejected endpoint is better than refusing all work.
            ejected = _filter_state(candidates, CandidateState.EJECTED)
            usable = probing + ejected
            reason = ChoiceReason.ALL_EJECTED
        if not usable:
            return NoChoice(NoChoiceReason.NONE_USABLE, candidates)
        return self._choose(request, usable, candidates, reason)

    def _score_endpoint(
        self,
        state: ServiceState,
        endpoint: RoutedEndpoint,
        request: RouteRequest,
        cached: int,
        now: Milliseconds,
    ) -> Candidate:
        settings = self._settings
        endpoint_id = endpoint.endpoint_id
        load = state.get_load(endpoint_id, now)
        health = state.health.get_health(endpoint_id)
        common = health.failures * settings.failure_cost
        if endpoint.availability_zone != settings.availability_zone:
            common += settings.zone_cost
        uncached = get_uncached_tokens(request, cached)
        return Candidate(
            endpoint_id=endpoint_id,
            state=_get_state(endpoint, request, health.get_state(now)),
            prefill_cost=common + self._get_prefill(endpoint, load, uncached),
            decode_cost=self._get_decode(endpoint, load),
            cached_blocks=cached,
            is_specialized=endpoint.role is not Role.MIXED,
        )

    def _get_prefill(
        self, endpoint: RoutedEndpoint, load: Load, uncached: int
    ) -> float:
        tokens = load.prompt_tokens + uncached * self._settings.uncached_weight
        cost = tokens * _MILLISECONDS_PER_SECOND / endpoint.prefill_rate
        if endpoint.role is Role.DECODE:
            cost += self._settings.wrong_role_cost
        return cost

    def _get_decode(self, endpoint: RoutedEndpoint, load: Load) -> float:
        fill = (load.streams + 1) / endpoint.max_streams
        overload = max(0, fill - 1) * (_OVERLOAD_FACTOR - 1)
        cost = self._settings.stream_cost * (fill + overload)
        if endpoint.role is Role.PREFILL:
            cost += self._settings.wrong_role_cost
        return cost

    def _choose(
        self,
        request: RouteRequest,
        usable: Sequence[Candidate],
        candidates: tuple[Candidate, ...],
        reason: ChoiceReason,
    ) -> Choice:
        prefill = self._pick(usable, _get_total_cost)
        decode = None
        if any(candidate.is_specialized for candidate in usable):
            first = self._pick(usable, _get_prefill_cost)
            second = self._pick(usable, _get_decode_cost)
            transfer = self._get_transfer(request)
            cost = first.prefill_cost + second.decode_cost + transfer
            if first is not second and cost < _get_total_cost(prefill):
                prefill = first
                decode = second.endpoint_id
        return Choice(
            endpoint_id=prefill.endpoint_id,
            decode_endpoint_id=decode,
            reason=reason,
            expected_first_token=max(1, round(prefill.prefill_cost)),
            uncached_tokens=get_uncached_tokens(request, prefill.cached_blocks),
            candidates=candidates,
        )

    def _get_transfer(self, request: RouteRequest) -> float:
        tokens = request.prompt_tokens * _MILLISECONDS_PER_SECOND
        return self._settings.zone_cost + tokens / self._settings.transfer_rate

    def _pick(
        self,
        candidates: Sequence[Candidate],
        get_cost: Callable[[Candidate], float],
    ) -> Candidate:
        """Return the better of two random ones among the equally good.

        Daemons that read the same report would otherwise all send their next
        requests to the same endpoint.
        """
        best = min(get_cost(candidate) for candidate in candidates)
        limit = best + self._settings.tolerance
        pool = [item for item in candidates if get_cost(item) <= limit]
        if len(pool) == 1:
            return pool[0]
        return min(self._generator.sample(pool, 2), key=get_cost)


def get_uncached_tokens(request: RouteRequest, cached_blocks: int) -> int:
    """Return the prompt tokens that an engine has to process.

    :param request: request with its prompt length.
    :param cached_blocks: leading blocks that the engine holds.
    """
    return max(1, request.prompt_tokens - cached_blocks * BLOCK_TOKENS)


def _get_state(
    endpoint: RoutedEndpoint, request: RouteRequest, health: HealthState
) -> CandidateState:
    if endpoint.leaving:
        return CandidateState.LEAVING
    if endpoint.endpoint_id in request.excluded:
        return CandidateState.EXCLUDED
    if endpoint.models and request.model not in endpoint.models:
        return CandidateState.MODEL
    if endpoint.cheap and not request.repeatable:
        return CandidateState.CHEAP
    return _HEALTH_STATES[health]


def _filter_state(
    candidates: Iterable[Candidate], state: CandidateState
) -> list[Candidate]:
    return [item for item in candidates if item.state is state]


def _get_prefill_cost(candidate: Candidate) -> float:
    return candidate.prefill_cost


def _get_decode_cost(candidate: Candidate) -> float:
    return candidate.decode_cost


def _get_total_cost(candidate: Candidate) -> float:
    return candidate.prefill_cost + candidate.decode_cost


_HEALTH_STATES = {
    HealthState.HEALTHY: CandidateState.CONSIDERED,
    HealthState.EJECTED: CandidateState.EJECTED,
    HealthState.PROBING: CandidateState.PROBING,
}
