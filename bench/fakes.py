"""Simulated engines and plain services on virtual time.

The constants describe a mid-size model on one accelerator: a step takes
20 ms to read the weights, 0.12 ms per prompt token and 0.15 ms per running
stream.
"""

import heapq
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count, islice
from typing import Any

from clementinedyke.routing.types import Role

#: Milliseconds of a step to read the weights.
STEP_BASE = 20
STEP_PER_PROMPT_TOKEN = 0.12
STEP_PER_STREAM = 0.15
#: Streams in the batch of an engine.
MAX_STREAMS = 64
#: Blocks in the prefix cache of an engine.
CACHE_BLOCKS = 160
BLOCK_TOKENS = 1000
TRANSFER_TOKENS_PER_MS = 100
#: Milliseconds without work while the role changes.
ROLE_CHANGE_TIME = 4000
#: Milliseconds from a crash to the restart.
REPAIR_TIME = 30_000
#: Maximum prompt tokens processed in one step, by role.
CHUNK_TOKENS = {Role.PREFILL: 2048, Role.MIXED: 256, Role.DECODE: 128}


class Timeline:
    """Event queue on virtual time; calls run in order of their due time."""

    def __init__(self) -> None:
        """Create a timeline at 0 ms."""
        self.now = 0
        self._calls: list[tuple[float, int, Callable[..., None], Any]] = []
        self._call_numbers = count()

    def call_at(self, at: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call.

        :param at: due time in milliseconds.
        :param call: called with the arguments.
        :param args: arguments of the call.
        """
        heapq.heappush(self._calls, (at, next(self._call_numbers), call, args))

    def run(self, until: float) -> None:
        """Run all calls that are due up to a time, which is included.

        :param until: time in milliseconds.
        """
        while self._calls and self._calls[0][0] <= until:
            entry = heapq.heappop(self._calls)
            self.now = entry[0]
            entry[2](*entry[3])


@dataclass(slots=True, eq=False)
class Job:
    """A request at an endpoint, with the callbacks of the daemon.

    ``remaining``: prompt tokens still to be processed.
    """

    prompt_tokens: int
    hashes: tuple[int, ...]
    output_tokens: int
    priority: int
    decoder: 'FakeEngine'
    on_first_token: Callable[[], None]
    on_done: Callable[[], None]
    on_fail: Callable[[str], None]
    crashes_engine: bool = False
    remaining: int = 0
    cancelled: bool = False


@dataclass(slots=True)
class CacheUpdate:
    """Blocks added and removed since the last update."""

    sequence: int = 0
    added: list[int] = field(default_factory=list)
    removed: list[int] = field(default_factory=list)


class PrefixCache:
    """Prefix cache with LRU eviction."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.pending = CacheUpdate()

    def count_hits(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading blocks in the cache."""
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def add(self, hashes: tuple[int, ...]) -> None:
        """Add blocks and evict the least recently used ones."""
        for block in hashes:
            if block not in self._blocks:
                self.pending.added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > CACHE_BLOCKS:
            self.pending.removed.append(self._blocks.popitem(last=False)[0])

    def pop_update(self) -> CacheUpdate:
        """Return and clear the changes since the last call."""
        update = self.pending
        self.pending = CacheUpdate(update.sequence + 1)
        return update


class FakeEngine:
    """Continuous batching: each step serves prompts and all streams."""

    def __init__(self, timeline: Timeline, name: str, zone: int) -> None:
        """Create an idle engine."""
        self.timeline = timeline
        self.name = name
        self.zone = zone
        self.cheap = False
        self.role = Role.MIXED
        self.target_role: Role | None = None
        self.is_up = True
        self.is_leaving = False
        self.is_changing = False
        self.prefix_cache = PrefixCache()
        self.changes = 0
        self.boots = 0
        self.kills = 0
        #: Factor on the duration of each step.
        self.slowness = 1
        self._reset()

    @property
    def accepts_requests(self) -> bool:
        """Whether requests are accepted now, whatever the daemons know."""
        blocked = self.is_leaving or self.is_changing
        return self.is_up and self.target_role is None and not blocked

    @property
    def backlog(self) -> int:
        """Prompt tokens still to be processed."""
        return sum(job.remaining for _, _, job in self._prompts)

    @property
    def stream_count(self) -> int:
        """Requests that run or wait for a slot in the batch."""
        own = sum(1 for _, _, job in self._prompts if job.decoder is self)
        return len(self._streams) + len(self._waiting) + own

    def submit(self, job: Job) -> None:
        """Queue a request; fail it at once if the engine is unavailable."""
        if not self.is_up or self.is_changing:
            job.on_fail(self.name)
            return
        hits = self.prefix_cache.count_hits(job.hashes)
        job.remaining = max(1, job.prompt_tokens - hits * BLOCK_TOKENS)
        heapq.heappush(self._prompts, self._create_entry(job))
        self._start_step()

    def add_stream(self, job: Job) -> None:
        """Queue a request whose prompt is processed for decoding."""
        if not self.is_up or self.is_changing:
            job.on_fail(self.name)
            return
        heapq.heappush(self._waiting, self._create_entry(job))
        self._start_step()

    def change_role(self, role: Role) -> None:
        """Change the role once the running work has ended."""
        self.target_role = role
        self._start_role_change()

    def crash(self) -> None:
        """Fail all requests and stop."""
        jobs = [entry[2] for entry in self._prompts]
        jobs.extend(entry[2] for entry in self._streams)
        jobs.extend(entry[2] for entry in self._waiting)
        self.is_up = False
        self.is_changing = False
        self.target_role = None
        self.boots += 1
        self.prefix_cache = PrefixCache()
        self._reset()
        for job in jobs:
            job.on_fail(self.name)

    def _create_entry(self, job: Job) -> tuple[int, int, Job]:
        return -job.priority, next(self._entry_numbers), job

    def _reset(self) -> None:
        self._prompts: list[tuple[int, int, Job]] = []
        self._streams: list[tuple[int, int, Job]] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._entry_numbers = count()
        self._step = 0
        self._is_step_running = False
        self.epoch = object()

    def _start_step(self) -> None:
        if self._is_step_running or not self.is_up:
            return
        while self._waiting and len(self._streams) < MAX_STREAMS:
            job = heapq.heappop(self._waiting)[2]
            end = self._step + job.output_tokens - 1
            heapq.heappush(self._streams, (end, next(self._entry_numbers), job))
        if not (self._prompts or self._streams):
            self._start_role_change()
            return
        self._is_step_running = True
        chunk = min(self.backlog, CHUNK_TOKENS[self.role])
        duration = STEP_BASE + chunk * STEP_PER_PROMPT_TOKEN
        duration += len(self._streams) * STEP_PER_STREAM
        duration *= self.slowness
        end_at = self.timeline.now + duration
        self.timeline.call_at(end_at, self._end_step, chunk, self.epoch)

    def _end_step(self, chunk: int, epoch: object) -> None:
        if epoch is not self.epoch:
            return
        self._is_step_running = False
        self._step += 1
        while self._streams and self._streams[0][0] <= self._step:
            heapq.heappop(self._streams)[2].on_done()
        self._process_prompts(chunk)
        self._start_step()

    def _process_prompts(self, chunk: int) -> None:
        while chunk > 0 and self._prompts:
            job = self._prompts[0][2]
            if job.crashes_engine:
                self._crash_and_restart()
                return
            done = min(chunk, job.remaining)
            job.remaining -= done
            chunk -= done
            if job.remaining == 0:
                heapq.heappop(self._prompts)
                self.prefix_cache.add(job.hashes)
                self._start_decoding(job)

    def _crash_and_restart(self) -> None:
        self.kills += 1
        self.crash()
        at = self.timeline.now + REPAIR_TIME
        self.timeline.call_at(at, setattr, self, 'is_up', True)

    def _start_decoding(self, job: Job) -> None:
        job.on_first_token()
        decoder = job.decoder
        if decoder is self:
            heapq.heappush(self._waiting, self._create_entry(job))
            return
        delay = job.prompt_tokens / TRANSFER_TOKENS_PER_MS
        self.timeline.call_at(
            self.timeline.now + delay, decoder.add_stream, job
        )

    def _start_role_change(self) -> None:
        busy = self._prompts or self._streams or self._waiting
        if self.target_role is None or busy or self.is_changing:
            return
        self.is_changing = True
        self.timeline.call_at(
            self.timeline.now + ROLE_CHANGE_TIME,
            _end_role_change,
            self,
            self.epoch,
        )


def _end_role_change(engine: FakeEngine, epoch: object) -> None:
    if epoch is engine.epoch and engine.target_role is not None:
        engine.role = engine.target_role
        engine.target_role = None
        engine.is_changing = False
        engine.changes += 1


class FakeService:
    """Plain service with a few workers and exponential service times."""

    backlog = 0
    workers = 2
    mean_time = 250

    def __init__(
        self, timeline: Timeline, name: str, zone: int, seed: int
    ) -> None:
        """Create an idle service."""
        self.timeline = timeline
        self.name = name
        self.zone = zone
        self.cheap = False
        self.role = Role.MIXED
        self.is_up = True
        self.is_leaving = False
        self.changes = 0
        self.boots = 0
        self._random = random.Random(seed)
        self._jobs: list[Job] = []

    @property
    def accepts_requests(self) -> bool:
        """Whether requests are accepted now, whatever the daemons know."""
        return self.is_up and not self.is_leaving

    @property
    def stream_count(self) -> int:
        """Requests that run or wait for a worker."""
        return len(self._jobs)

    def submit(self, job: Job) -> None:
        """Queue a request, or fail it at once if the service is down."""
        if not self.is_up:
            job.on_fail(self.name)
            return
        self._jobs.append(job)
        if len(self._jobs) <= self.workers:
            self._start(job)

    def crash(self) -> None:
        """Fail all requests and stop."""
        jobs = self._jobs
        self._jobs = []
        self.is_up = False
        for job in jobs:
            job.on_fail(self.name)

    def _start(self, job: Job) -> None:
        duration = self._random.expovariate(1 / self.mean_time)
        self.timeline.call_at(self.timeline.now + duration, self._end, job)

    def _end(self, job: Job) -> None:
        if job not in self._jobs:
            return
        self._jobs.remove(job)
        job.on_first_token()
        job.on_done()
        for following in islice(self._jobs, self.workers - 1, self.workers):
            self._start(following)
