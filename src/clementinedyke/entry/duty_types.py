"""Types of the calls that only the holder of the duties may make."""

import enum
from dataclasses import dataclass

from clementinedyke.entry.catalog import EntryEndpoint, Stage


@dataclass(frozen=True, slots=True)
class Authority:
    """Host name of the lease holder and its fence, sent with each call."""

    holder: str
    fence: int


class OrderOutcome(enum.Enum):
    """Result of sending an order."""

    DONE = 'done'
    #: The order had no effect and may be sent again.
    NOT_DONE = 'not_done'
    #: The answer was lost; the order may have taken effect.
    UNKNOWN = 'unknown'
    #: No engines are available now, or another order is in progress.
    UNAVAILABLE = 'unavailable'
    #: The order is invalid or its fence is out of date.
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class CapacityOrder:
    """Number of engines of a service wanted in an availability zone.

    ``is_cheap`` selects the price class: cheap engines, which the platform may
    reclaim, or standard ones. ``count`` is the total wanted, not an increment.
    """

    service: str
    availability_zone: str
    is_cheap: bool
    count: int


@dataclass(frozen=True, slots=True)
class EngineState:
    """State reported by an engine.

    ``is_changing`` is set while the engine carries out an order.
    ``accepted_orders`` is the number of orders it has accepted so far.
    """

    stage: Stage
    is_changing: bool
    accepted_orders: int


@dataclass(frozen=True, slots=True)
class StageOrder:
    """Order that changes the stage of an engine.

    ``accepted_orders`` is the number of orders that the engine must have
    accepted before this one, so that an order that arrives after a later
    one has no effect.
    """

    endpoint: EntryEndpoint
    stage: Stage
    accepted_orders: int = 0
