"""Queue, capacity and refusals of one service."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial

from clementinedyke.admission.events import (
    AdmissionAction,
    CustomerTokens,
    RefuseRequest,
)
from clementinedyke.admission.fair_queue import FairQueue, QueuedRequest
from clementinedyke.admission.rate_meter import RateMeter, ShareMeter
from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.routing.running_work import RunningWork

_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of admission; sizes in tokens, times in milliseconds.

    ``max_queued_requests`` and ``max_queued_tokens`` apply to each customer of
    a service, ``max_total_requests`` to the whole service. ``max_lead`` is
    described in :class:`clementinedyke.admission.fair_queue.FairQueue`.
    ``rate_window`` is the time constant of the average start rate,
    ``share_window`` that of the rates by which customers are compared.
    """

    max_queued_requests: int = 64
    max_queued_tokens: int = 400_000
    max_total_requests: int = 512
    max_lead: float = 100_000
    rate_window: Milliseconds = 4000
    share_window: Milliseconds = 10_000
    min_retry_after: Milliseconds = 1000
    max_retry_after: Milliseconds = 30_000


class ServiceAdmission:
    """Queue and running work of one service at this daemon."""

    def __init__(self, limits: AdmissionLimits) -> None:
        """Create the state of a service whose free capacity is unknown.

        :param limits: limits of admission.
        """
        self._limits = limits
        self._start_rate = RateMeter(limits.rate_window)
        self._shares = ShareMeter(limits.share_window)
        self._unreported: dict[str, float] = {}
        self.queue = FairQueue(limits.max_lead)
        self.running = RunningWork()

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights of customers; others have weight 1.

        :param weights: positive weight per customer.
        """
        self.queue.set_weights(weights)
        self._shares.set_weights(weights)

    def get_refusal(
        self, request: QueuedRequest, now: Milliseconds
    ) -> RefuseRequest | None:
        """Return the refusal of a new request, None if it may be queued.

        :param request: request that is not queued yet.
        :param now: current time.
        """
        limits = self._limits
        count, tokens = self.queue.get_backlog(request.customer)
        code = None
        wait = self._estimate_wait(request, now)
        if count >= limits.max_queued_requests or (
            count and tokens + request.cost > limits.max_queued_tokens
        ):
            code = ResultCode.CUSTOMER_LIMIT
        elif len(self.queue) >= limits.max_total_requests:
            code = ResultCode.QUEUE_FULL
        elif now + wait > request.start_by:
            code = ResultCode.DEADLINE_UNREACHABLE
        if code is None:
            return None
        return self._compile_refusal(request, code, wait)

    def refuse_expired(self, now: Milliseconds) -> list[AdmissionAction]:
        """Remove and refuse queued requests whose deadline has passed.

        :param now: current time.
        """
        return [
            self._compile_refusal(
                request,
                ResultCode.DEADLINE_UNREACHABLE,
                self._estimate_wait(request, now),
            )
            for request in self.queue.pop_expired(now)
        ]

    def start_next(self, now: Milliseconds) -> QueuedRequest | None:
        """Start and return the next request, None if none can start.

        :param now: current time.
        """
        if not self.running.has_free_capacity:
            return None
        can_start = None
        if not self.running.has_excess_capacity:
            can_start = partial(self._can_start, now=now)
        request = self.queue.pop(can_start)
        if request is None:
            return None
        self.running.start(request.prompt_tokens)
        self._start_rate.add(request.cost, now)
        self._shares.add(request.customer, request.cost, now)
        self.record_consumption(request.customer, request.cost)
        return request

    def record_consumption(self, customer: str, tokens: float) -> None:
        """Count tokens that are to be reported to other daemons.

        :param customer: customer that consumed them.
        :param tokens: consumed tokens; negative to correct an estimate.
        """
        self._unreported[customer] = self._unreported.get(customer, 0) + tokens

    def is_over_share(self, customer: str, now: Milliseconds) -> bool:
        """Return whether requests are queued and a customer is over its share.

        :param customer: customer of a request that starts.
        :param now: current time.
        """
        if not len(self.queue):
            return False
        return self._shares.is_over_share(customer, now)

    def add_remote_consumption(
        self, customer: str, tokens: float, now: Milliseconds
    ) -> None:
        """Count tokens that a customer consumed at another daemon.

        :param customer: any customer.
        :param tokens: tokens consumed since its previous message.
        :param now: current time.
        """
        self.queue.add_remote_consumption(customer, tokens)
        self._shares.add(customer, tokens, now)

    def pop_consumption(self, now: Milliseconds) -> tuple[CustomerTokens, ...]:
        """Return and reset the consumption since the last call.

        :param now: current time.
        """
        consumed = tuple(
            CustomerTokens(customer, tokens)
            for customer, tokens in self._unreported.items()
            if tokens > 0
        )
        self._unreported.clear()
        self.queue.remove_idle_customers()
        self._shares.remove_idle_customers(now)
        return consumed

    def _estimate_wait(
        self, request: QueuedRequest, now: Milliseconds
    ) -> Milliseconds:
        rate = self._start_rate.get_rate(now)
        ahead = self.queue.estimate_work_ahead(request)
        if not self._can_start(request.customer, now):
            # Capacity for the request itself has to become free as well.
            ahead += request.cost
        if not ahead or not rate:
            return 0
        return round(ahead * _MILLISECONDS_PER_SECOND / rate)

    def _can_start(self, customer: str, now: Milliseconds) -> bool:
        if self.running.has_excess_capacity:
            return True
        if not self.running.has_free_capacity:
            return False
        return not self._shares.is_over_share(customer, now)

    def _compile_refusal(
        self, request: QueuedRequest, code: ResultCode, wait: Milliseconds
    ) -> RefuseRequest:
        limits = self._limits
        retry_after = max(limits.min_retry_after, wait)
        return RefuseRequest(
            request_id=request.request_id,
            code=code,
            retry_after=min(retry_after, limits.max_retry_after),
        )
