"""Runs jobs at the endpoints that the placement core chooses."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.endpoint_protocol import (
    EndpointProtocol,
    SendOptions,
)
from clementinedyke.entry.exchange import EndpointAnswer, Exchange
from clementinedyke.entry.intake import Job
from clementinedyke.entry.placement import PlacementCore
from clementinedyke.entry.retry_budget import RetryBudgets
from clementinedyke.entry.usage_counter import UsageCounter
from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.client import HttpResponse
from clementinedyke.http.message import RequestError, ResponseWriter

_STATUS_SERVER_ERROR = 500
_MILLISECONDS_PER_SECOND = 1000
#: Part of the time left that an endpoint may be silent before another one
#: gets a request that may run again: one behind a cut never answers.
_TRY_SHARE = 0.5
#: A caller whose request found no room comes back after this time: about one
#: answer of a plain service, or a few steps of an engine.
RETRY_FULL: Milliseconds = 150
#: Ordered engines and restarted endpoints take seconds.
RETRY_ABSENT: Milliseconds = 600


@dataclass(frozen=True, slots=True)
class RunnerTools:
    """What the runners share.

    ``count_daemons`` tells how many daemons share the retry budget.
    """

    protocol: EndpointProtocol
    placement: PlacementCore
    exchange: Exchange
    usage: UsageCounter
    clock: Clock
    count_daemons: Callable[[], int]
    budgets: RetryBudgets

    def may_send(self, job: Job) -> bool:
        """Count a send of a job if it is the first or the budget allows it.

        :param job: job that is about to be sent.
        """
        job.sends += 1
        if job.sends == 1:
            return True
        budget = self.budgets.get_budget(job.service.name)
        return budget.spend(self.count_daemons(), self.clock.get_now())

    def take_back_send(self, job: Job) -> None:
        """Take a send off that could not be made: only arrivals count.

        :param job: job whose endpoint could not be reached.
        """
        job.sends -= 1
        if job.sends:
            self.budgets.get_budget(job.service.name).refund()

    def may_run_again(self, job: Job, runs: int) -> bool:
        """Tell whether a job may be run by another endpoint.

        :param job: job that an endpoint runs or has failed.
        :param runs: runs that count by then.
        """
        if not job.route.is_repeatable or runs >= job.route.max_attempts:
            return False
        budget = self.budgets.get_budget(job.service.name)
        return budget.get_left(self.count_daemons(), self.clock.get_now()) >= 1

    def open_try(self, job: Job) -> trio.CancelScope:
        """Return a scope that ends the wait for a silent endpoint.

        :param job: job that is about to be sent.
        """
        scope = trio.CancelScope()
        if self.may_run_again(job, job.runs + 1):
            left = job.get_time_left(self.clock.get_now())
            seconds = left * _TRY_SHARE / _MILLISECONDS_PER_SECOND
            scope.deadline = trio.current_time() + seconds
        return scope

    def note_silence(self, job: Job, endpoint: EntryEndpoint) -> None:
        """Count a try that was ended because the endpoint was silent.

        :param job: job that the endpoint was to run.
        :param endpoint: endpoint that did not answer.
        """
        now = self.clock.get_now()
        job.failures.append(f'{endpoint.endpoint_id}: silent')
        self.placement.work.note_silence(endpoint, now)
        self.placement.record_failure(endpoint, job.request.request_id, now)

    def create_failure(self, job: Job, message: str) -> RequestError:
        """Return the final answer of a job that no endpoint answers.

        :param job: job that failed.
        :param message: reason.
        """
        if job.has_started:
            return RequestError(ResultCode.ANSWER_LOST, message)
        if self.placement.has_endpoints(job.service.name):
            return RequestError(ResultCode.QUEUE_FULL, message, RETRY_FULL)
        return RequestError(ResultCode.NO_ENDPOINT, message, RETRY_ABSENT)


@dataclass(slots=True)
class _PlainRun:
    """A job on its way, and what an endpoint has answered so far.

    ``failure`` is an endpoint's own, passed on if no other one answers.
    """

    job: Job
    response: ResponseWriter
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    failure: HttpResponse | None = None


class PlainRunner:
    """Runs requests whose answer is received whole before it is passed on."""

    def __init__(self, tools: RunnerTools) -> None:
        """Create the runner.

        :param tools: cores and clients of the daemon.
        """
        self._tools = tools

    async def run(self, job: Job, response: ResponseWriter) -> None:
        """Answer a job.

        :param job: admitted request.
        :param response: writer to the caller.
        :raises RequestError: if no endpoint answers it.
        """
        run = _PlainRun(job, response)
        is_delivered = False
        while not is_delivered:
            is_delivered = await self._advance(run)

    async def _advance(self, run: _PlainRun) -> bool:
        """Make one try; tell whether the answer was the final one."""
        endpoint = self._select(run.job)
        reason = 'no endpoint has room'
        if endpoint is not None:
            if self._tools.may_send(run.job):
                return await self._try(run, endpoint)
            reason = 'no retry budget is left'
        if run.failure is None:
            raise self._tools.create_failure(run.job, reason)
        await self._pass(run, run.failure)
        return True

    def _select(self, job: Job) -> EntryEndpoint | None:
        return self._tools.placement.select_plain(
            job.service.name,
            self._tools.clock.get_now(),
            frozenset(job.excluded),
        )

    async def _try(self, run: _PlainRun, endpoint: EntryEndpoint) -> bool:
        tools = self._tools
        job = run.job
        now = tools.clock.get_now()
        options = SendOptions(endpoint, job.get_time_left(now), job.customer)
        job.excluded.add(endpoint.endpoint_id)
        run.scope = tools.open_try(job)
        try:
            with run.scope:
                async with tools.exchange.open_answer(job, options) as answer:
                    return await self._take(run, answer)
        except PeerUnavailableError:
            tools.take_back_send(job)
            return False
        except AnswerLostError as error:
            self._note_run(run)
            if self._may_run_again(job):
                return False
            raise RequestError(ResultCode.ANSWER_LOST, str(error)) from error
        self._note_run(run)
        tools.note_silence(job, endpoint)
        return False

    async def _take(self, run: _PlainRun, answer: EndpointAnswer) -> bool:
        """Pass an answer on; tell whether it was the final one."""
        run.scope.deadline = math.inf
        head = answer.head
        if head.was_not_run:
            await answer.stream.receive_body()
            return False
        run.job.has_started = True
        body = await answer.stream.receive_body()
        if not head.is_signed:
            # Only the endpoint itself may promise that nothing ran.
            raise AnswerLostError('the answer bears no signature')
        self._note_run(run)
        self._tools.usage.note_start(run.job.customer)
        self._note_health(run.job, answer)
        received = HttpResponse(head.status, head.forwarded_headers, body)
        if head.status >= _STATUS_SERVER_ERROR and self._may_run_again(run.job):
            run.failure = received
            return False
        await self._pass(run, received)
        return True

    async def _pass(self, run: _PlainRun, received: HttpResponse) -> None:
        await run.response.send_whole(
            received.status, received.headers, received.body
        )

    def _note_run(self, run: _PlainRun) -> None:
        run.job.has_started = True
        run.job.runs += 1

    def _may_run_again(self, job: Job) -> bool:
        has_budget = self._tools.may_run_again(job, job.runs)
        return has_budget and self._select(job) is not None

    def _note_health(self, job: Job, answer: EndpointAnswer) -> None:
        placement = self._tools.placement
        request_id = job.request.request_id
        now = self._tools.clock.get_now()
        if answer.head.status >= _STATUS_SERVER_ERROR:
            placement.record_failure(answer.endpoint, request_id, now)
        else:
            placement.record_success(answer.endpoint, request_id, now)
