"""Subset of the listed endpoints that this daemon uses."""

from collections.abc import Callable, Iterable

from clementinedyke.control.messages import Member
from clementinedyke.daemons import ControlComponent
from clementinedyke.endpoints.registry import Endpoint
from clementinedyke.leases.candidates import CandidateTable
from clementinedyke.routing.subset import (
    RingEntry,
    RingPosition,
    compute_daemons_per_endpoint,
    find_position,
    select_subset,
)


class EndpointSubset:
    """Selects endpoints by service and follows the members."""

    def __init__(self, get_position: Callable[[], RingPosition]) -> None:
        """Create a subset without endpoints.

        :param get_share: returns the place of this daemon among all.
        """
        self._get_share = get_position
        #: Tells whether this daemon may plan for a service. It then uses all
        #: endpoints: plans from a subset would take the rest for missing.
        self.is_planner: Callable[[str], bool] = _is_no_planner
        self._planned: frozenset[str] = frozenset()
        self._share = RingPosition()
        self._sizes: dict[str, int] = {}

    def is_outdated(self) -> bool:
        """Return whether the members have changed since the last choice."""
        if self._share != self._get_share():
            return True
        return self._planned != frozenset(filter(self.is_planner, self._sizes))

    def select(self, listed: Iterable[Endpoint]) -> frozenset[str]:
        """Return the live endpoints that this daemon uses.

        :param listed: endpoints of all services.
        """
        self._share = self._get_share()
        services = _group(listed)
        self._sizes = {name: len(places) for name, places in services.items()}
        self._planned = frozenset(filter(self.is_planner, services))
        return frozenset(
            name
            for service, places in services.items()
            for name in self._select_places(service, places)
        )

    def compute_daemons_per_endpoint(self, service: str) -> float:
        """Return the mean number of daemons that use an endpoint.

        :param service: name of the service.
        """
        endpoints = self._sizes.get(service, 0)
        return compute_daemons_per_endpoint(endpoints, self._share.daemons)

    def _select_places(
        self, service: str, places: list[RingEntry]
    ) -> tuple[str, ...]:
        if service in self._planned:
            return tuple(place.name for place in places)
        return select_subset(self._share, places)


class PlannerCandidacy:
    """Services whose lease this daemon may seek."""

    def __init__(self, control: ControlComponent) -> None:
        """Follow a control component.

        :param control: holds the membership core.
        """
        self._control = control
        self._candidates: CandidateTable | None = None

    def is_planner(self, service: str) -> bool:
        """Return whether this daemon is a candidate for the lease.

        :param service: name of the service.
        """
        node = self._control.node
        if node is None:
            return False
        if self._candidates is None:
            view = node.membership.view
            self._candidates = CandidateTable(
                view.table.list_ring, view.own.daemon_id
            )
        return self._candidates.is_candidate(f'service/{service}')


def find_member_position(control: ControlComponent) -> RingPosition:
    """Return the place of this daemon among the living members.

    :param control: holds the membership core.
    """
    node = control.node
    if node is None:
        return RingPosition()
    view = node.membership.view
    ring = map(_get_place, view.table.list_ring())
    return find_position(_get_place(view.own), ring)


def _get_place(member: Member) -> RingEntry:
    return RingEntry(member.daemon_id, member.availability_zone)


def _group(listed: Iterable[Endpoint]) -> dict[str, list[RingEntry]]:
    services: dict[str, list[RingEntry]] = {}
    for endpoint in listed:
        if endpoint.state == 'live':
            place = RingEntry(endpoint.endpoint_id, endpoint.availability_zone)
            services.setdefault(endpoint.service, []).append(place)
    return services


def _is_no_planner(service: str) -> bool:
    return False
