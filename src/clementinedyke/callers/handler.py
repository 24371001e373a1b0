"""Handles requests from authentication to the relayed response."""

import trio

from clementinedyke.callers.authentication import get_customer
from clementinedyke.callers.claiming import ClaimedDispatch
from clementinedyke.callers.context import RequestContext
from clementinedyke.callers.customer_limits import TokenRateLimit
from clementinedyke.callers.dispatch import Dispatcher
from clementinedyke.callers.outcome import RequestOutcome, TokenUsage
from clementinedyke.callers.routing import (
    MODELS_PATH,
    list_models,
    select_route,
)
from clementinedyke.callers.rules import check_service_rules, check_verdict
from clementinedyke.callers.steps import HandlerOptions, RoundRobinSelector
from clementinedyke.codes import ResultCode
from clementinedyke.configuration.component import ConfigurationComponent
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http.server import (
    RequestError,
    ResponseWriter,
    ServerRequest,
    compile_result_headers,
    write_error,
)

_OK = 200
#: In milliseconds.
_RETRY_AFTER = 2000


class CallerHandler:
    """Request pipeline of the caller port.

    Steps: authenticate, route and validate (``routing``), admit
    (``Admission``), select an endpoint (``EndpointSelector``), dispatch
    (``Dispatcher``) and relay (``ResponseRelay``).
    """

    def __init__(
        self,
        configuration: ConfigurationComponent,
        endpoints: EndpointRegistry,
        options: HandlerOptions | None = None,
    ) -> None:
        """Create the handler.

        :param configuration: provides the current records.
        :param endpoints: endpoints of the default selector.
        :param options: replaceable steps, limits and observers.
        """
        self._configuration = configuration
        self._options = options or HandlerOptions()
        selector = self._options.selector or RoundRobinSelector(endpoints)
        self._dispatcher = Dispatcher(selector, self._options)
        self._token_rates = TokenRateLimit(
            self._options.clock, self._options.count_daemons
        )
        self._claimed_dispatch: ClaimedDispatch | None = None
        if self._options.claims is not None:
            self._claimed_dispatch = ClaimedDispatch(
                self._options.claims, self._dispatcher.run
            )

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer one request and report its outcome to the observers.

        :param request: request of a caller.
        :param response: writer of the response.
        """
        outcome = RequestOutcome(self._options.clock.get_now())
        try:
            await self._answer(request, response, outcome)
        except RequestError as error:
            outcome.code = error.code
            if response.is_started:
                raise
            await write_error(response, error, outcome.request_id)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller disconnected, which a code of None indicates.
            raise
        except Exception:
            outcome.code = ResultCode.INTERNAL_ERROR
            raise
        else:
            outcome.code = outcome.code or ResultCode.OK
        finally:
            self._report_outcome(outcome)

    async def _answer(
        self,
        request: ServerRequest,
        response: ResponseWriter,
        outcome: RequestOutcome,
    ) -> None:
        directory = self._configuration.get_directory()
        if request.path == MODELS_PATH:
            customer = get_customer(directory, request)
            outcome.customer = customer
            self._options.connection_limit.register_connection(
                directory, request.connection, customer
            )
            headers = compile_result_headers(ResultCode.OK, outcome.request_id)
            await response.send_json(_OK, list_models(directory), headers)
            return
        route = select_route(directory, request)
        outcome.customer = route.customer
        outcome.service = route.service.name
        if route.customer is not None:
            self._options.connection_limit.register_connection(
                directory, request.connection, route.customer
            )
        context = RequestContext(request, response, route, outcome)
        try:
            self._check_startable(context)
            with self._token_rates.charge_request(directory, context):
                async with self._options.admission.admit(context):
                    request.connection.pass_on()
                    await self._dispatch(context)
        finally:
            self._options.end_request(outcome.request_id)

    def _check_startable(self, context: RequestContext) -> None:
        """Refuse a request that may not run before it is queued."""
        is_authenticated = context.route.customer is not None
        if is_authenticated and not self._configuration.is_key_state_fresh():
            raise RequestError(
                ResultCode.KEY_STATE_STALE,
                'the state of API keys has not been confirmed lately',
                _RETRY_AFTER,
            )
        check_service_rules(context, self._options.region)
        check_verdict(self._options.get_worst_verdict(context))

    async def _dispatch(self, context: RequestContext) -> None:
        key = context.idempotency_key
        if key is None:
            await self._dispatcher.run(context)
        elif self._claimed_dispatch is None:
            raise RequestError(
                ResultCode.CLAIM_UNAVAILABLE, 'claims are not available'
            )
        else:
            await self._claimed_dispatch.run(context, key)

    def _report_outcome(self, outcome: RequestOutcome) -> None:
        outcome.ended_at = self._options.clock.get_now()
        self._options.observe_outcome(outcome)
        if outcome.customer is None or outcome.service is None:
            return
        if outcome.prompt_tokens or outcome.completion_tokens:
            usage = TokenUsage(
                outcome.customer,
                outcome.service,
                outcome.prompt_tokens,
                outcome.completion_tokens,
            )
            self._options.observe_usage(usage)
