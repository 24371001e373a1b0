"""Runs jobs at the endpoints that the placement core chooses."""

from collections.abc import Callable
from dataclasses import dataclass

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
from clementinedyke.http_message import RequestError, ResponseWriter

_STATUS_SERVER_ERROR = 500
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
        is_delivered = False
        while not is_delivered:
            endpoint = self._tools.placement.select_any(
                job.service.name,
                self._tools.clock.get_now(),
                frozenset(job.excluded),
            )
            if endpoint is None:
                raise self._tools.create_failure(job, 'no endpoint has room')
            if not self._tools.may_send(job):
                raise self._tools.create_failure(job, 'no retry budget is left')
            is_delivered = await self._try(job, endpoint, response)

    async def _try(
        self, job: Job, endpoint: EntryEndpoint, response: ResponseWriter
    ) -> bool:
        tools = self._tools
        now = tools.clock.get_now()
        options = SendOptions(endpoint, job.get_time_left(now), job.customer)
        job.excluded.add(endpoint.endpoint_id)
        try:
            async with tools.exchange.open_answer(job, options) as answer:
                return await self._take(job, answer, response)
        except PeerUnavailableError:
            tools.take_back_send(job)
            return False
        except AnswerLostError as error:
            job.has_started = True
            job.runs += 1
            if self._may_run_again(job):
                return False
            raise RequestError(ResultCode.ANSWER_LOST, str(error)) from error

    async def _take(
        self, job: Job, answer: EndpointAnswer, response: ResponseWriter
    ) -> bool:
        """Pass an answer on; tell whether it was the final one."""
        head = answer.head
        if head.was_not_run:
            await answer.stream.receive_body()
            return False
        job.has_started = True
        body = await answer.stream.receive_body()
        if not head.is_signed:
            # Only the endpoint itself may promise that nothing ran.
            raise AnswerLostError('the answer bears no signature')
        job.runs += 1
        self._tools.usage.note_start(job.customer)
        self._note_health(job, answer)
        is_failure = head.status >= _STATUS_SERVER_ERROR
        if is_failure and self._may_run_again(job):
            return False
        await response.send_whole(head.status, head.forwarded_headers, body)
        return True

    def _may_run_again(self, job: Job) -> bool:
        if not job.route.is_repeatable or job.runs >= job.route.max_attempts:
            return False
        now = self._tools.clock.get_now()
        budget = self._tools.budgets.get_budget(job.service.name)
        has_budget = budget.get_left(self._tools.count_daemons(), now) >= 1
        has_other = self._tools.placement.select_any(
            job.service.name, now, frozenset(job.excluded)
        )
        return has_budget and has_other is not None

    def _note_health(self, job: Job, answer: EndpointAnswer) -> None:
        placement = self._tools.placement
        request_id = job.request.request_id
        now = self._tools.clock.get_now()
        if answer.head.status >= _STATUS_SERVER_ERROR:
            placement.note_failure(answer.endpoint, request_id, now)
        else:
            placement.note_success(answer.endpoint, request_id, now)
