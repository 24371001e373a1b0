"""Calls that only the holder of the duties makes, and their outcomes."""

import enum
from dataclasses import dataclass

from clementinedyke.entry.catalog import EntryEndpoint, Stage


@dataclass(frozen=True, slots=True)
class Authority:
    """Name of the holder and its fence."""

    holder: str
    fence: int


class OrderOutcome(enum.Enum):
    """What became of an order."""

    DONE = 'done'
    #: Nothing was done; the order may be repeated.
    NOT_DONE = 'not_done'
    #: The answer was lost; the order may have taken effect.
    UNKNOWN = 'unknown'
    #: None are to be had at the moment, or another order is in progress.
    UNAVAILABLE = 'unavailable'
    #: The order is wrong or its fence is old.
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class CapacityOrder:
    """Number of engines of one kind wanted in an availability zone."""

    service: str
    availability_zone: str
    is_cheap: bool
    count: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself; ``accepted`` counts its orders."""

    stage: Stage
    is_changing: bool
    accepted_orders: int


@dataclass(frozen=True, slots=True)
class StageOrder:
    """Change of the stage of an engine.

    ``accepted`` is the number of orders that the engine must have accepted
    when the order takes effect: one that comes late does nothing then.
    """

    endpoint: EntryEndpoint
    stage: Stage
    accepted_orders: int = 0
