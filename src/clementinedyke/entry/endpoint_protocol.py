"""Interface between the gateway and the wire protocol of a platform."""

from dataclasses import dataclass
from typing import Protocol

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, EntryRequest
from clementinedyke.http.client import Headers, HttpRequest
from clementinedyke.http.message import ServerRequest


@dataclass(frozen=True, slots=True)
class KvCacheReference:
    """Reference to the KV cache of a prompt that an engine has prefilled.

    ``handle`` names the cache at ``endpoint``. It can be fetched only once.
    """

    endpoint: EntryEndpoint
    handle: str


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Fields that the daemon adds to a request before sending it.

    ``time_left`` limits the work of the endpoint, in milliseconds.
    ``priority`` is between 0 (most urgent) and 9. ``kv_cache`` is fetched by
    an engine that generates from a prompt prefilled by another engine.
    ``after_event`` is the id of the event after which a stream is resumed.
    """

    endpoint: EntryEndpoint
    time_left: Milliseconds
    customer: str | None
    priority: int | None = None
    kv_cache: KvCacheReference | None = None
    is_prefill: bool = False
    after_event: int | None = None


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """Running and queued requests that an endpoint reports in its answers."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Decoded status and headers of an endpoint's answer.

    ``is_signed`` is true if the answer carries the endpoint's signature.
    ``was_not_run`` is true if the endpoint states that it did not run the
    request. ``forwarded_headers`` are passed to the caller unchanged.
    ``rate_limit`` is the number of requests a second that the endpoint takes
    from all daemons together, None if it names no limit.
    ``is_leaving`` is true if the endpoint says that it leaves.
    ``requested_pause`` is the time in ms for which it wants no requests of this
    daemon, None if it asks for none.
    """

    status: int
    request_id: str | None
    is_signed: bool
    was_not_run: bool
    load: EndpointLoad | None
    forwarded_headers: Headers
    rate_limit: float | None = None
    is_leaving: bool = False
    requested_pause: Milliseconds | None = None


@dataclass(frozen=True, slots=True)
class PrefillAnswer:
    """Handle of the KV cache of a prefilled prompt and its size in tokens."""

    handle: str
    tokens: int


class EndpointProtocol(Protocol):
    """Translates between wire messages and the types of this module."""

    def read_request(self, request: ServerRequest) -> EntryRequest | None:
        """Decode the request of a caller; return None if it is malformed."""

    def compile_request(
        self, request: EntryRequest, options: SendOptions
    ) -> HttpRequest:
        """Return the request to send to an endpoint."""

    def compile_release(self, kv_cache: KvCacheReference) -> HttpRequest:
        """Return the request that frees a KV cache at its engine."""

    def read_head(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the status and headers of an answer."""

    def read_prefill(self, body: bytes) -> PrefillAnswer | None:
        """Decode the answer to a prefill; return None if it is malformed."""

    def compile_refusal_headers(
        self, retry_after: Milliseconds | None
    ) -> Headers:
        """Return the headers of a refusal, with the retry delay if given."""
