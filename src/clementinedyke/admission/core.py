"""Decides when requests start and which ones are refused."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatchmethod

from clementinedyke.admission.events import (
    AdmissionAction,
    AdmissionTicked,
    CallerLeft,
    CustomersChanged,
    FreeCapacityReported,
    PromptProcessed,
    RemoteConsumption,
    RequestArrived,
    RequestEnded,
    StartRequest,
)
from clementinedyke.admission.fair_queue import QueuedRequest
from clementinedyke.admission.service import AdmissionLimits, ServiceAdmission
from clementinedyke.clock import Milliseconds

#: Thresholds in milliseconds for the time left until ``start_by``. Each one
#: that the time left is below adds 1 to the priority, so that engines run
#: urgent requests first. While other requests are queued, those of a customer
#: over its share get the lowest priority.
_PRIORITY_LIMITS = (500, 1000, 2000)
_LOWEST_PRIORITY = 0


@dataclass(slots=True)
class _StartedRequest:
    service: ServiceAdmission
    request: QueuedRequest
    is_prompt_pending: bool = True


class AdmissionCore:
    """Queues, starts and refuses requests; performs no I/O."""

    def __init__(self, limits: AdmissionLimits) -> None:
        """Create a core without services.

        :param limits: limits of admission.
        """
        self._limits = limits
        self._weights: Mapping[str, float] = {}
        self._services: dict[str, ServiceAdmission] = {}
        self._queued: dict[str, ServiceAdmission] = {}
        self._started: dict[str, _StartedRequest] = {}

    @property
    def started_count(self) -> int:
        """Number of requests that were started and have not ended."""
        return len(self._started)

    @property
    def queued_count(self) -> int:
        """Number of queued requests."""
        return len(self._queued)

    def pop_consumption(self, now: Milliseconds) -> list[RemoteConsumption]:
        """Return and reset the consumption not yet sent to other daemons.

        :param now: current time.
        """
        messages = [
            RemoteConsumption(name, service.pop_consumption(now))
            for name, service in self._services.items()
        ]
        return [message for message in messages if message.consumed]

    @singledispatchmethod
    def handle(self, event: object, now: Milliseconds) -> list[AdmissionAction]:
        """Process an event and return the requests to start and to refuse.

        :param event: event of :mod:`clementinedyke.admission.events`.
        :param now: current time.
        :raises TypeError: if the type of the event is not supported.
        """
        raise TypeError(f'{event!r} is not an event of the admission core')

    @handle.register
    def _handle_customers(
        self, event: CustomersChanged, now: Milliseconds
    ) -> list[AdmissionAction]:
        self._weights = {item.customer: item.weight for item in event.weights}
        for service in self._services.values():
            service.set_weights(self._weights)
        return []

    @handle.register
    def _handle_arrival(
        self, event: RequestArrived, now: Milliseconds
    ) -> list[AdmissionAction]:
        service = self._get_service(event.service)
        request = QueuedRequest(
            start_by=event.start_by,
            request_id=event.request_id,
            customer=event.customer,
            cost=event.cost,
            prompt_tokens=event.prompt_tokens,
        )
        refusal = service.get_refusal(request, now)
        if refusal is not None:
            return [refusal]
        service.queue.push(request)
        self._queued[event.request_id] = service
        return self._start_queued(service, now)

    @handle.register
    def _handle_prompt(
        self, event: PromptProcessed, now: Milliseconds
    ) -> list[AdmissionAction]:
        started = self._started.get(event.request_id)
        if started is None or not started.is_prompt_pending:
            return []
        started.is_prompt_pending = False
        started.service.running.end_prompt(started.request.prompt_tokens)
        return self._start_queued(started.service, now)

    @handle.register
    def _handle_end(
        self, event: RequestEnded, now: Milliseconds
    ) -> list[AdmissionAction]:
        started = self._started.pop(event.request_id, None)
        if started is None:
            return []
        service = started.service
        request = started.request
        if started.is_prompt_pending:
            service.running.end_prompt(request.prompt_tokens)
        service.running.end_stream()
        if event.cost is not None:
            service.queue.adjust(request.customer, event.cost - request.cost)
            service.record_consumption(
                request.customer, event.cost - request.cost
            )
        return self._start_queued(service, now)

    @handle.register
    def _handle_caller_left(
        self, event: CallerLeft, now: Milliseconds
    ) -> list[AdmissionAction]:
        service = self._queued.pop(event.request_id, None)
        if service is None:
            return self.handle(RequestEnded(event.request_id), now)
        service.queue.remove(event.request_id)
        return self._start_queued(service, now)

    @handle.register
    def _handle_free_capacity(
        self, event: FreeCapacityReported, now: Milliseconds
    ) -> list[AdmissionAction]:
        service = self._get_service(event.service)
        service.running.set_free_capacity(
            event.free_capacity, event.excess_capacity
        )
        return self._start_queued(service, now)

    @handle.register
    def _handle_remote_consumption(
        self, event: RemoteConsumption, now: Milliseconds
    ) -> list[AdmissionAction]:
        service = self._get_service(event.service)
        for item in event.consumed:
            service.add_remote_consumption(item.customer, item.tokens, now)
        return []

    @handle.register
    def _handle_tick(
        self, event: AdmissionTicked, now: Milliseconds
    ) -> list[AdmissionAction]:
        actions: list[AdmissionAction] = []
        for service in self._services.values():
            actions.extend(self._start_queued(service, now))
        return actions

    def _start_queued(
        self, service: ServiceAdmission, now: Milliseconds
    ) -> list[AdmissionAction]:
        actions = service.refuse_expired(now)
        for refusal in actions:
            self._queued.pop(refusal.request_id)
        while True:
            request = service.start_next(now)
            if request is None:
                return actions
            self._queued.pop(request.request_id)
            self._started[request.request_id] = _StartedRequest(
                service, request
            )
            priority = _get_priority(request.start_by - now)
            if service.is_over_share(request.customer, now):
                priority = _LOWEST_PRIORITY
            actions.append(StartRequest(request.request_id, priority))

    def _get_service(self, name: str) -> ServiceAdmission:
        service = self._services.get(name)
        if service is None:
            service = ServiceAdmission(self._limits)
            service.set_weights(self._weights)
            self._services[name] = service
        return service


def _get_priority(time_left: Milliseconds) -> int:
    urgency = sum(1 for limit in _PRIORITY_LIMITS if time_left < limit)
    return _LOWEST_PRIORITY + 1 + urgency
