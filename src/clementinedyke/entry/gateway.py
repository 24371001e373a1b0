"""Entry point for the requests of callers."""

from collections.abc import Awaitable, Callable

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode, get_details
from clementinedyke.entry.catalog import RequestKind
from clementinedyke.entry.endpoint_protocol import EndpointProtocol
from clementinedyke.entry.intake import Intake, Job, Refusal
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.outcomes import StreamBroken
from clementinedyke.entry.runners import PlainRunner, RunnerContext
from clementinedyke.entry.stream_runner import StreamRunner
from clementinedyke.http.message import (
    RequestError,
    ResponseWriter,
    ServerRequest,
    compile_error_body,
)

_MILLISECONDS_PER_SECOND = 1000
#: Extra wait after the deadline for the answer of an endpoint that stops at
#: the deadline and reports it.
_DEADLINE_GRACE: Milliseconds = 120
#: Delay for callers that another daemon can serve at once.
_RETRY_AFTER_STOP: Milliseconds = 100
#: Ids of shared prompt parts in a log line.
_MAX_LOGGED_PARTS = 8


class Gateway:
    """Admits requests, runs them and sends the final answers."""

    def __init__(
        self, intake: Intake, context: RunnerContext, journal: Journal
    ) -> None:
        """Create the gateway.

        :param intake: decides which requests are admitted.
        :param tools: cores and clients of the daemon.
        :param journal: structured log of request outcomes.
        """
        self._intake = intake
        self._context = context
        self._journal = journal
        self._plain_runner = PlainRunner(context)
        self._stream_runner: StreamRunner | None = None
        #: Scopes of the requests that are open.
        self._scopes: set[trio.CancelScope] = set()
        self._is_ending = False
        #: Called at the end of each admitted request with the result code
        #: (None if the caller disconnected), the job and the duration in ms.
        self.observe: Callable[[ResultCode | None, Job, Milliseconds], None] = (
            _ignore_outcome
        )
        #: Processes the messages of other daemons that have arrived.
        self.process_messages: Callable[[], Awaitable[None]] = (
            trio.lowlevel.checkpoint
        )

    def set_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery for tasks that may outlive their request.

        :param nursery: nursery of the daemon.
        """
        self._stream_runner = StreamRunner(self._context, nursery)

    def end_requests(self) -> None:
        """Answer all open requests now, as the daemon is about to end.

        Their connections would be closed without an answer. Streams that have
        begun are broken off.
        """
        self._is_ending = True
        for scope in self._scopes:
            scope.cancel()

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer a request of a caller.

        :param request: request with its complete body.
        :param response: writer to the caller.
        """
        await self.process_messages()
        now = self._clock.get_now()
        decoded = self._protocol.read_request(request)
        if decoded is None:
            refusal = Refusal(ResultCode.BODY_INVALID, 'no request id')
            await self._refuse(refusal, response)
            return
        admitted = self._intake.admit(decoded, now, request.connection)
        if isinstance(admitted, Refusal):
            self._journal.write(
                'request_refused',
                request=decoded.request_id,
                code=int(admitted.code),
                reason=admitted.message,
            )
            await self._refuse(admitted, response)
            return
        self._context.budgets.get_budget(admitted.service.name).record_request(
            now
        )
        await self._run(admitted, response)

    @property
    def _clock(self) -> Clock:
        return self._context.clock

    @property
    def _protocol(self) -> EndpointProtocol:
        return self._context.protocol

    async def _run(self, job: Job, response: ResponseWriter) -> None:
        code = None
        reason = 'the caller left'
        try:
            await self._run_in_time(job, response)
            code, reason = ResultCode.OK, ''
        except RequestError as failure:
            code, reason = failure.code, str(failure)
            refusal = Refusal(code, reason, failure.retry_after)
            await self._refuse(refusal, response)
        except StreamBroken as broken:
            code, reason = ResultCode.ANSWER_LOST, str(broken)
        finally:
            self._context.suspects.parts.end_trial(job.request.request_id)
            self._record_end(job, code, reason)

    async def _run_in_time(self, job: Job, response: ResponseWriter) -> None:
        left = job.get_time_left(self._clock.get_now()) + _DEADLINE_GRACE
        with trio.move_on_after(left / _MILLISECONDS_PER_SECOND) as scope:
            self._scopes.add(scope)
            try:
                await self._run_with(job, response)
            finally:
                self._scopes.discard(scope)
            return
        raise self._create_interruption(job, response)

    async def _run_with(self, job: Job, response: ResponseWriter) -> None:
        if job.route.kind is RequestKind.STREAM and self._stream_runner:
            await self._stream_runner.run(job, response)
        else:
            await self._plain_runner.run(job, response)

    def _create_interruption(
        self, job: Job, response: ResponseWriter
    ) -> RequestError | StreamBroken:
        """Return the error of a job that its deadline or a stop interrupted."""
        reason = 'the deadline has passed'
        if self._is_ending:
            reason = 'the daemon is shutting down'
        if response.is_started:
            return StreamBroken(reason)
        if job.has_started or job.sends:
            return RequestError(ResultCode.ENDPOINT_TIMEOUT, reason)
        if self._is_ending:
            return RequestError(
                ResultCode.SHUTTING_DOWN, reason, _RETRY_AFTER_STOP
            )
        return RequestError(ResultCode.DEADLINE_UNREACHABLE, reason)

    async def _refuse(self, refusal: Refusal, response: ResponseWriter) -> None:
        headers = self._protocol.compile_refusal_headers(refusal.retry_after)
        await response.send_json(
            get_details(refusal.code).status,
            compile_error_body(refusal.code, refusal.message),
            [
                *headers,
                (b'Clementinedyke-Result', str(int(refusal.code)).encode()),
            ],
        )

    def _record_end(
        self, job: Job, code: ResultCode | None, reason: str
    ) -> None:
        duration = self._clock.get_now() - job.received_at
        self.observe(code, job, duration)
        self._journal.write(
            'request_ended',
            request=job.request.request_id,
            route=job.route.name,
            customer=job.customer,
            fingerprint=job.fingerprint,
            code=None if code is None else int(code),
            reason=reason,
            started=job.has_started,
            sends=job.sends,
            runs=job.runs,
            reads=job.reads,
            duration_ms=duration,
            read_ms=_get_delay(job, job.read_at),
            first_event_ms=_get_delay(job, job.first_event_at),
            prompt=job.request.prompt_tokens,
            parts=[
                part.part_id
                for part in job.request.shared_parts[:_MAX_LOGGED_PARTS]
            ],
            retries_left=round(self._context.get_remaining_retries(job), 1),
            path=job.path,
            versions=job.versions,
            resumes=job.request.resumed_request,
            after_event=job.request.last_event_id,
            framing=None if job.framing is None else job.framing.value,
            cut_bytes=job.cut_bytes,
            failures=job.failures,
            relays=job.relays,
        )


def _get_delay(job: Job, at: Milliseconds | None) -> Milliseconds | None:
    return None if at is None else at - job.received_at


def _ignore_outcome(
    code: ResultCode | None, job: Job, duration: Milliseconds
) -> None:
    """Do nothing; default observer of a gateway without metrics."""
