"""Events, orders and settings of the capacity planner."""

import enum
from dataclasses import dataclass
from typing import TypeAlias

from clementinedyke.clock import Milliseconds


class PriceClass(enum.Enum):
    """Kind of an endpoint that the platform offers."""

    STANDARD = 'standard'
    CHEAP = 'cheap'


class EndpointState(enum.Enum):
    """Life of an endpoint as the platform reports it."""

    ORDERED = 'ordered'
    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class HeldEndpoint:
    """An endpoint that is ordered or held; ``since`` is when it was ordered."""

    endpoint_id: str
    availability_zone: str
    price_class: PriceClass
    state: EndpointState
    since: Milliseconds


@dataclass(frozen=True, slots=True)
class ZoneOffer:
    """Prices per hour and bounds in an availability zone."""

    availability_zone: str
    standard_price: float
    cheap_price: float
    minimum: int = 0
    maximum: int = 1000


@dataclass(frozen=True, slots=True)
class OffersChanged:
    """All availability zones, in place of the former ones."""

    offers: tuple[ZoneOffer, ...]


@dataclass(frozen=True, slots=True)
class EndpointsHeld:
    """All endpoints of the service, ordered ones included."""

    endpoints: tuple[HeldEndpoint, ...]


@dataclass(frozen=True, slots=True)
class NeedReported:
    """Endpoints needed now.

    ``non_repeatable`` is the number that non-repeatable work alone needs.
    """

    total: int
    non_repeatable: int


@dataclass(frozen=True, slots=True)
class OrderUnavailable:
    """The platform has no endpoint of a kind in an availability zone."""

    availability_zone: str
    price_class: PriceClass


@dataclass(frozen=True, slots=True)
class CapacityTicked:
    """Time to plan; sent about every 10 s."""


@dataclass(frozen=True, slots=True)
class OrderEndpoint:
    """Order one endpoint."""

    availability_zone: str
    price_class: PriceClass


@dataclass(frozen=True, slots=True)
class ReturnEndpoint:
    """Drain an endpoint and give it back."""

    endpoint_id: str


CapacityOrder: TypeAlias = OrderEndpoint | ReturnEndpoint


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of the capacity planner.

    ``min_hold`` is the time an endpoint is paid for in any case.
    ``need_window`` is the time that a peak of the need is remembered; it is
    longer than an order takes, so that a dip returns nothing that is needed
    again. ``unavailable_time`` is how long an availability zone without
    offers is not asked again.
    """

    min_hold: Milliseconds = 600_000
    need_window: Milliseconds = 600_000
    unavailable_time: Milliseconds = 300_000
    min_standard: int = 1
    cheap_allowed: bool = True
