"""Scores the endpoints of a service and selects one for a request."""

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
#: Cost of a stream above the stream limit relative to one below the limit. An
#: endpoint above its limit misses the target token interval.
_OVERLOAD_FACTOR = 5


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of the router; costs are in milliseconds.

    ``zone_cost`` is added for an endpoint in another availability zone and for
    a KV transfer. Endpoints whose cost exceeds the lowest by at most
    ``tolerance`` count as equally good. ``stream_cost`` is the cost of an
    endpoint at its stream limit. ``failure_cost`` is added per recent failure
    of an endpoint. ``wrong_role_cost`` is added when a prefill engine decodes
    or a decode engine prefills. ``uncached_weight`` multiplies the processing
    time of uncached tokens, because processing a block again also delays the
    queued prompts and evicts another block. With weights 1, 2 and 3 the goodput
    was 0.924, 0.935 and 0.944 under a steady traffic mix, and 0.903, 0.936 and
    0.931 when the mix reversed. ``transfer_rate`` is the rate of KV transfers
    in prompt tokens/s. ``max_blocks`` bounds the prefix index.
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
    """Scores candidates and selects one of the cheapest at random."""

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
        """Return all endpoints of a service as candidates with their costs.

        :param state: endpoints of the service.
        :param request: request to route.
        :param hits: number of leading prompt blocks cached per endpoint.
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
        """Return the selected endpoint, or the reason for having none.

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
            # Using an ejected endpoint is better than refusing all requests.
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
            prefill_cost=common
            + self._compute_prefill_cost(endpoint, load, uncached),
            decode_cost=self._compute_decode_cost(endpoint, load),
            cached_blocks=cached,
            is_specialized=endpoint.role is not Role.MIXED,
        )

    def _compute_prefill_cost(
        self, endpoint: RoutedEndpoint, load: Load, uncached: int
    ) -> float:
        tokens = load.prompt_tokens + uncached * self._settings.uncached_weight
        cost = tokens * _MILLISECONDS_PER_SECOND / endpoint.prefill_rate
        if endpoint.role is Role.DECODE:
            cost += self._settings.wrong_role_cost
        return cost

    def _compute_decode_cost(
        self, endpoint: RoutedEndpoint, load: Load
    ) -> float:
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
        prefill = self._sample_cheapest(usable, _get_total_cost)
        decode = None
        if any(candidate.is_specialized for candidate in usable):
            first = self._sample_cheapest(usable, _get_prefill_cost)
            second = self._sample_cheapest(usable, _get_decode_cost)
            transfer = self._compute_transfer_cost(request)
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

    def _compute_transfer_cost(self, request: RouteRequest) -> float:
        tokens = request.prompt_tokens * _MILLISECONDS_PER_SECOND
        return self._settings.zone_cost + tokens / self._settings.transfer_rate

    def _sample_cheapest(
        self,
        candidates: Sequence[Candidate],
        get_cost: Callable[[Candidate], float],
    ) -> Candidate:
        """Return the cheaper of two random candidates near the lowest cost.

        Always taking the cheapest would make all daemons that read the same
        load report send their next requests to the same endpoint.
        """
        best = min(get_cost(candidate) for candidate in candidates)
        limit = best + self._settings.tolerance
        pool = [item for item in candidates if get_cost(item) <= limit]
        if len(pool) == 1:
            return pool[0]
        return min(self._generator.sample(pool, 2), key=get_cost)


def get_uncached_tokens(request: RouteRequest, cached_blocks: int) -> int:
    """Return the number of prompt tokens to process, at least 1.

    :param request: request with its prompt length.
    :param cached_blocks: number of leading blocks cached by the engine.
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
