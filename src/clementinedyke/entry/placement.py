"""Chooses the endpoint for each part of a request."""

import hashlib
import random
from collections.abc import Callable, Iterable

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.endpoint_work import PromptProfile, WorkTable
from clementinedyke.health import HealthLimits, HealthState, HealthTable

#: Part of an endpoint's slots by which one in another availability zone must
#: be emptier to be chosen: bytes between zones cost money.
_ZONE_PENALTY = 0.1
#: The same for an endpoint to which a connection must be opened: that takes
#: about a millisecond and costs money.
_CONNECT_PENALTY = 0.05
#: Endpoints that are compared while the news of other daemons come late:
#: in the zone that is preferred, and in the others together. Comparing two
#: that are chosen at random keeps daemons from all taking the same one.
_NEAR_SAMPLE = 2
_FAR_SAMPLE = 1
_MAX_EJECTION: Milliseconds = 8000
_LIMITS = HealthLimits(failures=3, ejection=1000, max_ejection=_MAX_EJECTION)
_NOTHING: frozenset[str] = frozenset()
_HASH_BYTES = 8


class PlacementCore:
    """Places prompts where their parts are kept, and work where room is."""

    def __init__(
        self,
        availability_zone: str,
        work: WorkTable,
        generator: random.Random,
        has_late_news: Callable[[], bool],
    ) -> None:
        """Create a core without endpoints.

        :param availability_zone: zone of this daemon.
        :param work: work at the endpoints.
        :param generator: seeded source of samples.
        :param has_late_news: tells whether the work of the other daemons is
            known so late that all of them would choose alike.
        """
        self._zone = availability_zone
        self._work = work
        self._generator = generator
        self._has_late_news = has_late_news
        self._endpoints: dict[str, list[EntryEndpoint]] = {}
        self._health: dict[str, HealthTable] = {}
        #: Tells whether a connection to an endpoint is open already.
        self.has_connection: Callable[[EntryEndpoint], bool] = _is_connected

    @property
    def work(self) -> WorkTable:
        """Work at the endpoints."""
        return self._work

    def set_endpoints(self, endpoints: Iterable[EntryEndpoint]) -> None:
        """Take all endpoints in place of the former ones.

        :param endpoints: endpoints, leaving ones included.
        """
        by_service: dict[str, list[EntryEndpoint]] = {}
        listed = tuple(endpoints)
        self._work.set_endpoints(listed)
        for endpoint in listed:
            by_service.setdefault(endpoint.service, []).append(endpoint)
        for service, group in by_service.items():
            self._set_health(service, group)
        self._endpoints = by_service

    def select_prefill(
        self,
        service: str,
        profile: PromptProfile,
        now: Milliseconds,
        excluded: frozenset[str] = _NOTHING,
    ) -> EntryEndpoint | None:
        """Return the engine that is expected to have read a prompt first.

        :param service: service of the request.
        :param profile: prompt of the request.
        :param now: current instant.
        :param excluded: ids of engines that failed the request.
        """
        candidates = self._list_usable(service, now, excluded, Stage.PREFILL)
        if not candidates:
            return None
        home = max(candidates, key=lambda item: _get_affinity(profile, item))
        # The home comes first, so that it wins where the times are equal.
        return min(
            [home, *self._sample(candidates, home.availability_zone)],
            key=lambda item: self._work.get_prefill_time(
                item, profile, now, assumes_cached=item is home
            ),
        )

    def select_decode(
        self,
        service: str,
        source: EntryEndpoint | None,
        now: Milliseconds,
        excluded: frozenset[str] = _NOTHING,
    ) -> EntryEndpoint | None:
        """Return the engine with the most room to generate.

        :param service: service of the request.
        :param source: engine that has read the prompt, if one has.
        :param now: current instant.
        :param excluded: ids of engines that failed the request.
        """
        zone = source.availability_zone if source else self._zone
        candidates = self._list_usable(service, now, excluded, Stage.DECODE)
        return self._select_emptiest(candidates, zone, now)

    def select_plain(
        self,
        service: str,
        now: Milliseconds,
        excluded: frozenset[str] = _NOTHING,
    ) -> EntryEndpoint | None:
        """Return the endpoint of a plain service with the most room.

        :param service: service of the request.
        :param now: current instant.
        :param excluded: ids of endpoints that failed the request.
        """
        candidates = self._list_usable(service, now, excluded, None)
        return self._select_emptiest(candidates, self._zone, now)

    def has_endpoints(self, service: str) -> bool:
        """Tell whether a service has endpoints that are not leaving.

        :param service: name of the service.
        """
        return any(
            not endpoint.is_leaving
            for endpoint in self._endpoints.get(service, ())
        )

    def record_success(
        self, endpoint: EntryEndpoint, request_id: str, now: Milliseconds
    ) -> None:
        """Count an answer.

        An answer after an ejection has ended takes the endpoint back; one of
        a request that was sent before does not.

        :param endpoint: endpoint that answered.
        :param request_id: request that was answered.
        :param now: current instant.
        """
        table = self._health.get(endpoint.service)
        if table is None:
            return
        table.add(endpoint.run_id)
        health = table.get_health(endpoint.run_id)
        if health.get_state(now) is HealthState.PROBING:
            table.record_probe(endpoint.run_id, request_id)
        table.record_success(endpoint.run_id, request_id)

    def record_failure(
        self, endpoint: EntryEndpoint, request_id: str, now: Milliseconds
    ) -> None:
        """Count a failure of an endpoint.

        :param endpoint: endpoint that failed.
        :param request_id: request that it failed.
        :param now: current instant.
        """
        table = self._health.get(endpoint.service)
        if table is not None:
            table.record_failure(endpoint.run_id, request_id, now)

    def _set_health(self, service: str, group: list[EntryEndpoint]) -> None:
        table = self._health.setdefault(service, HealthTable(_LIMITS))
        former = {item.run_id for item in self._endpoints.get(service, ())}
        present = {item.run_id for item in group}
        for lost in former - present:
            table.remove(lost)
        for added in present:
            table.add(added)

    def _list_usable(
        self,
        service: str,
        now: Milliseconds,
        excluded: frozenset[str],
        stage: Stage | None,
    ) -> list[EntryEndpoint]:
        """Return endpoints that may get work.

        All that are left are returned if every one of them is ejected: an
        ejection is a guess, and refusing all requests would be worse.
        """
        table = self._health.get(service)
        candidates = [
            endpoint
            for endpoint in self._endpoints.get(service, ())
            if endpoint.endpoint_id not in excluded
            and not endpoint.is_leaving
            and (stage is None or endpoint.stage is stage)
        ]
        reachable = [
            endpoint
            for endpoint in candidates
            if self._is_reachable(endpoint, now)
        ]
        candidates = reachable or candidates
        if table is None:
            return candidates
        healthy = [
            endpoint
            for endpoint in candidates
            if table.get_health(endpoint.run_id).get_state(now)
            is not HealthState.EJECTED
        ]
        return healthy or candidates

    def _is_reachable(self, endpoint: EntryEndpoint, now: Milliseconds) -> bool:
        if self._work.get_work(endpoint).paused_until > now:
            return False
        zone = endpoint.availability_zone
        return zone == self._zone or not self._work.is_zone_unreachable(
            zone, now
        )

    def _select_emptiest(
        self, candidates: list[EntryEndpoint], zone: str, now: Milliseconds
    ) -> EntryEndpoint | None:
        return min(
            self._sample(candidates, zone),
            key=lambda item: self._get_fill(item, zone, now),
            default=None,
        )

    def _sample(
        self, candidates: list[EntryEndpoint], zone: str
    ) -> list[EntryEndpoint]:
        """Return the endpoints to compare, all while the news are fresh."""
        if not self._has_late_news():
            return candidates
        near = [item for item in candidates if item.availability_zone == zone]
        far = [item for item in candidates if item.availability_zone != zone]
        far_count = _FAR_SAMPLE if near else _NEAR_SAMPLE
        return [
            *self._draw(near, _NEAR_SAMPLE),
            *self._draw(far, far_count),
        ]

    def _draw(
        self, group: list[EntryEndpoint], count: int
    ) -> list[EntryEndpoint]:
        """Return some of a group, connected ones if there are enough."""
        connected = [item for item in group if self.has_connection(item)]
        drawn = group if len(connected) < count else connected
        return self._generator.sample(drawn, min(count, len(drawn)))

    def _get_fill(
        self, endpoint: EntryEndpoint, zone: str, now: Milliseconds
    ) -> float:
        fill = self._work.count_requests(endpoint, now) / endpoint.slots
        if endpoint.availability_zone != zone:
            fill += _ZONE_PENALTY
        if not self.has_connection(endpoint):
            fill += _CONNECT_PENALTY
        return fill


def _is_connected(endpoint: EntryEndpoint) -> bool:
    """Take every endpoint as connected; for a core without connections."""
    return True


def _get_affinity(profile: PromptProfile, endpoint: EntryEndpoint) -> bytes:
    """Return the weight of an engine for a prompt (rendezvous hashing).

    All daemons find the same engine without talking, and an engine that
    leaves moves only its own prompts.
    """
    text = f'{profile.affinity_key} {endpoint.run_id}'
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
