"""Part of the endpoints' room that one daemon may use."""

from clementinedyke.admission.events import FreeCapacityReported
from clementinedyke.clock import Milliseconds
from clementinedyke.routing.core import RouterCore

#: Part of the endpoints' limits that customers over their share may use.
_EXCESS_SHARE = 0.5


def compile_room_report(
    router: RouterCore, service: str, sharers: float, now: Milliseconds
) -> FreeCapacityReported:
    """Return what to tell the admission core of a service's room.

    :param router: knows the endpoints of the service.
    :param service: name of the service.
    :param sharers: number of daemons that use an endpoint of the service.
    :param now: current time in milliseconds.
    """
    # Daemons do not know who else has work; twice an equal part lets one with
    # more work use what the others leave.
    share = min(1, 2 / max(1, sharers))
    room = router.get_room(service, now)
    excess_room = router.get_room(service, now, _EXCESS_SHARE)
    return FreeCapacityReported(
        service, room.scale(share), excess_room.scale(share)
    )
