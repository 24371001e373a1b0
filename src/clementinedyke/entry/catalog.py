"""Routes, services, customers, endpoints and requests of an entry daemon."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.http.client import Address


class RequestKind(enum.Enum):
    """Whether a request may run again, and how it is answered."""

    #: May run more than once, so a failed run may be retried.
    REPEATABLE = 'repeatable'
    #: May run at most once.
    ONCE = 'once'
    #: Answered by a stream of events; runs at most once unless resumable.
    STREAM = 'stream'


class Stage(enum.Enum):
    """Phase of a generation that an engine is assigned to."""

    PREFILL = 'prefill'
    DECODE = 'decode'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that go to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class EntryRoute:
    """Routing of the requests for a host name and path prefix.

    ``timeout`` is the longest time that a caller is kept waiting.
    ``priority`` 0 is the most urgent. ``shares`` has one entry unless traffic
    is split between services. ``max_attempts`` is the number of endpoints that
    may run one request.
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
        """Whether a request may run again after a failed run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.REPEATABLE


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties of every engine of a service.

    ``slots`` is the number of requests that an engine runs concurrently.
    """

    slots: int


@dataclass(frozen=True, slots=True)
class ScalingOptions:
    """Engines that may be ordered for a service in each availability zone.

    ``minimum`` and ``maximum`` are per zone and apply to standard and cheap
    engines together. ``boot_time`` is the time from an order until the engine
    serves. ``cheap_price`` is the price of a cheap engine as a fraction of the
    standard price, None if cheap engines are not offered.
    """

    minimum: int
    maximum: int
    boot_time: Milliseconds
    cheap_price: float | None
    zone_prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class EntryService:
    """A service; ``engine`` is set for model engines.

    ``max_connections`` is the number of connections that one endpoint accepts
    from all daemons together, 0 if unknown.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingOptions | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on request sizes in bytes and on receiving times in ms."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: Milliseconds
    idle_timeout: Milliseconds


@dataclass(frozen=True, slots=True)
class EntryCustomer:
    """A customer; its priority, if set, overrides that of the route."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class EntryConfiguration:
    """One version of the operator's configuration.

    ``customers`` is None if requests are accepted without keys.
    """

    version: int
    routes: tuple[EntryRoute, ...]
    services: Mapping[str, EntryService]
    bounds: RequestLimits
    customers: tuple[EntryCustomer, ...] | None = None


@dataclass(frozen=True, slots=True)
class EntryEndpoint:
    """A model engine or plain service as registered in the store.

    ``slots`` is the number of requests that it runs concurrently.
    ``started_at`` is in Unix milliseconds and distinguishes runs under the
    same id; 0 if the endpoint does not report it. ``version`` is that of its
    software, empty if it does not report it.
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
    version: str = ''

    @property
    def run_id(self) -> str:
        """Id of this run; another one after a restart."""
        return f'{self.endpoint_id}/{self.started_at}'


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt, with an id by which requests share it."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EntryRequest:
    """A caller's request, decoded.

    ``forwarded_headers`` are passed to the endpoint unchanged.
    ``caller_timeout`` is how long the caller waits for an answer, None if it
    sets no limit. ``prompt_parts`` are in prompt order; the last one belongs
    to this request or its session only. ``last_event_id`` is set if the caller
    takes a stream up again, and ``resumed_request`` is the id of the request
    that brought the first event of that stream, if the caller tells it.
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
    resumed_request: str | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts of the prompt that other requests may contain as well."""
        return self.prompt_parts[:-1]

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has events of the stream already."""
        if self.resumed_request is not None:
            return self.last_event_id is not None
        return bool(self.last_event_id)

    @property
    def first_request_id(self) -> str:
        """Id of the request that brought the first event of the stream."""
        if self.resumes_stream and self.resumed_request is not None:
            return self.resumed_request
        return self.request_id
