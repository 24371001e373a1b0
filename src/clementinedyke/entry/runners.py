"""Runs jobs at the endpoints that the placement core selects."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.entry.endpoint_protocol import (
    EndpointProtocol,
    SendOptions,
)
from clementinedyke.entry.exchange import (
    EXAMINATION_TIMEOUT,
    EndpointAnswer,
    Exchange,
)
from clementinedyke.entry.intake import Job
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.retry_budget import RetryBudgets
from clementinedyke.entry.suspects import Suspects
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.entry.version_finder import VersionFinder
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.client import HttpResponse
from clementinedyke.http.message import RequestError, ResponseWriter
from clementinedyke.quarantine.core import Verdict
from clementinedyke.quarantine.parts import PartVerdict

_STATUS_SERVER_ERROR = 500
_MILLISECONDS_PER_SECOND = 1000
#: Fraction of the remaining time that an endpoint has to answer before a
#: repeatable request is sent to another one; an endpoint behind a network
#: partition never answers.
_ATTEMPT_SHARE = 0.5
#: Retry delay for callers if all endpoints are full: about one answer of a
#: plain service or a few steps of an engine.
RETRY_AFTER_FULL: Milliseconds = 150
#: Retry delay for callers if there is no endpoint; ordered engines and
#: restarted endpoints take seconds to come up.
RETRY_AFTER_NO_ENDPOINT: Milliseconds = 600
#: Retry delay for a request that ended its endpoints, and for one that may have
#: done so.
RETRY_AFTER_CONVICTED: Milliseconds = 60000
RETRY_AFTER_HELD: Milliseconds = 2000
#: Retry delay for a request while another one with its prompt part is on trial.
RETRY_AFTER_TRIAL: Milliseconds = 500
#: Retry delay for a stream of unknown version; a daemon that knows it may be
#: frozen or cut off, or the version may be the only one some seconds later.
RETRY_AFTER_UNKNOWN_VERSION: Milliseconds = 1000
#: Callers that were refused because all endpoints pause return within this
#: time, or this share of the pause, after its end.
_MIN_RETURN_TIME: Milliseconds = 300
_RETURN_SHARE = 0.5
#: Interval at which a suspect looks for an endpoint without other suspects, and
#: the longest time for which it does.
_ISOLATION_INTERVAL: Milliseconds = 25
_ISOLATION_TIMEOUT: Milliseconds = 500


@dataclass(frozen=True, slots=True)
class RunnerContext:
    """Dependencies and retry rules shared by the runners.

    ``count_daemons`` returns how many daemons share the retry budget.
    """

    protocol: EndpointProtocol
    placement: PlacementCore
    exchange: Exchange
    usage: UsageCounter
    clock: Clock
    count_daemons: Callable[[], int]
    budgets: RetryBudgets
    suspects: Suspects
    versions: VersionFinder
    generator: Random

    async def wait_for_clearance(self, job: Job) -> None:
        """Wait until a job may be sent, which it mostly may at once.

        A request under which endpoints ended waits until the other daemons
        know of it and until an endpoint runs no other such request.

        :param job: job that is about to be sent.
        :raises RequestError: if endpoints ended because of the request.
        """
        await self.notice_departure()
        if job.examination is not None:
            with trio.move_on_after(
                EXAMINATION_TIMEOUT / _MILLISECONDS_PER_SECOND
            ):
                await job.examination.wait()
        await self._wait_until_clear(
            job, self._get_part_wait, RETRY_AFTER_TRIAL
        )
        await self._wait_until_clear(job, self._get_wait, RETRY_AFTER_HELD)

    async def notice_departure(self) -> None:
        """Let the task that watches the caller's connection run.

        The close of the caller may have arrived together with the answer of
        an endpoint. The endpoint of the next send is selected afterwards, so
        that requests of one moment don't all select the same.
        """
        await trio.lowlevel.checkpoint()

    def list_excluded(self, job: Job) -> frozenset[str]:
        """Return the ids of the endpoints that may not run a job now.

        :param job: job that is about to be sent.
        """
        return frozenset(job.excluded) | self.suspects.list_excluded(
            job.fingerprint, self.list_endpoints(job), self.clock.get_now()
        )

    def list_endpoints(self, job: Job) -> list[EntryEndpoint]:
        """Return the endpoints that could run a job.

        :param job: job that is about to be sent.
        """
        service = job.service
        stage = None if service.engine is None else Stage.DECODE
        return self.placement.list_endpoints(service.name, stage)

    def has_endpoints(self, job: Job) -> bool:
        """Return whether any endpoint could run a job, now or later.

        :param job: job that is about to be sent.
        """
        if job.version is None:
            return self.placement.has_endpoints(job.service.name)
        return any(
            endpoint.version == job.version
            for endpoint in self.list_endpoints(job)
        )

    def reserve_send(self, job: Job) -> bool:
        """Count a send and return whether it may be made.

        The first send is always allowed, a retry only within the budget.

        :param job: job that is about to be sent.
        """
        job.sends += 1
        if job.sends == 1:
            return True
        budget = self.budgets.get_budget(job.service.name)
        return budget.spend(self.count_daemons(), self.clock.get_now())

    def cancel_send(self, job: Job) -> None:
        """Undo :meth:`reserve_send`, as only sends that arrive count.

        :param job: job whose endpoint could not be reached.
        """
        job.sends -= 1
        if job.sends:
            self.budgets.get_budget(job.service.name).refund()

    def can_retry(self, job: Job, runs: int) -> bool:
        """Return whether a job may be run by another endpoint.

        :param job: job that an endpoint is running or has failed.
        :param runs: number of runs to compare with the route's maximum.
        """
        if not job.route.is_repeatable or runs >= job.route.max_attempts:
            return False
        return self.get_remaining_retries(job) >= 1

    def get_remaining_retries(self, job: Job) -> float:
        """Return the retries that this daemon may make of a job's service.

        :param job: any job.
        :return: remaining retries, negative if overdrawn.
        """
        budget = self.budgets.get_budget(job.service.name)
        return budget.get_remaining(self.count_daemons(), self.clock.get_now())

    def create_attempt_scope(self, job: Job) -> trio.CancelScope:
        """Return a scope that times out if an endpoint does not answer.

        It has no deadline of its own if the job cannot be retried.

        :param job: job that is about to be sent.
        """
        scope = trio.CancelScope()
        if self.can_retry(job, job.runs + 1):
            left = job.get_time_left(self.clock.get_now())
            seconds = left * _ATTEMPT_SHARE / _MILLISECONDS_PER_SECOND
            scope.deadline = trio.current_time() + seconds
        return scope

    def record_timeout(self, job: Job, endpoint: EntryEndpoint) -> None:
        """Record that an endpoint did not answer in time.

        :param job: job that was sent to the endpoint.
        :param endpoint: endpoint that did not answer.
        """
        now = self.clock.get_now()
        job.failures.append(f'{endpoint.endpoint_id}: silent')
        self.exchange.record_silence(job, endpoint)
        self.placement.work.record_timeout(endpoint, now)
        self.placement.record_failure(endpoint, job.request.request_id, now)

    def create_failure(self, job: Job, message: str) -> RequestError:
        """Return the error for a job that no endpoint has answered.

        The code depends on whether the job may have run, and if not, on
        whether the service has endpoints at all.

        :param job: job that failed.
        :param message: reason, sent to the caller.
        """
        if job.has_started:
            return RequestError(ResultCode.ANSWER_LOST, message)
        pause = self.placement.get_pause(
            self.list_endpoints(job), self.clock.get_now()
        )
        if pause:
            return RequestError(
                ResultCode.ENDPOINTS_PAUSED,
                'all endpoints asked for a pause',
                pause + self._get_return_delay(pause),
            )
        if self.has_endpoints(job):
            return RequestError(
                ResultCode.QUEUE_FULL, message, RETRY_AFTER_FULL
            )
        return RequestError(
            ResultCode.NO_ENDPOINT, message, RETRY_AFTER_NO_ENDPOINT
        )

    def _get_return_delay(self, pause: Milliseconds) -> Milliseconds:
        """Return a random delay so that callers don't return together."""
        longest = max(_MIN_RETURN_TIME, int(pause * _RETURN_SHARE))
        return self.generator.randint(0, longest)

    async def _wait_until_clear(
        self,
        job: Job,
        get_wait: Callable[[Job], Milliseconds],
        retry_after: Milliseconds,
    ) -> None:
        give_up_at = self.clock.get_now() + _ISOLATION_TIMEOUT
        wait = get_wait(job)
        while wait:
            if self.clock.get_now() >= give_up_at:
                raise self._create_refusal(job, retry_after)
            await trio.sleep(wait / _MILLISECONDS_PER_SECOND)
            wait = get_wait(job)

    def _get_part_wait(self, job: Job) -> Milliseconds:
        """Return the time to wait for other requests with a prompt part.

        :raises RequestError: if the part is known to end endpoints.
        """
        parts = self.suspects.parts
        now = self.clock.get_now()
        verdict = parts.get_verdict(job.parts, now)
        if verdict is PartVerdict.CLEAR:
            return 0
        if verdict is PartVerdict.CONVICTED:
            suspected = parts.list_suspected(job.parts, now)
            listed = zip(job.parts, job.request.shared_parts, strict=True)
            names = [part.part_id for key, part in listed if key in suspected]
            raise self._create_refusal(
                job,
                RETRY_AFTER_CONVICTED,
                f'endpoints ended while they wrote on part {names[0]} of the '
                'prompt',
            )
        return parts.get_trial_wait(job.request.request_id, job.parts, now)

    def _get_wait(self, job: Job) -> Milliseconds:
        """Return the time to wait before a send, 0 if it may be made now.

        :raises RequestError: if the request must not be sent.
        """
        now = self.clock.get_now()
        verdict = self.suspects.get_verdict(job.fingerprint, now)
        if verdict is Verdict.CLEAR:
            return 0
        if verdict is Verdict.CONVICTED:
            raise self._create_refusal(job, RETRY_AFTER_CONVICTED)
        hold_time = self.suspects.get_hold_time(job.fingerprint, now)
        if hold_time:
            return hold_time
        if verdict is Verdict.HELD:
            raise self._create_refusal(job, RETRY_AFTER_HELD)
        untried = {
            endpoint.endpoint_id for endpoint in self.list_endpoints(job)
        }.difference(job.excluded)
        is_kept_apart = untried and untried <= self.list_excluded(job)
        return _ISOLATION_INTERVAL if is_kept_apart else 0

    def _create_refusal(
        self,
        job: Job,
        retry_after: Milliseconds,
        message: str = 'endpoints ended while they ran this request',
    ) -> RequestError:
        if job.has_started:
            return RequestError(ResultCode.ANSWER_LOST, message)
        return RequestError(ResultCode.REQUEST_HELD, message, retry_after)


@dataclass(slots=True)
class _PlainRun:
    """State of a job while it is run.

    ``scope`` limits the current attempt. ``failure`` is the last 5xx answer
    of an endpoint, which is forwarded if no other endpoint answers.
    """

    job: Job
    response: ResponseWriter
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    failure: HttpResponse | None = None


class PlainRunner:
    """Runs requests whose answers are buffered before being forwarded."""

    def __init__(self, context: RunnerContext) -> None:
        """Create the runner.

        :param tools: cores and clients of the daemon.
        """
        self._context = context

    async def run(self, job: Job, response: ResponseWriter) -> None:
        """Run a job and send its answer to the caller.

        :param job: admitted request.
        :param response: writer to the caller.
        :raises RequestError: if no endpoint gives an answer.
        """
        run = _PlainRun(job, response)
        is_delivered = False
        while not is_delivered:
            is_delivered = await self._run_attempt(run)

    async def _run_attempt(self, run: _PlainRun) -> bool:
        """Make one attempt; return True if the answer was forwarded."""
        await self._context.wait_for_clearance(run.job)
        endpoint = self._select_endpoint(run.job)
        reason = 'no endpoint has room'
        if endpoint is not None:
            if self._context.reserve_send(run.job):
                return await self._send(run, endpoint)
            reason = 'no retry budget is left'
        if run.failure is None:
            raise self._context.create_failure(run.job, reason)
        await self._forward(run, run.failure)
        return True

    def _select_endpoint(self, job: Job) -> EntryEndpoint | None:
        return self._context.placement.select_plain(
            job.service.name,
            self._context.clock.get_now(),
            self._context.list_excluded(job),
        )

    async def _send(self, run: _PlainRun, endpoint: EntryEndpoint) -> bool:
        context = self._context
        job = run.job
        now = context.clock.get_now()
        options = SendOptions(endpoint, job.get_time_left(now), job.customer)
        job.excluded.add(endpoint.endpoint_id)
        run.scope = context.create_attempt_scope(job)
        try:
            with run.scope:
                async with context.exchange.open_answer(job, options) as answer:
                    return await self._handle_answer(run, answer)
        except PeerUnavailableError:
            context.cancel_send(job)
            return False
        except AnswerLostError as error:
            self._record_run(run)
            if self._can_retry(job):
                return False
            raise RequestError(ResultCode.ANSWER_LOST, str(error)) from error
        self._record_run(run)
        context.record_timeout(job, endpoint)
        return False

    async def _handle_answer(
        self, run: _PlainRun, answer: EndpointAnswer
    ) -> bool:
        """Forward an answer; return False to try another endpoint."""
        run.scope.deadline = math.inf
        context = self._context
        head = answer.head
        if head.was_not_run:
            await answer.stream.discard_body()
            return False
        run.job.has_started = True
        body = await context.exchange.receive_body(answer)
        if not head.is_signed:
            # Only the endpoint itself can state that nothing ran, and an
            # unsigned answer may come from elsewhere.
            raise AnswerLostError('the answer bears no signature')
        answer.is_complete = True
        self._record_run(run)
        context.usage.count_request(run.job.customer)
        self._report_health(run.job, answer)
        received = HttpResponse(head.status, head.forwarded_headers, body)
        if head.status >= _STATUS_SERVER_ERROR and self._can_retry(run.job):
            run.failure = received
            return False
        await self._forward(run, received)
        return True

    async def _forward(self, run: _PlainRun, received: HttpResponse) -> None:
        await run.response.send_response(
            received.status, received.headers, received.body
        )

    def _record_run(self, run: _PlainRun) -> None:
        run.job.has_started = True
        run.job.runs += 1

    def _can_retry(self, job: Job) -> bool:
        has_budget = self._context.can_retry(job, job.runs)
        return has_budget and self._select_endpoint(job) is not None

    def _report_health(self, job: Job, answer: EndpointAnswer) -> None:
        placement = self._context.placement
        request_id = job.request.request_id
        now = self._context.clock.get_now()
        if answer.head.status >= _STATUS_SERVER_ERROR:
            placement.record_failure(answer.endpoint, request_id, now)
        else:
            placement.record_success(answer.endpoint, request_id, now)
