"""Runs streams: one engine prefills the prompt and another one decodes."""

import math
from dataclasses import dataclass, field
from functools import partial

import trio

from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.endpoint_protocol import (
    KvCacheReference,
    PrefillAnswer,
    SendOptions,
)
from clementinedyke.entry.endpoint_work import PrefillTicket, PromptProfile
from clementinedyke.entry.event_stream import EventSplitter
from clementinedyke.entry.exchange import EndpointAnswer
from clementinedyke.entry.intake import Job
from clementinedyke.entry.outcomes import StreamBroken
from clementinedyke.entry.runners import (
    RETRY_AFTER_UNKNOWN_VERSION,
    RunnerContext,
)
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.message import RequestError, ResponseWriter
from clementinedyke.tasks import run_guarded

_STATUS_OK = 200
_MILLISECONDS_PER_SECOND = 1000
_MAX_PRIORITY = 9
#: Engines that are asked to prefill a prompt before the decode engine has to
#: do so itself, at half the speed.
_MAX_PREFILLS = 3
#: Decode engines that are tried with the same KV cache: the answers of a full
#: engine and of one that cannot fetch the cache are the same.
_MAX_KV_FETCHES = 2
#: Largest answer to a prefill, which is a handle and two numbers.
_MAX_PREFILL_BYTES = 65536
#: Time after the timeout of a stream in which its caller may take it up again.
_RESUME_MARGIN: Milliseconds = 5000


@dataclass(slots=True)
class _Generation:
    """State of a stream while it is run.

    ``kv_fetches`` counts the attempts with the current KV cache. ``scope``
    limits the wait for the first event of the current attempt. ``has_prefill``
    is whether an engine has prefilled the prompt, which the retry budget allows
    once for nothing.
    """

    job: Job
    response: ResponseWriter
    profile: PromptProfile
    splitter: EventSplitter = field(default_factory=EventSplitter)
    kv_cache: KvCacheReference | None = None
    kv_fetches: int = 0
    is_head_sent: bool = False
    has_prefill: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    tried_prefill_engines: set[str] = field(default_factory=set)


class StreamRunner:
    """Runs streams and resumes interrupted ones if the route allows it."""

    def __init__(self, context: RunnerContext, nursery: trio.Nursery) -> None:
        """Create the runner.

        :param tools: cores and clients of the daemon.
        :param nursery: nursery for the calls that free KV caches.
        """
        self._context = context
        self._nursery = nursery

    async def run(self, job: Job, response: ResponseWriter) -> None:
        """Run a job and stream its events to the caller.

        :param job: admitted request.
        :param response: writer to the caller.
        :raises RequestError: if the job failed before the head was sent.
        :raises StreamBroken: if it failed afterwards.
        """
        request = job.request
        profile = PromptProfile(request.prompt_tokens, request.prompt_parts)
        generation = _Generation(job, response, profile)
        if request.resumes_stream:
            await self._find_version(job)
        is_done = False
        try:
            while not is_done:
                is_done = await self._run_attempt(generation)
        finally:
            self._release(generation)

    async def _find_version(self, job: Job) -> None:
        """Bind a stream that its caller takes up to the version that began it.

        :raises RequestError: if the version is not known.
        """
        job.version = await self._context.versions.find_version(
            job.service.name,
            job.request.resumed_request,
            _get_resume_lifetime(job),
        )
        if job.version is None:
            raise RequestError(
                ResultCode.VERSION_UNKNOWN,
                'the software version that began the stream is not known',
                RETRY_AFTER_UNKNOWN_VERSION,
            )

    async def _run_attempt(self, generation: _Generation) -> bool:
        """Make one attempt; return True if the answer was forwarded whole."""
        job = generation.job
        await self._wait_for_clearance(generation)
        self._check_version(generation)
        if generation.kv_cache is None and job.service.engine is not None:
            await self._prefill_prompt(generation)
            await self._wait_for_clearance(generation)
        endpoint = self._select_endpoint(generation)
        if endpoint is None:
            raise self._create_error(generation, 'no engine has room')
        if not self._context.reserve_send(job):
            raise self._create_error(generation, 'no retry budget is left')
        return await self._send(generation, endpoint)

    def _check_version(self, generation: _Generation) -> None:
        """Check that an engine may go on with a stream that has begun.

        :raises RequestError: if there is none and no head was sent.
        :raises StreamBroken: if there is none and the head was sent.
        """
        version = generation.job.version
        if version is None or self._context.has_endpoints(generation.job):
            return
        raise self._create_error(
            generation, f'no engine of software version {version}'
        )

    async def _wait_for_clearance(self, generation: _Generation) -> None:
        try:
            await self._context.wait_for_clearance(generation.job)
        except RequestError as error:
            if generation.is_head_sent:
                raise StreamBroken(str(error)) from error
            raise

    def _select_endpoint(self, generation: _Generation) -> EntryEndpoint | None:
        job = generation.job
        placement = self._context.placement
        now = self._context.clock.get_now()
        excluded = self._context.list_excluded(
            job
        ) | placement.list_other_versions(job.service.name, job.version)
        if job.service.engine is None:
            return placement.select_plain(job.service.name, now, excluded)
        source = generation.kv_cache.endpoint if generation.kv_cache else None
        return placement.select_decode(job.service.name, source, now, excluded)

    async def _prefill_prompt(self, generation: _Generation) -> None:
        """Prefill the prompt if an engine and retry budget are available."""
        job = generation.job
        context = self._context
        for _ in range(_MAX_PREFILLS):
            await context.notice_departure()
            endpoint = context.placement.select_prefill(
                job.service.name,
                generation.profile,
                context.clock.get_now(),
                frozenset(generation.tried_prefill_engines),
            )
            if endpoint is None or not self._may_prefill(generation):
                return
            generation.tried_prefill_engines.add(endpoint.endpoint_id)
            job.reads += 1
            generation.kv_cache = await self._send_prefill(generation, endpoint)
            if generation.kv_cache is not None:
                generation.kv_fetches = 0
                if generation.has_prefill:
                    context.budgets.get_budget(job.service.name).charge(
                        context.clock.get_now()
                    )
                generation.has_prefill = True
                return
            # After a failed prefill all further sends count as retries.
            if context.get_remaining_retries(job) < 0:
                raise self._create_error(generation, 'no retry budget is left')

    def _may_prefill(self, generation: _Generation) -> bool:
        """Return whether an engine may be asked to prefill the prompt."""
        is_first = not generation.tried_prefill_engines
        if is_first:
            return True
        return self._context.get_remaining_retries(generation.job) >= 1

    def _record_failed_prefill(
        self, ticket: PrefillTicket, job: Job, limit: Milliseconds
    ) -> None:
        """Charge the retry budget for a prefill without a result.

        Only the first prefill that an engine accepts is free. A failed one
        may still have waited in the queue of the engine, so it counts too.
        """
        context = self._context
        now = context.clock.get_now()
        context.budgets.get_budget(job.service.name).charge(now)
        if now - ticket.started_at >= limit:
            context.record_timeout(job, ticket.endpoint)

    async def _send_prefill(
        self, generation: _Generation, endpoint: EntryEndpoint
    ) -> KvCacheReference | None:
        context = self._context
        job = generation.job
        started_at = context.clock.get_now()
        options = SendOptions(
            endpoint,
            job.get_time_left(started_at),
            job.customer,
            priority=min(job.priority, _MAX_PRIORITY),
            is_prefill=True,
        )
        limit = context.placement.work.get_prefill_timeout(
            endpoint, generation.profile
        )
        ticket = context.placement.work.start_prefill(
            endpoint, generation.profile, started_at
        )
        decoded: PrefillAnswer | None = None
        try:
            with trio.move_on_after(limit / _MILLISECONDS_PER_SECOND):
                decoded = await self._receive_prefill(job, options)
        except PeerUnavailableError:
            return None
        finally:
            now = context.clock.get_now()
            context.placement.work.end_prefill(ticket, now)
        if decoded is None:
            self._record_failed_prefill(ticket, job, limit)
            return None
        job.read_at = now
        context.placement.work.record_prefill(ticket, generation.profile, now)
        context.placement.record_success(endpoint, job.request.request_id, now)
        return KvCacheReference(endpoint, decoded.handle)

    async def _receive_prefill(
        self, job: Job, options: SendOptions
    ) -> PrefillAnswer | None:
        try:
            async with self._context.exchange.open_answer(
                job, options
            ) as answer:
                body = await answer.stream.receive_body(_MAX_PREFILL_BYTES)
                if answer.head.status != _STATUS_OK:
                    job.failures.append(
                        f'{options.endpoint.endpoint_id}: '
                        f'read answered {answer.head.status}'
                    )
                    return None
                return self._context.protocol.read_prefill(body)
        except AnswerLostError:
            return None

    async def _send(
        self, generation: _Generation, endpoint: EntryEndpoint
    ) -> bool:
        job = generation.job
        options = self._compile_options(generation, endpoint)
        generation.kv_fetches += 1
        generation.scope = self._context.create_attempt_scope(job)
        try:
            with generation.scope:
                async with self._context.exchange.open_answer(
                    job, options
                ) as answer:
                    return await self._handle_answer(generation, answer)
        except PeerUnavailableError:
            self._context.cancel_send(job)
            job.excluded.add(endpoint.endpoint_id)
        except AnswerLostError as error:
            job.excluded.add(endpoint.endpoint_id)
            self._prepare_retry(generation, str(error))
        if generation.scope.cancelled_caught:
            job.excluded.add(endpoint.endpoint_id)
            self._context.record_timeout(job, endpoint)
            self._prepare_retry(generation, 'the engine was silent')
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
            job.get_time_left(self._context.clock.get_now()),
            job.customer,
            priority=priority,
            kv_cache=generation.kv_cache,
            after_event=after_event,
        )

    def _prepare_retry(self, generation: _Generation, reason: str) -> None:
        """Count a failed run and reset the state for another one.

        :raises RequestError: if the job may not run again and no head was
            sent.
        :raises StreamBroken: if the job may not run again and the head was
            sent.
        """
        job = generation.job
        job.has_started = True
        job.runs += 1
        # A KV cache can be fetched only once, even by a run that failed.
        generation.kv_cache = None
        generation.splitter.drop_incomplete()
        may_resume = (
            job.route.is_repeatable and job.runs < job.route.max_attempts
        )
        if not may_resume:
            raise self._create_error(generation, reason)

    def _create_error(
        self, generation: _Generation, message: str
    ) -> RequestError | StreamBroken:
        if generation.is_head_sent:
            return StreamBroken(message)
        return self._context.create_failure(generation.job, message)

    async def _handle_answer(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> bool:
        job = generation.job
        head = answer.head
        if head.was_not_run:
            await answer.stream.discard_body()
            self._handle_rejection(generation, answer)
            return False
        job.has_started = True
        if not head.is_signed:
            # Only the endpoint itself can state that nothing ran, and an
            # unsigned answer may come from elsewhere.
            raise AnswerLostError('the answer bears no signature')
        if head.status == _STATUS_OK:
            generation.kv_cache = None
            await self._forward_events(generation, answer)
            return True
        return await self._forward_failure(generation, answer)

    def _handle_rejection(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> None:
        """Exclude the engine, and drop the KV cache after two rejections.

        An engine that cannot fetch the cache answers like one that is full
        or changes its stage. Without a cache the prompt is prefilled again.
        """
        generation.job.excluded.add(answer.endpoint.endpoint_id)
        if (
            generation.kv_cache is not None
            and generation.kv_fetches >= _MAX_KV_FETCHES
        ):
            self._release(generation)
            generation.kv_cache = None
            generation.job.excluded.clear()

    async def _forward_failure(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> bool:
        """Forward an error answer of an engine unless the job may run again."""
        generation.scope.deadline = math.inf
        body = await self._context.exchange.receive_body(answer)
        job = generation.job
        now = self._context.clock.get_now()
        self._context.placement.record_failure(
            answer.endpoint, job.request.request_id, now
        )
        job.excluded.add(answer.endpoint.endpoint_id)
        if generation.is_head_sent or (
            job.route.is_repeatable and job.runs + 1 < job.route.max_attempts
        ):
            self._prepare_retry(
                generation, f'engine failed: {answer.head.status}'
            )
            return False
        await generation.response.send_response(
            answer.head.status, answer.head.forwarded_headers, body
        )
        return True

    async def _forward_events(
        self, generation: _Generation, answer: EndpointAnswer
    ) -> None:
        splitter = generation.splitter
        while True:
            received = await answer.stream.receive_available()
            if not received:
                break
            events = splitter.split_events(received)
            answer.holding.record_size(splitter.pending_bytes)
            if events:
                generation.scope.deadline = math.inf
                await self._forward_bytes(generation, answer, events)
        generation.job.cut_bytes = splitter.pending_bytes
        if splitter.pending_bytes:
            raise AnswerLostError('the stream ended inside an event')
        await self._context.exchange.check_end(answer)
        generation.scope.deadline = math.inf
        if not generation.is_head_sent:
            await self._forward_bytes(generation, answer, b'')
        answer.is_complete = True
        generation.job.runs += 1
        self._context.placement.record_success(
            answer.endpoint,
            generation.job.request.request_id,
            self._context.clock.get_now(),
        )
        await generation.response.end()

    async def _forward_bytes(
        self, generation: _Generation, answer: EndpointAnswer, chunk: bytes
    ) -> None:
        if generation.is_head_sent:
            await generation.response.send_chunk(chunk)
            return
        generation.is_head_sent = True
        job = generation.job
        job.first_event_at = self._context.clock.get_now()
        self._context.usage.count_request(job.customer)
        await self._bind_version(job, answer.endpoint.version)
        await generation.response.send_head(
            answer.head.status, answer.head.forwarded_headers, chunk
        )

    async def _bind_version(self, job: Job, version: str) -> None:
        is_begun = job.version is None
        job.version = version
        if not job.route.is_resumable:
            return
        versions = self._context.versions
        tell_keepers = versions.announce if is_begun else versions.renew
        await tell_keepers(
            job.request.first_request_id, version, _get_resume_lifetime(job)
        )

    def _release(self, generation: _Generation) -> None:
        if generation.kv_cache is not None:
            release = partial(
                self._context.exchange.release, generation.kv_cache
            )
            self._nursery.start_soon(run_guarded, release, 'release')


def _get_resume_lifetime(job: Job) -> Milliseconds:
    """Return the time in which the caller of a stream may take it up."""
    timeout = max(job.route.timeout, job.request.caller_timeout or 0)
    return timeout + _RESUME_MARGIN
