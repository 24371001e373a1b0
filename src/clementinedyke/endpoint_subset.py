"""Subset of the listed endpoints that this daemon uses."""

from collections.abc import Callable, Iterable

from clementinedyke.control_messages import Member
from clementinedyke.daemons import ControlComponent
from clementinedyke.endpoints.registry import Endpoint
from clementinedyke.subset import (
    Place,
    RingShare,
    count_sharers,
    find_share,
    select_subset,
)


class EndpointSubset:
    """Selects endpoints by service and follows the members."""

    def __init__(self, get_share: Callable[[], RingShare]) -> None:
        """Create a subset without endpoints.

        :param get_share: returns the place of this daemon among all.
        """
        self._get_share = get_share
        self._share = RingShare()
        self._sizes: dict[str, int] = {}

    def is_outdated(self) -> bool:
        """Return whether the members have changed since the last choice."""
        return self._share != self._get_share()

    def select(self, listed: Iterable[Endpoint]) -> frozenset[str]:
        """Return the live endpoints that this daemon uses.

        :param listed: endpoints of all services.
        """
        self._share = self._get_share()
        services = _group(listed)
        self._sizes = {name: len(places) for name, places in services.items()}
        return frozenset(
            name
            for places in services.values()
            for name in select_subset(self._share, places)
        )

    def count_sharers(self, service: str) -> float:
        """Return the mean number of daemons that use an endpoint.

        :param service: name of the service.
        """
        endpoints = self._sizes.get(service, 0)
        return count_sharers(endpoints, self._share.daemons)


def find_member_share(control: ControlComponent) -> RingShare:
    """Return the place of this daemon among the living members.

    :param control: holds the membership core.
    """
    node = control.node
    if node is None:
        return RingShare()
    view = node.membership.view
    ring = map(_get_place, view.table.list_ring())
    return find_share(_get_place(view.own), ring)


def _get_place(member: Member) -> Place:
    return Place(member.daemon_id, member.availability_zone)


def _group(listed: Iterable[Endpoint]) -> dict[str, list[Place]]:
    services: dict[str, list[Place]] = {}
    for endpoint in listed:
        if endpoint.state == 'live':
            place = Place(endpoint.endpoint_id, endpoint.availability_zone)
            services.setdefault(endpoint.service, []).append(place)
    return services
