"""Connects the admission core to request handling and the timer."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from clementinedyke.admission import events as admission_events
from clementinedyke.admission.core import AdmissionCore
from clementinedyke.admission.service import AdmissionLimits
from clementinedyke.callers.context import RequestContext
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.http.message import RequestError
from clementinedyke.records.directory import Directory
from clementinedyke.routing.core import RouterCore
from clementinedyke.routing.free_capacity_report import (
    compile_free_capacity_report,
)

#: Latest start after arrival if the service record sets no deadline.
_DEFAULT_DEADLINE: Milliseconds = 10000
_NO_ENDPOINT_RETRY_AFTER: Milliseconds = 5000
_TICK_INTERVAL: Milliseconds = 50
_MILLISECONDS_PER_SECOND = 1000
#: Cost of an output token in prompt tokens; decoding is slower than prefill.
_OUTPUT_COST = 4


@dataclass(slots=True)
class _Waiter:
    service: str
    decided: trio.Event = field(default_factory=trio.Event)
    refusal: admission_events.RefuseRequest | None = None
    priority: int = 0


class AdmissionComponent(Component):
    """Runs the admission core of a daemon and wakes waiting requests."""

    def __init__(
        self,
        router: RouterCore,
        clock: Clock,
        get_directory: Callable[[], Directory],
        compute_daemons_per_endpoint: Callable[[str], float],
    ) -> None:
        """Create the component.

        :param router: provides the free capacity of the endpoints.
        :param clock: clock of this process.
        :param get_directory: returns the current records; raises
            :class:`RequestError` if there are none.
        :param compute_daemons_per_endpoint: returns the mean number of daemons
            that use an endpoint of a service.
        """
        self._router = router
        self._clock = clock
        self._get_directory = get_directory
        self._compute_daemons_per_endpoint = compute_daemons_per_endpoint
        self._core = AdmissionCore(AdmissionLimits())
        # Cached because singledispatchmethod builds a function at each access
        # and each request calls the core about six times.
        self._handle = self._core.handle
        self._waiters: dict[str, _Waiter] = {}
        self._revision = -1
        #: Called with each request before it is passed to the core.
        self.arrival_observers: list[Callable[[RequestContext], None]] = []

    @property
    def core(self) -> AdmissionCore:
        """Core that decides which requests start and which are refused."""
        return self._core

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task that sends timer events to the core.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(self._run_timer)

    def receive_consumption(
        self, consumed: admission_events.RemoteConsumption
    ) -> None:
        """Add the token consumption of customers at another daemon.

        :param consumed: tokens consumed since its previous message.
        """
        self._update_core(consumed)

    @asynccontextmanager
    async def admit(self, context: RequestContext) -> AsyncIterator[None]:
        """Wait until a request may start and count it as running until exit.

        :param context: request to admit.
        :raises RequestError: if the request is refused; it was not run.
        """
        request_id = context.outcome.request_id
        waiter = _Waiter(context.route.service.name)
        self._waiters[request_id] = waiter
        try:
            await self._wait_for_start(context, waiter)
            yield
        finally:
            self._waiters.pop(request_id, None)
            self._report_end(context)

    async def _wait_for_start(
        self, context: RequestContext, waiter: _Waiter
    ) -> None:
        service = context.route.service.name
        if not self._router.has_endpoints(service):
            raise RequestError(
                ResultCode.NO_ENDPOINT,
                f'service {service!r} has no endpoint',
                _NO_ENDPOINT_RETRY_AFTER,
            )
        self._report_free_capacity(service)
        for observe in self.arrival_observers:
            observe(context)
        self._update_core(self._compile_arrival(context))
        await waiter.decided.wait()
        refusal = waiter.refusal
        if refusal is not None:
            raise RequestError(
                refusal.code,
                f'service {service!r} is overloaded',
                refusal.retry_after,
            )
        now = self._clock.get_now()
        context.outcome.queue_time = now - context.outcome.received_at
        context.outcome.priority = waiter.priority

    def record_first_byte(self, context: RequestContext) -> None:
        """Report to the core that the prompt of a request was processed.

        :param context: request whose first response byte arrived.
        """
        event = admission_events.PromptProcessed(context.outcome.request_id)
        self._update_core(event)

    def _compile_arrival(
        self, context: RequestContext
    ) -> admission_events.RequestArrived:
        work = context.work
        service = context.route.service
        deadline = service.deadline or _DEFAULT_DEADLINE
        return admission_events.RequestArrived(
            request_id=context.outcome.request_id,
            service=service.name,
            customer=context.route.customer or '',
            cost=work.prompt_tokens + work.output_tokens * _OUTPUT_COST,
            prompt_tokens=work.prompt_tokens,
            start_by=self._clock.get_now() + deadline,
        )

    def _report_end(self, context: RequestContext) -> None:
        outcome = context.outcome
        tokens = outcome.prompt_tokens
        cost = tokens + outcome.completion_tokens * _OUTPUT_COST
        ended = admission_events.RequestEnded(outcome.request_id, cost or None)
        self._update_core(admission_events.CallerLeft(outcome.request_id))
        self._update_core(ended)

    async def _run_timer(self) -> None:
        while True:
            await trio.sleep(_TICK_INTERVAL / _MILLISECONDS_PER_SECOND)
            self._update_weights()
            for service in self._list_waiting_services():
                self._report_free_capacity(service)
            self._update_core(admission_events.AdmissionTicked())

    def _list_waiting_services(self) -> set[str]:
        """Return the services with queued requests.

        The free capacity of other services is reported when their next request
        arrives. Reporting 26 services at each tick took 2% of a CPU core.
        """
        return {
            waiter.service
            for waiter in self._waiters.values()
            if not waiter.decided.is_set()
        }

    def _report_free_capacity(self, service: str) -> None:
        daemons_per_endpoint = self._compute_daemons_per_endpoint(service)
        now = self._clock.get_now()
        self._update_core(
            compile_free_capacity_report(
                self._router, service, daemons_per_endpoint, now
            )
        )

    def _update_weights(self) -> None:
        try:
            directory = self._get_directory()
        except RequestError:
            return
        if directory.revision == self._revision:
            return
        self._revision = directory.revision
        weights = tuple(
            admission_events.CustomerWeight(name, record.weight)
            for name, record in directory.customers.items()
        )
        self._update_core(admission_events.CustomersChanged(weights))

    def _update_core(self, event: object) -> None:
        for action in self._handle(event, self._clock.get_now()):
            waiter = self._waiters.get(action.request_id)
            if waiter is None:
                continue
            if isinstance(action, admission_events.RefuseRequest):
                waiter.refusal = action
            else:
                waiter.priority = action.priority
            waiter.decided.set()
