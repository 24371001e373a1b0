"""Chooses the endpoint for each part of a request."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, PromptPart, Stage
from clementinedyke.entry.endpoint_protocol import EndpointLoad
from clementinedyke.health import HealthLimits, HealthState, HealthTable

#: Tokens per millisecond that an engine is taken to read before any was
#: timed; the sheets give 61 and 93.
_FIRST_READ_RATE = 60.0
_RATE_WEIGHT = 0.2
#: Shortest prompt whose time tells of the rate: the fixed part of a call is
#: several milliseconds.
_TIMED_TOKENS = 1500
#: A load that an endpoint told of is out of date after this time.
_LOAD_LIFETIME: Milliseconds = 1000
#: Part of an endpoint's slots by which one in another availability zone must
#: be emptier to be chosen: bytes between zones cost money.
_ZONE_PENALTY = 0.1
_LIMITS = HealthLimits(failures=3, ejection=1000, max_ejection=8000)
_HASH_BYTES = 8


@dataclass(slots=True)
class EndpointWork:
    """What is known of the work at an endpoint.

    ``running`` and ``prompt_tokens`` are of this daemon; ``others`` and
    ``other_tokens`` of the other daemons.
    """

    running: int = 0
    prompt_tokens: int = 0
    others: float = 0
    other_tokens: float = 0
    told_at: Milliseconds | None = None
    read_rate: float = _FIRST_READ_RATE
    known_parts: dict[str, Milliseconds] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PromptProfile:
    """What placing needs to know of a prompt."""

    tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may bring too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def affinity(self) -> str:
        """Text that is equal for prompts which share all they can."""
        shared = self.shared_parts
        return shared[-1].part_id if shared else ''


class PlacementCore:
    """Places prompts where their parts are kept, and work where room is."""

    def __init__(self, availability_zone: str) -> None:
        """Create a core without endpoints.

        :param availability_zone: zone of this daemon.
        """
        self._zone = availability_zone
        self._endpoints: dict[str, list[EntryEndpoint]] = {}
        self._work: dict[str, EndpointWork] = {}
        self._health: dict[str, HealthTable] = {}

    def set_endpoints(self, endpoints: Iterable[EntryEndpoint]) -> None:
        """Take all endpoints in place of the former ones.

        :param endpoints: endpoints, leaving ones included.
        """
        by_service: dict[str, list[EntryEndpoint]] = {}
        for endpoint in endpoints:
            by_service.setdefault(endpoint.service, []).append(endpoint)
        known = {item.run_id for group in by_service.values() for item in group}
        for run_id in tuple(self._work):
            if run_id not in known:
                self._work.pop(run_id)
        for service, group in by_service.items():
            self._set_health(service, group)
        self._endpoints = by_service

    def get_work(self, endpoint: EntryEndpoint) -> EndpointWork:
        """Return what is known of the work at an endpoint.

        :param endpoint: any endpoint.
        """
        return self._work.setdefault(endpoint.run_id, EndpointWork())

    def list_work(self) -> Mapping[str, EndpointWork]:
        """Return the work by run of an endpoint, for other daemons."""
        return self._work

    def select_prefill(
        self,
        service: str,
        profile: PromptProfile,
        now: Milliseconds,
        excluded: frozenset[str] = frozenset(),
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
        home = max(
            candidates, key=lambda item: _get_affinity(profile, item)
        ).run_id
        return min(
            candidates,
            key=lambda item: self._get_read_time(
                item, profile, is_home=item.run_id == home
            ),
        )

    def select_decode(
        self,
        service: str,
        source: EntryEndpoint | None,
        now: Milliseconds,
        excluded: frozenset[str] = frozenset(),
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

    def select_any(
        self,
        service: str,
        now: Milliseconds,
        excluded: frozenset[str] = frozenset(),
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

    def note_load(
        self, endpoint: EntryEndpoint, load: EndpointLoad, now: Milliseconds
    ) -> None:
        """Take the load that an endpoint told of.

        :param endpoint: endpoint that answered.
        :param load: requests that it runs and queues.
        :param now: current instant.
        """
        work = self.get_work(endpoint)
        work.others = max(0, load.running + load.waiting - work.running)
        work.told_at = now

    def start_read(
        self, endpoint: EntryEndpoint, profile: PromptProfile
    ) -> int:
        """Count a prompt that goes to an engine; return its unread tokens.

        :param endpoint: engine that is to read it.
        :param profile: the prompt.
        """
        work = self.get_work(endpoint)
        unread = self._get_unread(work, profile, is_home=False)
        work.prompt_tokens += unread
        return unread

    def end_read(self, endpoint: EntryEndpoint, unread: int) -> None:
        """Count a prompt that was read or given up.

        :param endpoint: engine that it went to.
        :param unread: tokens that were counted at the start.
        """
        self.get_work(endpoint).prompt_tokens -= unread

    def note_read(
        self,
        endpoint: EntryEndpoint,
        profile: PromptProfile,
        unread: int,
        duration: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Take that an engine has read a prompt.

        :param endpoint: engine that read it.
        :param profile: the prompt.
        :param unread: tokens that it had to read, as expected.
        :param duration: time from sending to the answer in milliseconds.
        :param now: current instant.
        """
        work = self.get_work(endpoint)
        if unread >= _TIMED_TOKENS and duration > 0 and not work.prompt_tokens:
            rate = unread / duration
            work.read_rate += _RATE_WEIGHT * (rate - work.read_rate)
        for part in profile.shared_parts:
            work.known_parts[part.part_id] = now

    def note_success(self, endpoint: EntryEndpoint, request_id: str) -> None:
        """Count an answer.

        :param endpoint: endpoint that answered.
        :param request_id: request that was answered.
        """
        table = self._health.get(endpoint.service)
        if table is not None:
            table.record_success(endpoint.run_id, request_id)

    def note_failure(
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
        if table is None:
            return candidates
        healthy = [
            endpoint
            for endpoint in candidates
            if table.get_health(endpoint.run_id).get_state(now)
            is not HealthState.EJECTED
        ]
        return healthy or candidates

    def _select_emptiest(
        self, candidates: list[EntryEndpoint], zone: str, now: Milliseconds
    ) -> EntryEndpoint | None:
        return min(
            candidates,
            key=lambda item: self._get_fill(item, zone, now),
            default=None,
        )

    def _get_fill(
        self, endpoint: EntryEndpoint, zone: str, now: Milliseconds
    ) -> float:
        work = self.get_work(endpoint)
        others = work.others if _is_recent(work, now) else 0
        fill = (work.running + others) / endpoint.slots
        is_near = endpoint.availability_zone == zone
        return fill if is_near else fill + _ZONE_PENALTY

    def _get_read_time(
        self, endpoint: EntryEndpoint, profile: PromptProfile, *, is_home: bool
    ) -> float:
        work = self.get_work(endpoint)
        waiting = work.prompt_tokens + work.other_tokens
        unread = self._get_unread(work, profile, is_home=is_home)
        return (waiting + unread) / work.read_rate

    def _get_unread(
        self, work: EndpointWork, profile: PromptProfile, *, is_home: bool
    ) -> int:
        """Return the tokens that an engine is expected to have to read."""
        cached = 0
        for part in profile.shared_parts:
            if not is_home and part.part_id not in work.known_parts:
                break
            cached += part.tokens
        return max(0, profile.tokens - cached)


def _is_recent(work: EndpointWork, now: Milliseconds) -> bool:
    return work.told_at is not None and now - work.told_at < _LOAD_LIFETIME


def _get_affinity(profile: PromptProfile, endpoint: EntryEndpoint) -> bytes:
    """Return the weight of an engine for a prompt (rendezvous hashing).

    All daemons find the same engine without talking, and an engine that
    leaves moves only its own prompts.
    """
    text = f'{profile.affinity} {endpoint.run_id}'
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
