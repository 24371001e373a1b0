"""Selects the endpoint for each stage of a request."""

import hashlib
import random
from collections.abc import Callable, Iterable

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.endpoint_notices import EndpointNotices
from clementinedyke.entry.endpoint_work import PromptProfile, WorkTable
from clementinedyke.health import HealthLimits, HealthState, HealthTable

#: Added to the utilization of endpoints in other zones, as a fraction of their
#: slots: traffic between zones costs money.
_ZONE_PENALTY = 0.1
#: Added to the utilization of endpoints without an open connection: opening one
#: takes about a millisecond and costs money.
_CONNECT_PENALTY = 0.05
#: Number of endpoints compared while state updates of other daemons are
#: infrequent, in the preferred zone and in all others together. Comparing a
#: random sample of two keeps the daemons from all selecting the same endpoint.
_NEAR_SAMPLE = 2
_FAR_SAMPLE = 1
_MAX_EJECTION: Milliseconds = 8000
_LIMITS = HealthLimits(failures=3, ejection=1000, max_ejection=_MAX_EJECTION)
_NO_ENDPOINTS: frozenset[str] = frozenset()
_HASH_BYTES = 8


class PlacementCore:
    """Selects prefill engines by cached parts, other endpoints by load."""

    def __init__(
        self,
        availability_zone: str,
        work: WorkTable,
        generator: random.Random,
        has_infrequent_updates: Callable[[], bool],
        notices: EndpointNotices | None = None,
    ) -> None:
        """Create a core without endpoints.

        :param availability_zone: zone of this daemon.
        :param work: outstanding work of the endpoints.
        :param generator: random generator for samples.
        :param has_infrequent_updates: returns whether other daemons send
            state updates so rarely that all daemons would select the same
            endpoint in between.
        :param notices: what endpoints ask for, None to ignore it.
        """
        self._notices = notices
        self._zone = availability_zone
        self._work = work
        self._generator = generator
        self._has_infrequent_updates = has_infrequent_updates
        self._endpoints: dict[str, list[EntryEndpoint]] = {}
        self._health: dict[str, HealthTable] = {}
        #: Returns whether an open connection to an endpoint is available.
        self.has_connection: Callable[[EntryEndpoint], bool] = _assume_connected

    @property
    def work(self) -> WorkTable:
        """Outstanding work of the endpoints."""
        return self._work

    def set_endpoints(self, endpoints: Iterable[EntryEndpoint]) -> None:
        """Replace all endpoints.

        :param endpoints: all endpoints, leaving ones included.
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
        excluded: frozenset[str] = _NO_ENDPOINTS,
    ) -> EntryEndpoint | None:
        """Return the engine expected to finish the prefill first, if any.

        :param service: service of the request.
        :param profile: prompt of the request.
        :param now: current instant.
        :param excluded: ids of engines that failed the request.
        """
        candidates = self._list_usable(service, now, excluded, Stage.PREFILL)
        if not candidates:
            return None
        preferred = max(
            candidates, key=lambda item: _get_rendezvous_weight(profile, item)
        )
        # min() returns the first of equals: the preferred engine wins ties.
        return min(
            [preferred, *self._sample(candidates, preferred.availability_zone)],
            key=lambda item: self._work.get_prefill_time(
                item, profile, now, assumes_cached=item is preferred
            ),
        )

    def select_decode(
        self,
        service: str,
        source: EntryEndpoint | None,
        now: Milliseconds,
        excluded: frozenset[str] = _NO_ENDPOINTS,
    ) -> EntryEndpoint | None:
        """Return the decode engine with the lowest utilization, if any.

        :param service: service of the request.
        :param source: engine that ran the prefill; its zone is preferred.
        :param now: current instant.
        :param excluded: ids of engines that failed the request.
        """
        zone = source.availability_zone if source else self._zone
        candidates = self._list_usable(service, now, excluded, Stage.DECODE)
        return self._select_least_loaded(candidates, zone, now)

    def select_plain(
        self,
        service: str,
        now: Milliseconds,
        excluded: frozenset[str] = _NO_ENDPOINTS,
    ) -> EntryEndpoint | None:
        """Return the plain service's endpoint with the lowest utilization.

        :param service: service of the request.
        :param now: current instant.
        :param excluded: ids of endpoints that failed the request.
        """
        candidates = self._list_usable(service, now, excluded, None)
        return self._select_least_loaded(candidates, self._zone, now)

    def list_endpoints(
        self, service: str, stage: Stage | None = None
    ) -> list[EntryEndpoint]:
        """Return the endpoints of a service that are not leaving.

        :param service: name of the service.
        :param stage: stage of the engines to return, None for all endpoints.
        """
        return [
            endpoint
            for endpoint in self._endpoints.get(service, ())
            if not endpoint.is_leaving and stage in {None, endpoint.stage}
        ]

    def has_endpoints(self, service: str) -> bool:
        """Return whether a service has endpoints that are not leaving.

        :param service: name of the service.
        """
        return bool(self.list_endpoints(service))

    def get_pause(
        self, endpoints: Iterable[EntryEndpoint], now: Milliseconds
    ) -> Milliseconds:
        """Return the time until one of some endpoints takes requests.

        :param endpoints: endpoints that could run a request.
        :param now: current instant.
        :return: milliseconds, 0 unless all of them asked for a pause.
        """
        if self._notices is None:
            return 0
        return self._notices.pauses.get_wait(endpoints, now)

    def list_other_versions(
        self, service: str, version: str | None
    ) -> frozenset[str]:
        """Return the ids of the endpoints of all other software versions.

        :param service: name of the service.
        :param version: software version, None to return no endpoint.
        """
        if version is None:
            return _NO_ENDPOINTS
        return frozenset(
            endpoint.endpoint_id
            for endpoint in self.list_endpoints(service)
            if endpoint.version != version
        )

    def record_success(
        self, endpoint: EntryEndpoint, request_id: str, now: Milliseconds
    ) -> None:
        """Record an answer of an endpoint.

        After the ejection time, an answer reinstates an ejected endpoint; an
        answer that arrives before does not.

        :param endpoint: endpoint that answered.
        :param request_id: id of the request that was answered.
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
        """Record a failure of an endpoint.

        :param endpoint: endpoint that failed.
        :param request_id: id of the request that failed.
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
        """Return the endpoints that may get work.

        If all of them are ejected or unreachable they are returned anyway:
        these states are guesses, and refusing all requests would be worse.
        """
        table = self._health.get(service)
        candidates = [
            endpoint
            for endpoint in self.list_endpoints(service, stage)
            if endpoint.endpoint_id not in excluded
            and (self._notices is None or self._notices.may_send(endpoint, now))
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

    def _select_least_loaded(
        self, candidates: list[EntryEndpoint], zone: str, now: Milliseconds
    ) -> EntryEndpoint | None:
        return min(
            self._sample(candidates, zone),
            key=lambda item: self._get_utilization(item, zone, now),
            default=None,
        )

    def _sample(
        self, candidates: list[EntryEndpoint], zone: str
    ) -> list[EntryEndpoint]:
        """Return the endpoints to compare.

        These are all candidates, or a random sample of them if state updates
        of other daemons are infrequent.
        """
        if not self._has_infrequent_updates():
            return candidates
        near = [item for item in candidates if item.availability_zone == zone]
        far = [item for item in candidates if item.availability_zone != zone]
        far_count = _FAR_SAMPLE if near else _NEAR_SAMPLE
        return [
            *self._sample_group(near, _NEAR_SAMPLE),
            *self._sample_group(far, far_count),
        ]

    def _sample_group(
        self, group: list[EntryEndpoint], count: int
    ) -> list[EntryEndpoint]:
        """Return a random sample, of connected endpoints if enough exist."""
        connected = [item for item in group if self.has_connection(item)]
        pool = group if len(connected) < count else connected
        return self._generator.sample(pool, min(count, len(pool)))

    def _get_utilization(
        self, endpoint: EntryEndpoint, zone: str, now: Milliseconds
    ) -> float:
        utilization = self._work.count_requests(endpoint, now) / endpoint.slots
        if endpoint.availability_zone != zone:
            utilization += _ZONE_PENALTY
        if not self.has_connection(endpoint):
            utilization += _CONNECT_PENALTY
        return utilization


def _assume_connected(endpoint: EntryEndpoint) -> bool:
    """Treat every endpoint as connected, for a core without an exchange."""
    return True


def _get_rendezvous_weight(
    profile: PromptProfile, endpoint: EntryEndpoint
) -> bytes:
    """Return the weight of an engine for a prompt (rendezvous hashing).

    All daemons select the same engine without coordination, and when an engine
    leaves, only the prompts assigned to it move.
    """
    text = f'{profile.affinity_key} {endpoint.run_id}'
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
