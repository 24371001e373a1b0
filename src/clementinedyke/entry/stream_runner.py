"""Runs generations: one engine reads the prompt, another one generates."""

import math
from dataclasses import dataclass, field

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.endpoint_protocol import (
    PrefillAnswer,
    PromptMemory,
    SendOptions,
)
from clementinedyke.entry.endpoint_work import PrefillTicket, PromptProfile
from clementinedyke.entry.event_stream import EventSplitter
from clementinedyke.entry.exchange import EndpointAnswer
from clementinedyke.entry.intake import Job
from clementinedyke.entry.outcomes import StreamBroken
from clementinedyke.entry.runners import RunnerTools
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.message import RequestError, ResponseWriter

_STATUS_OK = 200
_MILLISECONDS_PER_SECOND = 1000
_MAX_PRIORITY = 9
#: Engines that are asked to read one prompt before an engine that generates
#: has to read it itself, at half the speed.
_MAX_PREFILLS = 3
#: Engines that generate which are tried with the same memory; one that has no
#: room and one that cannot fetch it answer alike.
_MAX_FETCHES = 2


@dataclass(slots=True)
class _Generation:
    """A job on its way to its first event, and what was passed on."""

    job: Job
    response: ResponseWriter
    profile: PromptProfile
    splitter: EventSplitter = field(default_factory=EventSplitter)
    memory: PromptMemory | None = None
    fetches: int = 0
    is_head_sent: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    failed_readers: set[str] = field(default_factory=set)


class StreamRunner:
    """Runs streams and resumes those that may be resumed."""

    def __init__(self, tools: RunnerTools, nursery: trio.Nursery) -> None:
        """Create the runner.

        :param tools: cores and clients of the daemon.
        :param nursery: runs the calls that free memory.
        """
        self._tools = tools
        self._nursery = nursery

    async def run(self, job: Job, response: ResponseWriter) -> None:
        """Answer a job.

        :param job: admitted request.
        :param response: writer to the caller.
        :raises RequestError: if no event was passed on.
        :raises StreamBroken: if the stream ended behind an event.
        """
        request = job.request
        profile = PromptProfile(request.prompt_tokens, request.prompt_parts)
        generation = _Generation(job, response, profile)
        is_done = False
        try:
            while not is_done:
                is_done = await self._advance(generation)
        finally:
            self._release(generation)

    async def _advance(self, generation: _Generation) -> bool:
        """Make one try; tell whether the stream has ended as it should."""
        job = generation.job
        if generation.memory is None and job.service.engine is not None:
            await self._read_prompt(generation)
        endpoint = self._select_endpoint(generation)
        if endpoint is None:
            raise self._give_up(generation, 'no engine has room')
        if not self._tools.may_send(job):
            raise self._give_up(generation, 'no retry budget is left')
        return await self._try(generation, endpoint)

    def _select_endpoint(self, generation: _Generation) -> EntryEndpoint | None:
        job = generation.job
        placement = self._tools.placement
        now = self._tools.clock.get_now()
        excluded = frozenset(job.excluded)
        if job.service.engine is None:
            return placement.select_plain(job.service.name, now, excluded)
        source = generation.memory.endpoint if generation.memory else None
        return placement.select_decode(job.service.name, source, now, excluded)

    async def _read_prompt(self, generation: _Generation) -> None:
        """Let an engine read the prompt, if one can."""
        job = generation.job
        tools = self._tools
        for _ in range(_MAX_PREFILLS):
            endpoint = tools.placement.select_prefill(
                job.service.name,
                generation.profile,
                tools.clock.get_now(),
                frozenset(generation.failed_readers),
            )
            if endpoint is None or not self._may_read(generation):
                return
            generation.failed_readers.add(endpoint.endpoint_id)
            job.reads += 1
            generation.memory = await self._try_prefill(generation, endpoint)
            if generation.memory is not None:
                generation.fetches = 0
                return
            # The failed read makes whatever follows it a repeat.
            if self._get_budget_left(job) < 0:
                raise self._give_up(generation, 'no retry budget is left')

    def _may_read(self, generation: _Generation) -> bool:
        """Tell whether an engine may be asked to read the prompt."""
        is_first = not generation.failed_readers
        return is_first or self._get_budget_left(generation.job) >= 1

    def _get_budget_left(self, job: Job) -> float:
        tools = self._tools
        budget = tools.budgets.get_budget(job.service.name)
        return budget.get_left(tools.count_daemons(), tools.clock.get_now())

    def _note_unread(
        self, ticket: PrefillTicket, job: Job, limit: Milliseconds
    ) -> None:
        """Count a read that gave no memory.

        Only the first read that an engine accepts is free. One that failed
        may still have waited in the engine's queue, so that it counts itself.
        """
        tools = self._tools
        now = tools.clock.get_now()
        tools.budgets.get_budget(job.service.name).charge(now)
        if now - ticket.started_at >= limit:
            tools.note_silence(job, ticket.endpoint)

    async def _try_prefill(
        self, generation: _Generation, endpoint: EntryEndpoint
    ) -> PromptMemory | None:
        tools = self._tools
        job = generation.job
        started_at = tools.clock.get_now()
        options = SendOptions(
            endpoint,
            job.get_time_left(started_at),
            job.customer,
            priority=min(job.priority, _MAX_PRIORITY),
            is_prefill=True,
        )
        limit = tools.placement.work.get_prefill_timeout(
            endpoint, generation.profile
        )
        ticket = tools.placement.work.start_prefill(
            endpoint, generation.profile, started_at
        )
        decoded: PrefillAnswer | None = None
        try:
            with trio.move_on_after(limit / _MILLISECONDS_PER_SECOND):
                decoded = await self._ask_prefill(job, options)
        except PeerUnavailableError:
            return None
        finally:
            now = tools.clock.get_now()
            tools.placement.work.end_prefill(ticket, now)
        if decoded is None:
            self._note_unread(ticket, job, limit)
            return None
        job.read_at = now
        tools.placement.work.record_prefill(ticket, generation.profile, now)
        tools.placement.record_success(endpoint, job.request.request_id, now)
        return PromptMemory(endpoint, decoded.handle)

    async def _ask_prefill(
        self, job: Job, options: SendOptions
    ) -> PrefillAnswer | None:
        try:
            async with self._tools.exchange.open_answer(job, options) as answer:
                body = await answer.stream.receive_body()
                if answer.head.status != _STATUS_OK:
                    job.failures.append(
                        f'{options.endpoint.endpoint_id}: '
                        f'read answered {answer.head.status}'
                    )
                    return None
                return self._tools.protocol.read_prefill(body)
        except AnswerLostError:
            return None

    async def _try(
        self, generation: _Generation, endpoint: EntryEndpoint
    ) -> bool:
        job = generation.job
        options = self._compile_options(generation, endpoint)
        generation.fetches += 1
        generation.scope = self._tools.open_try(job)
        try:
            with generation.scope:
                async with self._tools.exchange.open_answer(
                    job, options
                ) as answer:
                    return await self._take(generation, answer)
        except PeerUnavailableError:
            self._tools.take_back_send(job)
            job.excluded.add(endpoint.endpoint_id)
        except AnswerLostError as error:
            job.excluded.add(endpoint.endpoint_id)
            self._note_lost(generation, str(error))
        if generation.scope.cancelled_caught:
            job.excluded.add(endpoint.endpoint_id)
            self._tools.note_silence(job, endpoint)
            self._note_lost(generation, 'the engine was silent')
        return False

    def _compile_options(
        self, generation: _Generation, endpoint: EntryEndpoint
    ) -> SendOptions:
        job = generation.job
        after_event = generation.splitter.last_id
        if after_event is None:
            after_event = job.request.last_event_id
        is_engine = job.service.engine is not None
        priority = min(job.priority, _MAX_PRIORITY) if is_engine else None
        return SendOptions(
            endpoint,
            job.get_time_left(self._tools.clock.get_now()),
            job.customer,
            priority=priority,
            memory=generation.memory,
            after_event=after_event,
        )

    def _note_lost(self, generation: _Generation, reason: str) -> None:
        """Prepare another run, if the stream may be resumed.

        :raises RequestError: if it may not and nothing was passed on.
        :raises StreamBroken: if it may not and events were passed on.
        """
        job = generation.job
        job.has_started = True
        job.runs += 1
        # Memory is used once, whether the run got far or not.
        generation.memory = None
        generation.splitter.take_rest()
        may_resume = (
            job.route.is_repeatable and job.runs < job.route.max_attempts
        )
        if not may_resume:
            raise self._give_up(generation, reason)

    def _give_up(
        self, generation: _Generation, message: str
    ) -> RequestError | StreamBroken:
        if generation.is_head_sent:
            return StreamBroken(message)
        return self._tools.create_failure(generation.job, message)

    async def _take(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> bool:
        job = generation.job
        head = answer.head
        if head.was_not_run:
            await answer.stream.receive_body()
            self._note_not_run(generation, answer)
            return False
        job.has_started = True
        if not head.is_signed:
            # Only the endpoint itself may promise that nothing ran.
            raise AnswerLostError('the answer bears no signature')
        if head.status == _STATUS_OK:
            generation.memory = None
            await self._pass_events(generation, answer)
            return True
        return await self._pass_failure(generation, answer)

    def _note_not_run(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> None:
        """Choose another engine, and read the prompt again after two.

        An engine that cannot fetch the memory answers like one that has no
        room or changes its stage.
        """
        generation.job.excluded.add(answer.endpoint.endpoint_id)
        if generation.memory is not None and generation.fetches >= _MAX_FETCHES:
            self._release(generation)
            generation.memory = None
            generation.job.excluded.clear()

    async def _pass_failure(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> bool:
        """Pass an engine's own failure on, unless another run may follow."""
        generation.scope.deadline = math.inf
        body = await answer.stream.receive_body()
        job = generation.job
        now = self._tools.clock.get_now()
        self._tools.placement.record_failure(
            answer.endpoint, job.request.request_id, now
        )
        job.excluded.add(answer.endpoint.endpoint_id)
        if generation.is_head_sent or (
            job.route.is_repeatable and job.runs + 1 < job.route.max_attempts
        ):
            self._note_lost(generation, f'engine failed: {answer.head.status}')
            return False
        await generation.response.send_whole(
            answer.head.status, answer.head.forwarded_headers, body
        )
        return True

    async def _pass_events(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> None:
        splitter = generation.splitter
        while True:
            received = await answer.stream.receive_available()
            if not received:
                break
            events = splitter.take(received)
            if events:
                generation.scope.deadline = math.inf
                await self._pass_bytes(generation, answer, events)
        generation.scope.deadline = math.inf
        await self._pass_bytes(generation, answer, splitter.take_rest())
        generation.job.runs += 1
        self._tools.placement.record_success(
            answer.endpoint,
            generation.job.request.request_id,
            self._tools.clock.get_now(),
        )
        await generation.response.end()

    async def _pass_bytes(
        self, generation: _Generation, answer: EndpointAnswer, passed: bytes
    ) -> None:
        if generation.is_head_sent:
            await generation.response.send_chunk(passed)
            return
        generation.is_head_sent = True
        generation.job.first_event_at = self._tools.clock.get_now()
        self._tools.usage.note_start(generation.job.customer)
        await generation.response.send_head(
            answer.head.status, answer.head.forwarded_headers, passed
        )

    def _release(self, generation: _Generation) -> None:
        if generation.memory is not None:
            self._nursery.start_soon(
                self._tools.exchange.release, generation.memory
            )
