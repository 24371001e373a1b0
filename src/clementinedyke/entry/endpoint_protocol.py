"""What the gateway needs of the protocol to callers and endpoints."""

from dataclasses import dataclass
from typing import Protocol

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, EntryRequest
from clementinedyke.http.client import Headers, HttpRequest
from clementinedyke.http.message import ServerRequest


@dataclass(frozen=True, slots=True)
class KvCacheReference:
    """Memory of a prompt that an engine has read, usable once."""

    endpoint: EntryEndpoint
    handle: str


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What the daemon adds to a request that goes to an endpoint.

    ``time_left`` bounds the endpoint's work in milliseconds. ``priority`` 0
    is the most urgent of 0 to 9. ``memory`` is fetched by an engine that goes
    on from a prompt which another one has read. ``after_event`` resumes a
    stream behind an event.
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
    """Requests that an endpoint runs and queues, as it tells with answers."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an endpoint's answer, decoded.

    ``is_signed`` tells whether the endpoint vouches for the answer.
    ``was_not_run`` is the endpoint's statement that it did not run the
    request. ``forwarded_headers`` go to the caller as they came.
    """

    status: int
    request_id: str | None
    is_signed: bool
    was_not_run: bool
    load: EndpointLoad | None
    forwarded_headers: Headers


@dataclass(frozen=True, slots=True)
class PrefillAnswer:
    """An engine has read a prompt of some tokens."""

    handle: str
    tokens: int


class EndpointProtocol(Protocol):
    """Translates between the wire and the types of this module."""

    def read_request(self, request: ServerRequest) -> EntryRequest | None:
        """Return a caller's request, None if it is not proper."""

    def compile_request(
        self, request: EntryRequest, options: SendOptions
    ) -> HttpRequest:
        """Return the request that goes to an endpoint."""

    def compile_release(self, kv_cache: KvCacheReference) -> HttpRequest:
        """Return the call that frees prompt memory."""

    def read_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the decoded head of an answer."""

    def read_prefill(self, body: bytes) -> PrefillAnswer | None:
        """Return the decoded answer to a prefill, None if unreadable."""

    def compile_refusal_headers(
        self, retry_after: Milliseconds | None
    ) -> Headers:
        """Return the headers of a refusal."""
