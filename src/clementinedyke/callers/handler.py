"""Handles the requests of callers from key check to relayed answer."""

import trio

from clementinedyke.callers.authentication import get_customer
from clementinedyke.callers.context import RequestContext
from clementinedyke.callers.dispatch import Dispatcher
from clementinedyke.callers.outcome import RequestOutcome, TokenUsage
from clementinedyke.callers.routing import (
    MODELS_PATH,
    list_models,
    select_route,
)
from clementinedyke.callers.steps import HandlerOptions, RotationSelector
from clementinedyke.codes import ResultCode
from clementinedyke.configuration import ConfigurationComponent
from clementinedyke.endpoints.registry import EndpointRegistry
from clementinedyke.http_server import (
    RequestError,
    ResponseWriter,
    ServerRequest,
    compile_result_headers,
    write_error,
)

_OK = 200


class CallerHandler:
    """The pipeline of caller requests.

    Steps: authenticate, route and validate (``routing``), admit
    (``Admission``), select an endpoint (``EndpointSelector``), dispatch
    (``Dispatcher``) and relay (``AnswerRelay``).
    """

    def __init__(
        self,
        configuration: ConfigurationComponent,
        endpoints: EndpointRegistry,
        options: HandlerOptions | None = None,
    ) -> None:
        """Create the handler.

        :param configuration: source of the records in force.
        :param endpoints: endpoints that can take requests.
        :param options: replaceable steps, limits and observers.
        """
        self._configuration = configuration
        self._options = options or HandlerOptions()
        selector = self._options.selector or RotationSelector(endpoints)
        self._dispatcher = Dispatcher(selector, self._options)

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer one request.

        :param request: request of a caller.
        :param response: writer of the answer.
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
            # The caller has left: the code stays None.
            raise
        except Exception:
            outcome.code = ResultCode.INTERNAL_ERROR
            raise
        else:
            outcome.code = ResultCode.OK
        finally:
            self._observe(outcome)

    async def _answer(
        self,
        request: ServerRequest,
        response: ResponseWriter,
        outcome: RequestOutcome,
    ) -> None:
        directory = self._configuration.get_directory()
        if request.path == MODELS_PATH:
            outcome.customer = get_customer(directory, request)
            headers = compile_result_headers(ResultCode.OK, outcome.request_id)
            await response.send_json(_OK, list_models(directory), headers)
            return
        route = select_route(directory, request)
        request.connection.customer = route.customer
        outcome.customer = route.customer
        outcome.service = route.service.name
        context = RequestContext(request, response, route, outcome)
        async with self._options.admission.admit(context):
            await self._dispatcher.run(context)

    def _observe(self, outcome: RequestOutcome) -> None:
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
