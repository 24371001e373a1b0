"""Computes this daemon's share of the free capacity of a service."""

from clementinedyke.admission.events import FreeCapacityReported
from clementinedyke.clock import Milliseconds
from clementinedyke.routing.core import RouterCore

#: Fraction of the endpoint limits open to customers over their fair share.
_EXCESS_LIMIT_SHARE = 0.5


def compile_free_capacity_report(
    router: RouterCore,
    service: str,
    daemons_per_endpoint: float,
    now: Milliseconds,
) -> FreeCapacityReported:
    """Return the free capacity report of a service for the admission core.

    :param router: router that tracks the endpoints of the service.
    :param service: name of the service.
    :param daemons_per_endpoint: mean number of daemons that use an endpoint of
        the service.
    :param now: current time in milliseconds.
    """
    # A daemon does not know how much work the other daemons have. Twice an
    # equal share allows a busy daemon to use capacity that they leave idle.
    share = min(1, 2 / max(1, daemons_per_endpoint))
    capacity = router.get_free_capacity(service, now)
    excess_capacity = router.get_free_capacity(
        service, now, _EXCESS_LIMIT_SHARE
    )
    return FreeCapacityReported(
        service, capacity.scale(share), excess_capacity.scale(share)
    )
