"""Simulated endpoints of a run and their reachability."""

from collections import Counter
from typing import Any

from bench.fakes import FakeEngine, FakeService, Timeline
from bench.policy_bound import PROFILE
from bench.policy_load import PREFILL_RATE
from clementinedyke.roles.capacity import get_capacity_ratio
from clementinedyke.roles.types import ModelDemand
from clementinedyke.routing.types import Role, RoutedEndpoint

MAX_PROMPT_TOKENS = 16_000
#: Price of a cheap endpoint relative to a standard one.
CHEAP_PRICE = 0.4


class Fleet:
    """All endpoints of a run, including those that were reclaimed."""

    def __init__(self, timeline: Timeline, seed: int) -> None:
        """Create a fleet without endpoints.

        :param timeline: virtual time of the run.
        :param seed: seed of the service times of plain services.
        """
        self.endpoints: dict[str, Any] = {}
        self.partitioned_zone: int | None = None
        self._timeline = timeline
        self._seed = seed
        self._services: dict[str, list[Any]] = {'chat': [], 'plain': []}

    def add_endpoint(self, service: str, zone: int, *, cheap: bool) -> Any:
        """Add a running endpoint and return it.

        :param service: ``chat`` for an engine, ``plain`` for a plain service.
        :param zone: number of the availability zone.
        :param cheap: whether the endpoint has the cheap price class.
        """
        members = self._services[service]
        name = f'{service}-{len(members)}'
        if service == 'chat':
            endpoint = FakeEngine(self._timeline, name, zone)
            endpoint.role = self._get_missing_role()
        else:
            seed = self._seed * 1000 + len(members)
            endpoint = FakeService(self._timeline, name, zone, seed)
        endpoint.cheap = cheap
        members.append(endpoint)
        self.endpoints[name] = endpoint
        return endpoint

    def get_members(self, service: str) -> list[Any]:
        """Return all endpoints of a service, reclaimed ones included."""
        return self._services[service]

    def is_reachable(self, zone: int, endpoint_id: str) -> bool:
        """Return whether a daemon in a zone can reach an endpoint."""
        if self.partitioned_zone is None:
            return True
        target = self.endpoints[endpoint_id].zone
        return (zone == self.partitioned_zone) == (
            target == self.partitioned_zone
        )

    def has_free_capacity(self, service: str) -> bool:
        """Return whether a service could start another request now.

        A plain service needs a free worker. Chat needs an engine without
        waiting prompts and an engine, possibly the same, with fewer than 48
        streams.
        """
        usable = [
            item for item in self._services[service] if item.accepts_requests
        ]
        if service == 'plain':
            return any(item.stream_count < item.workers for item in usable)
        prompts = any(
            item.role is not Role.DECODE and not item.backlog for item in usable
        )
        streams = any(
            item.role is not Role.PREFILL and item.stream_count < 48
            for item in usable
        )
        return prompts and streams

    def set_initial_roles(self, demand: ModelDemand, *, is_mixed: bool) -> None:
        """Set the fixed roles with the highest capacity for a demand.

        :param demand: demand at the start of the run.
        :param is_mixed: whether all engines are mixed instead.
        """
        engines = self._services['chat']
        for engine in engines:
            engine.role = Role.MIXED
        if is_mixed:
            return
        total = len(engines)
        best = max(
            range(1, total),
            key=lambda prefill: get_capacity_ratio(
                Counter({Role.PREFILL: prefill, Role.DECODE: total - prefill}),
                demand,
                PROFILE,
            ),
        )
        for index, engine in enumerate(engines):
            # Spreads the prefill engines evenly over the availability zones.
            is_prefill = (index + 1) * best // total > index * best // total
            engine.role = Role.PREFILL if is_prefill else Role.DECODE

    def _get_missing_role(self) -> Role:
        usable = [item.role for item in self._services['chat'] if item.is_up]
        if Role.MIXED in usable or not usable:
            return Role.MIXED
        counts = Counter(usable)
        return min((Role.PREFILL, Role.DECODE), key=counts.__getitem__)

    def get_price(self) -> float:
        """Return the price per hour of the endpoints that are up.

        The unit is the price of a standard endpoint.
        """
        held = [item for item in self.endpoints.values() if item.is_up]
        return sum(CHEAP_PRICE if item.cheap else 1 for item in held)

    def list_endpoints(self) -> tuple[RoutedEndpoint, ...]:
        """Return the endpoint list of the platform.

        It includes crashed endpoints that were not reclaimed.
        """
        return tuple(
            describe(service, item)
            for service, members in self._services.items()
            for item in members
            if item.is_up or not item.is_leaving
        )


def describe(service: str, item: Any) -> RoutedEndpoint:
    """Return the entry of an endpoint in the list for the daemons."""
    is_mixed = item.role is Role.MIXED
    return RoutedEndpoint(
        endpoint_id=item.name,
        service=service,
        availability_zone=f'zone-{item.zone}',
        cheap=item.cheap,
        leaving=not item.accepts_requests,
        role=item.role,
        prefill_rate=PROFILE.mixed_prefill_rate if is_mixed else PREFILL_RATE,
        max_prompt_tokens=MAX_PROMPT_TOKENS,
        max_streams=128 if service == 'chat' else 4,
    )
