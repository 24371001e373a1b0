"""Selects the subset of the listed endpoints that this daemon uses."""

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
    """Selects endpoints per service and tracks changes of the members."""

    def __init__(self, get_position: Callable[[], RingPosition]) -> None:
        """Create a subset without endpoints.

        :param get_position: returns the position of this daemon in the ring
            of live daemons.
        """
        self._get_position = get_position
        #: Returns whether this daemon may plan for a service. If so it uses
        #: all endpoints of the service: a planner that sees only a subset
        #: would treat the other endpoints as missing.
        self.is_planner: Callable[[str], bool] = _never_plan
        self._planned_services: frozenset[str] = frozenset()
        self._position = RingPosition()
        self._sizes: dict[str, int] = {}

    def is_outdated(self) -> bool:
        """Return whether the subset has to be selected again.

        This is so when the ring of daemons or the planned services changed.
        """
        if self._position != self._get_position():
            return True
        return self._planned_services != frozenset(
            filter(self.is_planner, self._sizes)
        )

    def select(self, listed: Iterable[Endpoint]) -> frozenset[str]:
        """Return the ids of the live endpoints that this daemon uses.

        :param listed: endpoints of all services.
        """
        self._position = self._get_position()
        services = _group_by_service(listed)
        self._sizes = {name: len(entries) for name, entries in services.items()}
        self._planned_services = frozenset(filter(self.is_planner, services))
        return frozenset(
            name
            for service, entries in services.items()
            for name in self._select_names(service, entries)
        )

    def compute_daemons_per_endpoint(self, service: str) -> float:
        """Return the mean number of daemons that use an endpoint.

        :param service: name of the service.
        """
        endpoints = self._sizes.get(service, 0)
        return compute_daemons_per_endpoint(endpoints, self._position.daemons)

    def _select_names(
        self, service: str, entries: list[RingEntry]
    ) -> tuple[str, ...]:
        if service in self._planned_services:
            return tuple(entry.name for entry in entries)
        return select_subset(self._position, entries)


class PlannerCandidacy:
    """Whether this daemon is a candidate for the lease of a service."""

    def __init__(self, control: ControlComponent) -> None:
        """Create the candidacy of this daemon.

        :param control: component that holds the membership core.
        """
        self._control = control
        self._candidates: CandidateTable | None = None

    def is_planner(self, service: str) -> bool:
        """Return whether this daemon may acquire the lease of a service.

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
    """Return the position of this daemon in the ring of live members.

    Before the control component has started, this is the default position.

    :param control: component that holds the membership core.
    """
    node = control.node
    if node is None:
        return RingPosition()
    view = node.membership.view
    ring = map(_compile_ring_entry, view.table.list_ring())
    return find_position(_compile_ring_entry(view.own), ring)


def _compile_ring_entry(member: Member) -> RingEntry:
    return RingEntry(member.daemon_id, member.availability_zone)


def _group_by_service(listed: Iterable[Endpoint]) -> dict[str, list[RingEntry]]:
    services: dict[str, list[RingEntry]] = {}
    for endpoint in listed:
        if endpoint.state == 'live':
            entry = RingEntry(endpoint.endpoint_id, endpoint.availability_zone)
            services.setdefault(endpoint.service, []).append(entry)
    return services


def _never_plan(service: str) -> bool:
    return False
