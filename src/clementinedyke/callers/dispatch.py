"""Dispatches requests to endpoints and retries failed attempts."""

import trio

from clementinedyke.callers.context import RequestContext, SelectedEndpoint
from clementinedyke.callers.outcome import Attempt
from clementinedyke.callers.relay import ResponseRelay
from clementinedyke.callers.steps import EndpointSelector, HandlerOptions
from clementinedyke.callers.validation import strip_headers
from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.exceptions import (
    AnswerLostError,
    PeerUnavailableError,
    ProtocolError,
)
from clementinedyke.http.client import HttpRequest
from clementinedyke.http.server import RequestError
from clementinedyke.quarantine.core import Verdict

_MILLISECONDS_PER_SECOND = 1000
#: Maximum time that a request suspected of crashing endpoints waits for an
#: endpoint that runs no other suspect, if the service sets no deadline.
_ISOLATION_TIMEOUT: Milliseconds = 10000
_ISOLATION_POLL_INTERVAL: Milliseconds = 50
_REFUSED_VERDICTS = frozenset((Verdict.HELD, Verdict.CONVICTED))


class Dispatcher:
    """Tries endpoints until one responds or no retry is allowed.

    An attempt fails before anything was sent, before the first response byte
    was relayed, or after it. A non-repeatable request is retried only in the
    first case, and no request is retried in the last.
    """

    def __init__(
        self, selector: EndpointSelector, options: HandlerOptions
    ) -> None:
        """Create the dispatcher.

        :param selector: selects the endpoint of each attempt.
        :param options: limits, clock, retry policy and quarantine.
        """
        self._selector = selector
        self._options = options

    async def run(self, context: RequestContext) -> None:
        """Dispatch a request and relay the response to the caller.

        :param context: admitted request.
        :raises RequestError: if every attempt failed or no endpoint was
            available.
        """
        timeout = self._options.limits.request_timeout
        deadline = trio.current_time() + timeout / _MILLISECONDS_PER_SECOND
        await self._try_endpoints(context, deadline)

    async def _try_endpoints(
        self, context: RequestContext, deadline: float
    ) -> None:
        failure: RequestError | None = None
        excluded: frozenset[str] = frozenset()
        for _ in range(self._options.limits.max_attempts):
            endpoint = await self._select(context, excluded)
            if endpoint is None:
                break
            latest_failure = await self._run_attempt(
                context, endpoint, deadline
            )
            if latest_failure is None:
                return
            failure = _select_failure(failure, latest_failure)
            if not await self._wait_for_retry(
                context, latest_failure, deadline
            ):
                break
            excluded |= {endpoint.name}
        raise failure or RequestError(
            ResultCode.NO_ENDPOINT,
            f'service {context.route.service.name!r} has no endpoint',
        )

    async def _select(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        """Return an endpoint, None if none became available in time.

        A request suspected of crashing endpoints waits until its lost
        attempts have been examined and an endpoint runs no other suspect.
        """
        limit = context.route.service.deadline or _ISOLATION_TIMEOUT
        with trio.move_on_after(limit / _MILLISECONDS_PER_SECOND):
            return await self._wait_for_endpoint(context, excluded)
        return None

    async def _wait_for_endpoint(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> SelectedEndpoint | None:
        while not self._is_refused(context):
            wait = self._options.get_remaining_hold_time(
                context.work.fingerprint
            )
            if not wait:
                endpoint = self._selector.select(context, excluded)
                if endpoint is not None or not self._is_suspect(context):
                    return endpoint
                wait = _ISOLATION_POLL_INTERVAL
            await trio.sleep(wait / _MILLISECONDS_PER_SECOND)
        return None

    def _is_suspect(self, context: RequestContext) -> bool:
        verdict = self._options.get_verdict(context.work.fingerprint)
        return verdict is Verdict.SUSPECT

    def _is_refused(self, context: RequestContext) -> bool:
        return self._options.get_worst_verdict(context) in _REFUSED_VERDICTS

    async def _wait_for_retry(
        self, context: RequestContext, failure: RequestError, deadline: float
    ) -> bool:
        """Wait before a retry and return whether it may run."""
        wait = self._plan_retry(context, failure)
        if wait is None:
            return False
        resume_at = trio.current_time() + wait / _MILLISECONDS_PER_SECOND
        if resume_at >= deadline:
            return False
        await trio.sleep_until(resume_at)
        return not self._is_refused(context)

    def _plan_retry(
        self, context: RequestContext, failure: RequestError
    ) -> Milliseconds | None:
        """Return the delay before the next attempt, None for no retry."""
        if context.response.is_started:
            return None
        is_unsent = failure.code is ResultCode.NO_ENDPOINT
        if not is_unsent and not context.is_repeatable:
            return None
        limit = context.route.service.deadline
        limit = limit or self._options.limits.first_byte_timeout
        deadline = context.outcome.received_at + limit
        retries = self._options.retries
        wait = retries.plan_retry(context, failure.code, deadline)
        if wait is None:
            return None
        return max(
            wait,
            self._options.get_remaining_hold_time(context.work.fingerprint),
        )

    async def _run_attempt(
        self,
        context: RequestContext,
        endpoint: SelectedEndpoint,
        deadline: float,
    ) -> RequestError | None:
        code: ResultCode | None = None
        try:
            await self._exchange(context, endpoint, deadline)
        except RequestError as failure:
            code = failure.code
            return failure
        else:
            code = ResultCode.OK
            self._options.retries.record_success(context)
            return None
        finally:
            context.outcome.attempts.append(Attempt(endpoint.name, code))
            self._selector.record_attempt_end(context, endpoint.name, code)

    async def _exchange(
        self,
        context: RequestContext,
        endpoint: SelectedEndpoint,
        deadline: float,
    ) -> None:
        timeout = self._options.limits.first_byte_timeout
        first_byte_deadline = (
            trio.current_time() + timeout / _MILLISECONDS_PER_SECOND
        )
        scope = trio.CancelScope(deadline=min(first_byte_deadline, deadline))
        with scope:
            try:
                await self._relay(context, endpoint, scope, deadline)
            except PeerUnavailableError as error:
                raise RequestError(
                    ResultCode.NO_ENDPOINT, str(error)
                ) from error
            except (AnswerLostError, ProtocolError) as error:
                raise RequestError(
                    ResultCode.ANSWER_LOST, str(error)
                ) from error
        if scope.cancelled_caught:
            raise RequestError(
                ResultCode.ENDPOINT_TIMEOUT,
                f'{endpoint.name} did not answer in time',
            )

    async def _relay(
        self,
        context: RequestContext,
        endpoint: SelectedEndpoint,
        scope: trio.CancelScope,
        deadline: float,
    ) -> None:
        def record_first_byte() -> None:  # noqa: WPS430
            scope.deadline = deadline
            context.outcome.first_byte_at = self._options.clock.get_now()
            self._selector.record_first_byte(context)
            self._options.admission.record_first_byte(context)

        request = _compile_request(context)
        async with endpoint.client.open_response(request) as upstream:
            relay = ResponseRelay(
                context,
                upstream,
                record_first_byte,
                self._options.limits.max_buffered_bytes,
                endpoint.client.check_listening,
            )
            await relay.run()


def _compile_request(context: RequestContext) -> HttpRequest:
    request = context.request
    request_id = context.outcome.request_id.encode()
    headers = list(strip_headers(request.headers))
    if context.route.is_model:
        # Token usage cannot be read from a compressed response.
        headers = [pair for pair in headers if pair[0] != b'accept-encoding']
    return HttpRequest(
        method=request.method,
        target=context.route.target,
        headers=[*headers, (b'Clementinedyke-Request-Id', request_id)],
        body=_compile_body(context),
    )


def _compile_body(context: RequestContext) -> bytes:
    """Return the body with the priority set by admission.

    Engines run lower numbers first. The member is appended because the last
    of several members with one name takes effect, so that a caller cannot set
    its own priority.
    """
    body = context.request.body
    if not context.route.is_model:
        return body
    priority = -context.outcome.priority
    return body.rstrip().removesuffix(b'}') + b',"priority":%d}' % priority


def _select_failure(
    earlier_failure: RequestError | None, latest_failure: RequestError
) -> RequestError:
    """Return the failure to report to the caller.

    A failure of a sent request is kept, so that a request that may have run is
    never reported as not run.
    """
    if (
        earlier_failure is None
        or earlier_failure.code is ResultCode.NO_ENDPOINT
    ):
        return latest_failure
    return earlier_failure
