"""Work of all daemons at each endpoint, and what engines have read."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint, PromptPart, Stage
from clementinedyke.entry.endpoint_protocol import EndpointLoad
from clementinedyke.entry.zone_reach import ZoneReachability

#: Tokens per millisecond that an engine is taken to read before any was
#: timed; the sheets give 61 and 93 without the steps between pieces.
_FIRST_READ_RATE = 50.0
_RATE_WEIGHT = 0.2
#: Fixed part in ms of a read; calls on idle engines took about 95 ms.
_READ_BASE: Milliseconds = 95
#: Shortest prompt whose time tells of the rate.
_TIMED_TOKENS = 4000
#: Work of relating a token to one before it, in parts of a token's own. The
#: sheets give 0.3 to 0.5 ms a million pairs.
_PAIR_WORK = 3e-5
#: Time that a prompt may take beyond a multiple of the expected one.
_MIN_READ_LIMIT: Milliseconds = 1200
_READ_LIMIT_FACTOR = 3
_READ_WEIGHT = 0.1
#: A load that an endpoint told of is out of date after this time.
_LOAD_LIFETIME: Milliseconds = 1000
#: Pause of an endpoint that rejected a request; doubles with each one.
_MIN_REJECTED: Milliseconds = 100
_MAX_REJECTED: Milliseconds = 1600
#: An endpoint that refused a connection is tried again after this time; a
#: crashed one is back after some seconds.
_UNREACHABLE_TIME: Milliseconds = 1000


@dataclass(slots=True)
class EndpointWork:
    """What is known of the work at an endpoint.

    ``running`` and ``prompt_tokens`` are of this daemon. ``others`` are the
    requests beyond them that the endpoint last told of.
    """

    running: int = 0
    reads: dict[int, float] = field(default_factory=dict)
    drained_at: Milliseconds = 0
    other_requests: float = 0
    told_at: Milliseconds | None = None
    read_rate: float = _FIRST_READ_RATE
    paused_until: Milliseconds = 0
    rejections: int = 0
    known_parts: dict[str, Milliseconds] = field(default_factory=dict)

    @property
    def prompt_tokens(self) -> float:
        """Work of this daemon's prompts that is not done yet, in tokens."""
        return sum(self.reads.values())

    def drain(self, other_tokens: float, now: Milliseconds) -> None:
        """Take the work off that the engine has done since the last call.

        The engine reads all prompts at the same time.

        :param other_tokens: work of the other daemons.
        :param now: current instant.
        """
        passed = now - self.drained_at
        self.drained_at = now
        total = self.prompt_tokens
        if total <= 0 or passed <= 0:
            return
        done = passed * self.read_rate / (total + other_tokens)
        left = max(0, 1 - done)
        self.reads = {key: work * left for key, work in self.reads.items()}


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
    def affinity_key(self) -> str:
        """Text that is equal for prompts which share all they can."""
        known = self.shared_parts or self.parts
        return known[-1].part_id if known else ''


@dataclass(frozen=True, slots=True)
class PrefillTicket:
    """A prompt that an engine is reading; ``unread`` is its work in tokens."""

    endpoint: EntryEndpoint
    number: int
    cost: float
    started_at: Milliseconds
    is_alone: bool


class WorkTable:
    """What is known of the work at each run of an endpoint."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._endpoints: tuple[EntryEndpoint, ...] = ()
        self._work: dict[str, EndpointWork] = {}
        self._remote_running: Mapping[str, int] | None = None
        self._remote_tokens: Mapping[str, int] = {}
        self._read_parts: dict[str, list[str]] = {}
        self._reach = ZoneReachability()
        self._last_read = 0
        #: Average time of this daemon's reads of late, in ms.
        self._recent_read = float(0)

    def set_endpoints(self, endpoints: Iterable[EntryEndpoint]) -> None:
        """Take all endpoints, and forget the work at those that are gone.

        :param endpoints: endpoints, leaving ones included.
        """
        self._endpoints = tuple(endpoints)
        known = {endpoint.run_id for endpoint in self._endpoints}
        self._work = {
            run_id: work
            for run_id, work in self._work.items()
            if run_id in known
        }

    def get_work(self, endpoint: EntryEndpoint) -> EndpointWork:
        """Return what is known of the work at an endpoint.

        :param endpoint: any endpoint.
        """
        return self._work.setdefault(endpoint.run_id, EndpointWork())

    def count_requests(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> float:
        """Return the requests of all daemons at an endpoint.

        The daemons' news are newer than what the endpoint told of; that
        stands in until the first news.

        :param endpoint: any endpoint.
        :param now: current instant.
        """
        work = self.get_work(endpoint)
        if self._remote_running is not None:
            other_requests = self._remote_running.get(endpoint.endpoint_id, 0)
            return work.running + other_requests
        if work.told_at is None or now - work.told_at >= _LOAD_LIFETIME:
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
        """Return when an engine is expected to have read a prompt, in ms.

        :param endpoint: engine that would read it.
        :param profile: the prompt.
        :param now: current instant.
        :param is_home: whether the shared parts are taken as read there.
        """
        work = self._get_drained(endpoint, now)
        cost = _get_unread(work, profile, assumes_cached=assumes_cached)
        return (self._get_waiting(endpoint, work) + cost) / work.read_rate

    def get_backlog(self, service: str, now: Milliseconds) -> float:
        """Return the mean wait of a prompt at the reading engines, in ms.

        :param service: name of the service.
        :param now: current instant.
        """
        waits = []
        for endpoint in self._endpoints:
            is_reading = endpoint.stage is Stage.PREFILL
            if endpoint.service != service or not is_reading:
                continue
            if not endpoint.is_leaving:
                work = self._get_drained(endpoint, now)
                waits.append(self._get_waiting(endpoint, work) / work.read_rate)
        return sum(waits) / len(waits) if waits else 0

    def get_local_work(self, now: Milliseconds) -> dict[str, tuple[int, int]]:
        """Return running requests and unread prompt tokens of this daemon.

        The keys are ids of endpoints; idle ones are left out.

        :param now: current instant.
        """
        own = {}
        for endpoint in self._endpoints:
            work = self._get_drained(endpoint, now)
            if work.running:
                tokens = int(work.prompt_tokens)
                own[endpoint.endpoint_id] = (work.running, tokens)
        return own

    def set_remote_work(
        self, running: Mapping[str, int], tokens: Mapping[str, int]
    ) -> None:
        """Take the work of the other daemons.

        :param running: requests by id of the endpoint.
        :param tokens: unread prompt tokens by id of the endpoint.
        """
        self._remote_running = running
        self._remote_tokens = tokens

    def get_prefill_timeout(
        self, endpoint: EntryEndpoint, profile: PromptProfile
    ) -> Milliseconds:
        """Return the time after which another engine is asked to read.

        An engine that went dark answers nothing at all; without a limit the
        prompt would wait for it until the deadline.

        :param endpoint: engine that is to read the prompt.
        :param profile: the prompt.
        """
        work = self.get_work(endpoint)
        cost = _get_unread(work, profile, assumes_cached=False)
        expected = (self._get_waiting(endpoint, work) + cost) / work.read_rate
        # While all reads are slow, asking other engines makes them slower.
        slowest = max(expected, self._recent_read)
        return _MIN_READ_LIMIT + int(_READ_LIMIT_FACTOR * slowest)

    def start_prefill(
        self,
        endpoint: EntryEndpoint,
        profile: PromptProfile,
        now: Milliseconds,
    ) -> PrefillTicket:
        """Count a prompt that goes to an engine.

        :param endpoint: engine that is to read it.
        :param profile: the prompt.
        :param now: current instant.
        """
        work = self._get_drained(endpoint, now)
        self._last_read += 1
        cost = _get_unread(work, profile, assumes_cached=False)
        other_requests = self._remote_tokens.get(endpoint.endpoint_id, 0)
        is_alone = not work.reads and not other_requests
        work.reads[self._last_read] = cost
        return PrefillTicket(endpoint, self._last_read, cost, now, is_alone)

    def end_prefill(self, ticket: PrefillTicket, now: Milliseconds) -> None:
        """Count a prompt that was read or given up.

        :param ticket: what the start returned.
        :param now: current instant.
        """
        work = self._get_drained(ticket.endpoint, now)
        work.reads.pop(ticket.number, None)
        passed = now - ticket.started_at
        self._recent_read += _READ_WEIGHT * (passed - self._recent_read)

    def record_prefill(
        self, ticket: PrefillTicket, profile: PromptProfile, now: Milliseconds
    ) -> None:
        """Take that an engine has read a prompt.

        :param ticket: what the start returned.
        :param profile: the prompt.
        :param now: current instant.
        """
        endpoint = ticket.endpoint
        work = self.get_work(endpoint)
        duration = now - ticket.started_at - _READ_BASE
        if ticket.is_alone and ticket.cost >= _TIMED_TOKENS and duration > 0:
            rate = ticket.cost / duration
            work.read_rate += _RATE_WEIGHT * (rate - work.read_rate)
        for part in profile.shared_parts:
            work.known_parts[part.part_id] = now
            self._read_parts.setdefault(endpoint.endpoint_id, []).append(
                part.part_id
            )

    def pop_read_parts(self) -> dict[str, list[str]]:
        """Return the parts that were read since the last call, to be told."""
        taken = self._read_parts
        self._read_parts = {}
        return taken

    def record_remote_parts(
        self, read_parts: Mapping[str, list[str]], now: Milliseconds
    ) -> None:
        """Take what engines have read for other daemons.

        :param read_parts: ids of parts by id of the endpoint.
        :param now: current instant.
        """
        for endpoint in self._endpoints:
            parts = read_parts.get(endpoint.endpoint_id, ())
            if parts:
                known = self.get_work(endpoint).known_parts
                known.update(dict.fromkeys(parts, now))

    def record_load(
        self, endpoint: EntryEndpoint, load: EndpointLoad, now: Milliseconds
    ) -> None:
        """Take the load that an endpoint told of.

        :param endpoint: endpoint that answered.
        :param load: requests that it runs and queues.
        :param now: current instant.
        """
        work = self.get_work(endpoint)
        work.other_requests = max(0, load.running + load.waiting - work.running)
        work.told_at = now

    def record_unreachable(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> None:
        """Take that no connection to an endpoint could be opened.

        It gets no work for a while, however many others are unreachable: a
        cut zone takes most endpoints away at once.

        :param endpoint: endpoint that was tried.
        :param now: current instant.
        """
        self.get_work(endpoint).paused_until = now + _UNREACHABLE_TIME
        self.note_silence(endpoint, now)

    def note_silence(self, endpoint: EntryEndpoint, now: Milliseconds) -> None:
        """Take that an endpoint did not answer in time.

        :param endpoint: endpoint that was tried.
        :param now: current instant.
        """
        self._reach.note_silence(
            endpoint.availability_zone, endpoint.endpoint_id, now
        )

    def is_zone_unreachable(self, zone: str, now: Milliseconds) -> bool:
        """Tell whether an availability zone is taken as cut off.

        :param zone: availability zone.
        :param now: current instant.
        """
        return self._reach.is_unreachable(zone, now)

    def record_rejection(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> None:
        """Take that an endpoint sent a request away without running it.

        An endpoint that rejects all it gets, such as one that changes its
        stage, looks empty; without a pause it would draw all requests.

        :param endpoint: endpoint that rejected a request.
        :param now: current instant.
        """
        self._reach.record_answer(endpoint.availability_zone)
        work = self.get_work(endpoint)
        pause = min(_MAX_REJECTED, _MIN_REJECTED << work.rejections)
        work.rejections += 1
        work.paused_until = now + pause

    def record_acceptance(self, endpoint: EntryEndpoint) -> None:
        """Take that an endpoint runs a request.

        :param endpoint: endpoint that accepted a request.
        """
        self._reach.record_answer(endpoint.availability_zone)
        self.get_work(endpoint).rejections = 0

    def _get_waiting(
        self, endpoint: EntryEndpoint, work: EndpointWork
    ) -> float:
        other_requests = self._remote_tokens.get(endpoint.endpoint_id, 0)
        return work.prompt_tokens + other_requests

    def _get_drained(
        self, endpoint: EntryEndpoint, now: Milliseconds
    ) -> EndpointWork:
        work = self.get_work(endpoint)
        work.drain(self._remote_tokens.get(endpoint.endpoint_id, 0), now)
        return work


def _get_unread(
    work: EndpointWork, profile: PromptProfile, *, assumes_cached: bool
) -> float:
    """Return the work that an engine is expected to have with a prompt.

    Each token read is also related to all tokens before it, so that long
    prompts cost more than their length tells.
    """
    cached = 0
    for part in profile.shared_parts:
        if not assumes_cached and part.part_id not in work.known_parts:
            break
        cached += part.tokens
    cost = max(0, profile.tokens - cached)
    return cost + _PAIR_WORK * cost * (cached + cost / 2)
