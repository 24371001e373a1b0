"""Outstanding work and cached prompt parts of each endpoint."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, PromptPart, Stage
from clementinedyke.entry.endpoint_protocol import EndpointLoad
from clementinedyke.entry.zone_reach import ZoneReachability

#: Prefill rate, in tokens per ms, assumed until a prefill has been timed. The
#: data sheets give 61 and 93, not counting the steps between prefill chunks.
_INITIAL_RATE = 50.0
_RATE_SMOOTHING = 0.2
#: Fixed part of a prefill's duration: about 95 ms on idle engines.
_PREFILL_OVERHEAD: Milliseconds = 95
#: Smallest prefill cost whose duration gives a usable estimate of the rate.
_MIN_TIMED_TOKENS = 4000
#: Cost of attention from one token to an earlier one, relative to the cost of
#: the token itself. The data sheets give 0.3 to 0.5 ms per million pairs.
_ATTENTION_COST = 3e-5
#: Prefill time-out: this much plus a multiple of the expected duration.
_MIN_PREFILL_TIMEOUT: Milliseconds = 1200
_PREFILL_TIMEOUT_FACTOR = 3
_DURATION_SMOOTHING = 0.1
#: Time after which a load reported by an endpoint is ignored.
_LOAD_LIFETIME: Milliseconds = 1000
#: Time without new work after a rejection; doubles with each one in a row.
_MIN_REJECTION_PAUSE: Milliseconds = 100
_MAX_REJECTION_PAUSE: Milliseconds = 1600
#: Time without new work after a failed connection; a crashed endpoint is back
#: after some seconds.
_UNREACHABLE_PAUSE: Milliseconds = 1000


@dataclass(slots=True)
class EndpointWork:
    """Work of one endpoint as known to this daemon.

    ``running`` and ``prefills`` (remaining cost in tokens, by ticket number)
    are requests of this daemon. ``other_requests`` is the number of requests
    beyond those that the endpoint last reported, at ``reported_at``.
    ``prefill_rate`` is in tokens per ms. ``rejections`` counts those in a row.
    ``cached_parts`` has the time of the last prefill by id of the prompt part.
    """

    running: int = 0
    prefills: dict[int, float] = field(default_factory=dict)
    updated_at: Milliseconds = 0
    other_requests: float = 0
    reported_at: Milliseconds | None = None
    prefill_rate: float = _INITIAL_RATE
    paused_until: Milliseconds = 0
    rejections: int = 0
    cached_parts: dict[str, Milliseconds] = field(default_factory=dict)

    @property
    def prompt_tokens(self) -> float:
        """Remaining prefill cost of this daemon's prompts, in tokens."""
        return sum(self.prefills.values())

    def advance(self, other_tokens: float, now: Milliseconds) -> None:
        """Deduct the prefill work done since the last call, as estimated.

        The engine is assumed to process all prompts concurrently.

        :param other_tokens: pending prompt tokens of the other daemons.
        :param now: current instant.
        """
        passed = now - self.updated_at
        self.updated_at = now
        total = self.prompt_tokens
        if total <= 0 or passed <= 0:
            return
        done = passed * self.prefill_rate / (total + other_tokens)
        left = max(0, 1 - done)
        self.prefills = {
            key: work * left for key, work in self.prefills.items()
        }


@dataclass(frozen=True, slots=True)
class PromptProfile:
    """Properties of a prompt that decide its placement."""

    tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may contain as well."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the shared parts."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def affinity_key(self) -> str:
        """Key that is equal for prompts with the same shared parts."""
        known = self.shared_parts or self.parts
        return known[-1].part_id if known else ''


@dataclass(frozen=True, slots=True)
class PrefillTicket:
    """A prefill in progress on an engine.

    ``cost`` is the expected work in tokens. ``is_alone`` is whether the engine
    had no other prompt to process at the start.
    """

    endpoint: EntryEndpoint
    number: int
    cost: float
    started_at: Milliseconds
    is_alone: bool


class WorkTable:
    """Work of all endpoints, kept separately for each run of an endpoint."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._endpoints: tuple[EntryEndpoint, ...] = ()
        self._work: dict[str, EndpointWork] = {}
        self._remote_running: Mapping[str, int] | None = None
        self._remote_tokens: Mapping[str, int] = {}
        self._read_parts: dict[str, list[str]] = {}
        self._reachability = ZoneReachability()
        self._last_number = 0
        #: Moving average of this daemon's prefill durations, in ms.
        self._mean_duration = float(0)

    def set_endpoints(self, endpoints: Iterable[EntryEndpoint]) -> None:
        """Replace the endpoints and discard the work of those that are gone.

        :param endpoints: all endpoints, leaving ones included.
        """
        self._endpoints = tuple(endpoints)
        known = {endpoint.run_id for endpoint in self._endpoints}
        self._work = {
            run_id: work
            for run_id, work in self._work.items()
            if run_id in known
        }

    def get_work(self, endpoint: EntryEndpoint) -> EndpointWork:
        """Return the work of an endpoint; changes to it are kept.

        :param endpoint: any endpoint.
        """
        return self._work.setdefault(endpoint.run_id, EndpointWork())

    def count_requests(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> float:
        """Return the number of requests of all daemons at an endpoint.

        State updates of the other daemons are more recent than the load
        reported by the endpoint, which is used until the first update.

        :param endpoint: any endpoint.
        :param now: current instant.
        """
        work = self.get_work(endpoint)
        if self._remote_running is not None:
            other_requests = self._remote_running.get(endpoint.endpoint_id, 0)
            return work.running + other_requests
        if work.reported_at is None or now - work.reported_at >= _LOAD_LIFETIME:
            return work.running
        return work.running + work.other_requests

    def get_prefill_time(
        self,
        endpoint: EntryEndpoint,
        profile: PromptProfile,
        now: Milliseconds,
        *,
        assumes_cached: bool,
    ) -> float:
        """Return the expected time until a prefill is done, in ms from now.

        :param endpoint: engine that would run the prefill.
        :param profile: profile of the prompt.
        :param now: current instant.
        :param assumes_cached: count the shared parts as cached by the engine.
        """
        work = self._get_current_work(endpoint, now)
        cost = _get_cost(work, profile, assumes_cached=assumes_cached)
        return (
            self._get_pending_tokens(endpoint, work) + cost
        ) / work.prefill_rate

    def get_backlog(self, service: str, now: Milliseconds) -> float:
        """Return the mean wait of a prompt at the prefill engines, in ms.

        0 if the service has no prefill engines.

        :param service: name of the service.
        :param now: current instant.
        """
        waits = []
        for endpoint in self._endpoints:
            is_prefill = endpoint.stage is Stage.PREFILL
            if endpoint.service != service or not is_prefill:
                continue
            if not endpoint.is_leaving:
                work = self._get_current_work(endpoint, now)
                waits.append(
                    self._get_pending_tokens(endpoint, work) / work.prefill_rate
                )
        return sum(waits) / len(waits) if waits else 0

    def get_local_work(self, now: Milliseconds) -> dict[str, tuple[int, int]]:
        """Return this daemon's running requests and pending prompt tokens.

        The keys are ids of endpoints; those without requests are left out.

        :param now: current instant.
        """
        own = {}
        for endpoint in self._endpoints:
            work = self._get_current_work(endpoint, now)
            if work.running:
                tokens = int(work.prompt_tokens)
                own[endpoint.endpoint_id] = (work.running, tokens)
        return own

    def set_remote_work(
        self, running: Mapping[str, int], tokens: Mapping[str, int]
    ) -> None:
        """Replace the work of the other daemons.

        :param running: running requests by id of the endpoint.
        :param tokens: pending prompt tokens by id of the endpoint.
        """
        self._remote_running = running
        self._remote_tokens = tokens

    def get_prefill_timeout(
        self, endpoint: EntryEndpoint, profile: PromptProfile
    ) -> Milliseconds:
        """Return the time-out in ms after which another engine is tried.

        A hung or disconnected engine does not even return an error; without a
        time-out the prompt would wait for it until the request's deadline.

        :param endpoint: engine that is to run the prefill.
        :param profile: profile of the prompt.
        """
        work = self.get_work(endpoint)
        cost = _get_cost(work, profile, assumes_cached=False)
        expected = (
            self._get_pending_tokens(endpoint, work) + cost
        ) / work.prefill_rate
        # While all prefills are slow, repeating them elsewhere adds load.
        slowest = max(expected, self._mean_duration)
        return _MIN_PREFILL_TIMEOUT + int(_PREFILL_TIMEOUT_FACTOR * slowest)

    def start_prefill(
        self,
        endpoint: EntryEndpoint,
        profile: PromptProfile,
        now: Milliseconds,
    ) -> PrefillTicket:
        """Add a prefill that is being sent to an engine.

        :param endpoint: engine that is to run the prefill.
        :param profile: profile of the prompt.
        :param now: current instant.
        """
        work = self._get_current_work(endpoint, now)
        self._last_number += 1
        cost = _get_cost(work, profile, assumes_cached=False)
        remote_tokens = self._remote_tokens.get(endpoint.endpoint_id, 0)
        is_alone = not work.prefills and not remote_tokens
        work.prefills[self._last_number] = cost
        return PrefillTicket(endpoint, self._last_number, cost, now, is_alone)

    def end_prefill(self, ticket: PrefillTicket, now: Milliseconds) -> None:
        """Remove a prefill that is done, has failed or was given up.

        :param ticket: ticket returned by ``start_prefill``.
        :param now: current instant.
        """
        work = self._get_current_work(ticket.endpoint, now)
        work.prefills.pop(ticket.number, None)
        passed = now - ticket.started_at
        self._mean_duration += _DURATION_SMOOTHING * (
            passed - self._mean_duration
        )

    def record_prefill(
        self, ticket: PrefillTicket, profile: PromptProfile, now: Milliseconds
    ) -> None:
        """Record a successful prefill: its rate and the cached parts.

        :param ticket: ticket returned by ``start_prefill``.
        :param profile: profile of the prompt.
        :param now: current instant.
        """
        endpoint = ticket.endpoint
        work = self.get_work(endpoint)
        duration = now - ticket.started_at - _PREFILL_OVERHEAD
        if (
            ticket.is_alone
            and ticket.cost >= _MIN_TIMED_TOKENS
            and duration > 0
        ):
            rate = ticket.cost / duration
            work.prefill_rate += _RATE_SMOOTHING * (rate - work.prefill_rate)
        for part in profile.shared_parts:
            work.cached_parts[part.part_id] = now
            self._read_parts.setdefault(endpoint.endpoint_id, []).append(
                part.part_id
            )

    def pop_read_parts(self) -> dict[str, list[str]]:
        """Return prompt parts processed since the last call, by endpoint id.

        They are sent to the other daemons.
        """
        taken = self._read_parts
        self._read_parts = {}
        return taken

    def record_remote_parts(
        self, read_parts: Mapping[str, list[str]], now: Milliseconds
    ) -> None:
        """Record prompt parts that engines have cached for other daemons.

        :param read_parts: ids of prompt parts by id of the endpoint.
        :param now: current instant.
        """
        if not read_parts:
            return
        for endpoint in self._endpoints:
            parts = read_parts.get(endpoint.endpoint_id, ())
            if parts:
                known = self.get_work(endpoint).cached_parts
                known.update(dict.fromkeys(parts, now))

    def record_load(
        self, endpoint: EntryEndpoint, load: EndpointLoad, now: Milliseconds
    ) -> None:
        """Record the load that an endpoint reported with an answer.

        :param endpoint: endpoint that answered.
        :param load: requests that the endpoint runs and queues.
        :param now: current instant.
        """
        work = self.get_work(endpoint)
        work.other_requests = max(0, load.running + load.waiting - work.running)
        work.reported_at = now

    def record_unreachable(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> None:
        """Record that a connection to an endpoint could not be opened.

        The endpoint gets no work for a while, no matter how many others are
        unreachable: a network partition can take away most of them at once.

        :param endpoint: endpoint that could not be reached.
        :param now: current instant.
        """
        self.get_work(endpoint).paused_until = now + _UNREACHABLE_PAUSE
        self.record_timeout(endpoint, now)

    def record_timeout(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> None:
        """Record that an endpoint did not answer in time.

        :param endpoint: endpoint that did not answer.
        :param now: current instant.
        """
        self._reachability.record_timeout(
            endpoint.availability_zone, endpoint.endpoint_id, now
        )

    def is_zone_unreachable(self, zone: str, now: Milliseconds) -> bool:
        """Return whether an availability zone counts as unreachable.

        :param zone: availability zone.
        :param now: current instant.
        """
        return self._reachability.is_unreachable(zone, now)

    def record_rejection(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> None:
        """Record that an endpoint rejected a request without running it.

        An endpoint that rejects everything, such as an engine that changes its
        stage, looks idle; without a pause it would attract all requests.

        :param endpoint: endpoint that rejected a request.
        :param now: current instant.
        """
        self._reachability.record_answer(endpoint.availability_zone)
        work = self.get_work(endpoint)
        pause = min(
            _MAX_REJECTION_PAUSE, _MIN_REJECTION_PAUSE << work.rejections
        )
        work.rejections += 1
        work.paused_until = now + pause

    def record_acceptance(self, endpoint: EntryEndpoint) -> None:
        """Record that an endpoint accepted a request.

        :param endpoint: endpoint that accepted a request.
        """
        self._reachability.record_answer(endpoint.availability_zone)
        self.get_work(endpoint).rejections = 0

    def _get_pending_tokens(
        self, endpoint: EntryEndpoint, work: EndpointWork
    ) -> float:
        remote_tokens = self._remote_tokens.get(endpoint.endpoint_id, 0)
        return work.prompt_tokens + remote_tokens

    def _get_current_work(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> EndpointWork:
        work = self.get_work(endpoint)
        work.advance(self._remote_tokens.get(endpoint.endpoint_id, 0), now)
        return work


def _get_cost(
    work: EndpointWork, profile: PromptProfile, *, assumes_cached: bool
) -> float:
    """Return the expected prefill cost of a prompt in tokens.

    Attention relates each token to all earlier ones, so the cost grows faster
    than the length of the prompt.
    """
    cached = 0
    for part in profile.shared_parts:
        if not assumes_cached and part.part_id not in work.cached_parts:
            break
        cached += part.tokens
    uncached = max(0, profile.tokens - cached)
    return uncached + _ATTENTION_COST * uncached * (cached + uncached / 2)
