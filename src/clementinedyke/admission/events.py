"""Events and actions of the admission core."""

from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.routing.types import Room


@dataclass(frozen=True, slots=True)
class CustomerWeight:
    """Fair share of a customer relative to the others."""

    customer: str
    weight: float


@dataclass(frozen=True, slots=True)
class CustomersChanged:
    """Weights of all customers, in place of the former ones."""

    weights: tuple[CustomerWeight, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A checked request waits to be dispatched.

    ``cost`` is the expected work in tokens, ``prompt_tokens`` the part of it
    that is prompt; ``start_by`` is the latest useful dispatch.
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
    """A started request ended; ``cost`` is its actual work if known."""

    request_id: str
    cost: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a queued or started request went away."""

    request_id: str


@dataclass(frozen=True, slots=True)
class FreeCapacityReported:
    """Work beyond its own in flight that this daemon may start now.

    ``excess_room`` is what customers over their share may start. It is less
    than ``room``, so that other customers find room at every daemon.
    """

    service: str
    free_capacity: Room
    excess_capacity: Room


@dataclass(frozen=True, slots=True)
class CustomerTokens:
    """Tokens that a customer consumed."""

    customer: str
    tokens: float


@dataclass(frozen=True, slots=True)
class RemoteConsumption:
    """Consumption at another daemon since its last message."""

    service: str
    consumed: tuple[CustomerTokens, ...]


@dataclass(frozen=True, slots=True)
class AdmissionTicked:
    """Time has passed; sent at least every 100 ms while requests wait."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Dispatch a request; engines run a higher priority first."""

    request_id: str
    priority: int


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer a request at once; it was not run."""

    request_id: str
    code: ResultCode
    retry_after: Milliseconds


AdmissionAction: TypeAlias = StartRequest | RefuseRequest
