"""Endpoints of a run and what separates them from the daemons."""

from collections import Counter
from typing import Any

from bench.fakes import FakeEngine, FakeService, Timeline
from bench.policy_bound import PROFILE
from bench.policy_load import PREFILL_RATE
from clementinedyke.roles.capacity import get_capacity_ratio
from clementinedyke.roles.types import ModelDemand
from clementinedyke.routing.types import Role, RoutedEndpoint

MAX_PROMPT_TOKENS = 16_000
CHEAP_PRICE = 0.4


class Fleet:
    """All endpoints that ever were."""

    def __init__(self, timeline: Timeline, seed: int) -> None:
        """Create a fleet without endpoints."""
        self.endpoints: dict[str, Any] = {}
        self.cut_zone: int | None = None
        self._timeline = timeline
        self._seed = seed
        self._services: dict[str, list[Any]] = {'chat': [], 'plain': []}

    def add_endpoint(self, service: str, zone: int, *, cheap: bool) -> Any:
        """Add a live endpoint of a service."""
        members = self._services[service]
        name = f'{service}-{len(members)}'
        if service == 'chat':
            endpoint = FakeEngine(self._timeline, name, zone)
            endpoint.role = self._get_scarce_role()
        else:
            seed = self._seed * 1000 + len(members)
            endpoint = FakeService(self._timeline, name, zone, seed)
        endpoint.cheap = cheap
        members.append(endpoint)
        self.endpoints[name] = endpoint
        return endpoint

    def get_members(self, service: str) -> list[Any]:
        """Return all endpoints of a service that ever were."""
        return self._services[service]

    def is_reachable(self, zone: int, endpoint_id: str) -> bool:
        """Return whether no partition separates a zone from an endpoint."""
        if self.cut_zone is None:
            return True
        target = self.endpoints[endpoint_id].zone
        return (zone == self.cut_zone) == (target == self.cut_zone)

    def has_free_capacity(self, service: str) -> bool:
        """Return whether endpoints were idle enough to take a request."""
        working = [item for item in self._services[service] if item.takes_work]
        if service == 'plain':
            return any(item.stream_count < item.workers for item in working)
        prompts = any(
            item.role is not Role.DECODE and not item.backlog
            for item in working
        )
        streams = any(
            item.role is not Role.PREFILL and item.stream_count < 48
            for item in working
        )
        return prompts and streams

    def set_first_roles(self, demand: ModelDemand, *, is_mixed: bool) -> None:
        """Give the engines the best fixed roles for the first mix."""
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
            # Roles are spread over the availability zones.
            is_prefill = (index + 1) * best // total > index * best // total
            engine.role = Role.PREFILL if is_prefill else Role.DECODE

    def _get_scarce_role(self) -> Role:
        working = [item.role for item in self._services['chat'] if item.is_up]
        if Role.MIXED in working or not working:
            return Role.MIXED
        counts = Counter(working)
        return min((Role.PREFILL, Role.DECODE), key=counts.__getitem__)

    def get_price(self) -> float:
        """Return the price of the endpoints that are held, per hour."""
        held = [item for item in self.endpoints.values() if item.is_up]
        return sum(CHEAP_PRICE if item.cheap else 1 for item in held)

    def list_endpoints(self) -> tuple[RoutedEndpoint, ...]:
        """Return the platform's list; it keeps engines that crashed."""
        return tuple(
            describe(service, item)
            for service, members in self._services.items()
            for item in members
            if item.is_up or not item.is_leaving
        )


def describe(service: str, item: Any) -> RoutedEndpoint:
    """Return an endpoint as the daemons see it."""
    is_mixed = item.role is Role.MIXED
    return RoutedEndpoint(
        endpoint_id=item.name,
        service=service,
        availability_zone=f'zone-{item.zone}',
        cheap=item.cheap,
        leaving=not item.takes_work,
        role=item.role,
        prefill_rate=PROFILE.mixed_prefill_rate if is_mixed else PREFILL_RATE,
        max_prompt_tokens=MAX_PROMPT_TOKENS,
        max_streams=128 if service == 'chat' else 4,
    )
