"""Capacity planning: demand measurement, endpoint orders and returns."""

from clementinedyke.capacity.core import (
    CapacityPlanner,
)
from clementinedyke.capacity.types import (
    CapacitySettings,
    CapacityTicked,
    EndpointsHeld,
    EndpointState,
    HeldEndpoint,
    NeedReported,
    OffersChanged,
    OrderEndpoint,
    OrderUnavailable,
    PriceClass,
    ReturnEndpoint,
    ZoneOffer,
)

__all__ = (
    'CapacityPlanner',
    'CapacitySettings',
    'CapacityTicked',
    'EndpointState',
    'EndpointsHeld',
    'HeldEndpoint',
    'NeedReported',
    'OffersChanged',
    'OrderEndpoint',
    'OrderUnavailable',
    'PriceClass',
    'ReturnEndpoint',
    'ZoneOffer',
)
