"""Routes, services, customers and endpoints that an entry daemon serves."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.http.client import Address


class RequestKind(enum.Enum):
    """What may be done with a request again, and how it is answered."""

    #: May run more than once.
    REPEATABLE = 'repeatable'
    #: May run once at most.
    ONCE = 'once'
    #: Answered by a stream of events; runs once unless it may be resumed.
    STREAM = 'stream'


class Stage(enum.Enum):
    """Part of a generation that an engine does."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Part of a route's requests that one service gets."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class EntryRoute:
    """Where requests of a host name and path prefix go, and how.

    ``timeout`` bounds the time that a caller is kept waiting. ``priority`` 0
    is the most urgent. ``shares`` has one entry unless the route is split.
    ``max_attempts`` counts the endpoints that may run one attempt of a
    caller.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: Milliseconds
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a run may be followed by another one."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.REPEATABLE


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the engines of a service have in common."""

    slots: int


@dataclass(frozen=True, slots=True)
class ScalingOptions:
    """Engines that may be ordered, per availability zone.

    ``minimum`` and ``maximum`` bound standard and cheap engines together.
    ``boot_time`` passes until an ordered engine serves. ``cheap_price`` is
    the part of the price that a cheap engine costs, None if there are none.
    """

    minimum: int
    maximum: int
    boot_time: Milliseconds
    cheap_price: float | None
    zone_prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class EntryService:
    """A service; ``engine`` is set for model engines.

    ``max_connections`` is what one endpoint takes from all daemons together,
    0 if it is not known.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingOptions | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send and how long it may take; bytes and ms."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: Milliseconds
    idle_timeout: Milliseconds


@dataclass(frozen=True, slots=True)
class EntryCustomer:
    """A customer; its priority, if any, goes before the route's."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class EntryConfiguration:
    """One version of what the operator has configured.

    ``customers`` is None where requests carry no keys.
    """

    version: int
    routes: tuple[EntryRoute, ...]
    services: Mapping[str, EntryService]
    bounds: RequestLimits
    customers: tuple[EntryCustomer, ...] | None = None


@dataclass(frozen=True, slots=True)
class EntryEndpoint:
    """A model engine or plain service as it has registered itself.

    ``started_at`` is in Unix milliseconds and tells two runs under one id
    apart; 0 if the endpoint does not say.
    """

    endpoint_id: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    is_leaving: bool = False
    stage: Stage | None = None
    is_cheap: bool = False
    started_at: int = 0

    @property
    def run_id(self) -> str:
        """Identity of this run of the endpoint."""
        return f'{self.endpoint_id}/{self.started_at}'


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request, decoded.

    ``forwarded_headers`` are passed to the endpoint unchanged.
    ``caller_timeout`` is how long the caller waits for an answer, None if it
    sets no limit. ``prompt_parts`` are in prompt order; the last one belongs
    to this request or its session only.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    body: bytes
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    key: str | None = None
    caller_timeout: Milliseconds | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = field(default=())
    last_event_id: int | None = None
