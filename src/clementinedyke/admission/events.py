"""Events and actions of the admission core."""

from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.routing.types import FreeCapacity


@dataclass(frozen=True, slots=True)
class CustomerWeight:
    """Weight of a customer; its fair share is proportional to it."""

    customer: str
    weight: float


@dataclass(frozen=True, slots=True)
class CustomersChanged:
    """New weights of all customers; they replace the previous ones."""

    weights: tuple[CustomerWeight, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A validated request is ready to be queued.

    ``cost`` is the estimated work in tokens; it includes ``prompt_tokens``.
    ``start_by`` is the latest time at which the request may be dispatched.
    """

    request_id: str
    service: str
    customer: str
    cost: int
    prompt_tokens: int
    start_by: Milliseconds


@dataclass(frozen=True, slots=True)
class PromptProcessed:
    """The first token of a started request arrived."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A started request ended; ``cost`` is its actual cost, None if unknown."""

    request_id: str
    cost: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a queued or started request disconnected."""

    request_id: str


@dataclass(frozen=True, slots=True)
class FreeCapacityReported:
    """Work that this daemon may start in addition to its running work.

    ``free_capacity`` is the limit for customers within their fair share, the
    part of the tokens of a service that corresponds to their weight.
    ``excess_capacity`` is the limit for customers over their fair share. It is
    lower so that every daemon keeps some capacity for the other customers.
    """

    service: str
    free_capacity: FreeCapacity
    excess_capacity: FreeCapacity


@dataclass(frozen=True, slots=True)
class CustomerTokens:
    """Tokens that a customer consumed."""

    customer: str
    tokens: float


@dataclass(frozen=True, slots=True)
class RemoteConsumption:
    """Tokens consumed at another daemon.

    Counts from the previous message of that daemon with its consumption.
    """

    service: str
    consumed: tuple[CustomerTokens, ...]


@dataclass(frozen=True, slots=True)
class AdmissionTicked:
    """Timer event, sent at least every 100 ms while requests are queued."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Dispatch a request; engines run a higher priority first."""

    request_id: str
    priority: int


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse a request immediately; it was not run."""

    request_id: str
    code: ResultCode
    retry_after: Milliseconds


AdmissionAction: TypeAlias = StartRequest | RefuseRequest
