"""Events, orders and settings of the capacity planner."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.clock import Milliseconds


class PriceClass(enum.Enum):
    """Price class of an endpoint; the platform may reclaim cheap ones."""

    STANDARD = 'standard'
    CHEAP = 'cheap'


class EndpointState(enum.Enum):
    """Lifecycle state of an endpoint as the platform reports it."""

    ORDERED = 'ordered'
    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class HeldEndpoint:
    """An endpoint that is ordered or in use; ``since`` is the order time."""

    endpoint_id: str
    availability_zone: str
    price_class: PriceClass
    state: EndpointState
    since: Milliseconds


@dataclass(frozen=True, slots=True)
class ZoneOffer:
    """Hourly prices and endpoint limits of an availability zone."""

    availability_zone: str
    standard_price: float
    cheap_price: float
    minimum: int = 0
    maximum: int = 1000


@dataclass(frozen=True, slots=True)
class OffersChanged:
    """The complete list of offers; replaces the previous list."""

    offers: tuple[ZoneOffer, ...]


@dataclass(frozen=True, slots=True)
class EndpointsHeld:
    """The complete list of endpoints of the service, ordered ones included."""

    endpoints: tuple[HeldEndpoint, ...]


@dataclass(frozen=True, slots=True)
class NeedReported:
    """Number of endpoints needed at present.

    ``non_repeatable`` is the number needed for non-repeatable requests alone.
    """

    total: int
    non_repeatable: int


@dataclass(frozen=True, slots=True)
class OrderUnavailable:
    """An availability zone has no endpoint of the price class to offer."""

    availability_zone: str
    price_class: PriceClass


@dataclass(frozen=True, slots=True)
class CapacityTicked:
    """Triggers planning; sent about every 10 s."""


@dataclass(frozen=True, slots=True)
class OrderEndpoint:
    """Orders one endpoint from the platform."""

    availability_zone: str
    price_class: PriceClass


@dataclass(frozen=True, slots=True)
class ReturnEndpoint:
    """Drains an endpoint and returns it to the platform."""

    endpoint_id: str


CapacityOrder: TypeAlias = OrderEndpoint | ReturnEndpoint


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of the capacity planner.

    ``min_hold`` is the minimum time for which an endpoint is paid.
    ``need_window`` is the period over which the peak need counts; it is
    longer than an order takes, so that a short dip does not return endpoints
    that are soon needed again. ``unavailable_time`` is the time before an
    endpoint that was unavailable in an availability zone is ordered again.
    ``min_standard`` is the minimum number of standard endpoints.
    """

    min_hold: Milliseconds = 600_000
    need_window: Milliseconds = 600_000
    unavailable_time: Milliseconds = 300_000
    min_standard: int = 1
    cheap_allowed: bool = True
