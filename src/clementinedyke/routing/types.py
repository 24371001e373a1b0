"""Types for routing requests and the router's choices."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.clock import Milliseconds


class Role(enum.Enum):
    """Phase of the work that an engine is set up for."""

    MIXED = 'mixed'
    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class RoutedEndpoint:
    """An endpoint with the properties that routing depends on.

    ``models`` is empty when the endpoint serves every model of its service.
    ``prefill_rate`` is in tokens/s. ``max_streams`` is the number of concurrent
    requests at which the endpoint still meets the target token interval.
    ``max_prompt_tokens`` is the prompt backlog that it can process within the
    target first-token time.
    """

    endpoint_id: str
    service: str
    availability_zone: str
    cheap: bool = False
    leaving: bool = False
    role: Role = Role.MIXED
    models: frozenset[str] = frozenset()
    prefill_rate: float = 8000
    max_streams: int = 32
    max_prompt_tokens: int = 8000


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that routing depends on.

    ``excluded`` holds the ids of endpoints that must not be selected, such as
    those where the request already failed.
    """

    request_id: str
    service: str
    model: str = ''
    prompt_tokens: int = 0
    block_hashes: tuple[int, ...] = ()
    repeatable: bool = True
    excluded: frozenset[str] = frozenset()


class CandidateState(enum.Enum):
    """Why a candidate was considered or ruled out."""

    CONSIDERED = 'considered'
    LEAVING = 'leaving'
    EXCLUDED = 'excluded'
    EJECTED = 'ejected'
    PROBING = 'probing'
    CHEAP = 'cheap'
    MODEL = 'model'


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with its estimated costs in milliseconds.

    ``is_specialized`` is set for an engine whose role is prefill or decode.
    """

    endpoint_id: str
    state: CandidateState
    prefill_cost: float = 0
    decode_cost: float = 0
    cached_blocks: int = 0
    is_specialized: bool = False


class ChoiceReason(enum.Enum):
    """Why the router selected an endpoint."""

    LOWEST_COST = 'lowest_cost'
    ONLY_CANDIDATE = 'only_candidate'
    PROBE = 'probe'
    ALL_EJECTED = 'all_ejected'


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint selected for a request.

    ``decode_endpoint_id`` is set when another endpoint generates the output.
    ``candidates`` holds all endpoints that were scored.
    """

    endpoint_id: str
    decode_endpoint_id: str | None
    reason: ChoiceReason
    expected_first_token: Milliseconds
    uncached_tokens: int
    candidates: tuple[Candidate, ...]


class NoChoiceReason(enum.Enum):
    """Why no endpoint can run a request."""

    SERVICE_UNKNOWN = 'service_unknown'
    NONE_USABLE = 'none_usable'


@dataclass(frozen=True, slots=True)
class NoChoice:
    """No endpoint was selected for a request."""

    reason: NoChoiceReason
    candidates: tuple[Candidate, ...] = ()


RouteResult: TypeAlias = Choice | NoChoice


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Additional work that the endpoints of a service can take now."""

    streams: float
    prompt_tokens: float

    def scale(self, share: float) -> 'FreeCapacity':
        """Return a share of the capacity.

        :param share: fraction from 0 to 1.
        """
        return FreeCapacity(self.streams * share, self.prompt_tokens * share)
