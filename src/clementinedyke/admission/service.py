"""Queue, room and refusals of one service."""

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

    ``max_lead``
    is described in :class:`clementinedyke.admission.fair_queue.FairQueue`.
    ``rate_window`` is the time over which the start rate is averaged,
    ``share_window`` that over which the shares of customers are compared.
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
        """Create the state of a service whose room is not known.

        :param limits: limits of admission.
        """
        self._limits = limits
        self._meter = RateMeter(limits.rate_window)
        self._shares = ShareMeter(limits.share_window)
        self._consumed: dict[str, float] = {}
        self.queue = FairQueue(limits.max_lead)
        self.running = RunningWork()

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Take the weights of customers; others have weight 1.

        :param weights: positive weight per customer.
        """
        self.queue.set_weights(weights)
        self._shares.set_weights(weights)

    def get_refusal(
        self, request: QueuedRequest, now: Milliseconds
    ) -> RefuseRequest | None:
        """Return the refusal of a request that should not be queued.

        :param request: request that arrived.
        :param now: current time.
        """
        limits = self._limits
        count, tokens = self.queue.get_backlog(request.customer)
        code = None
        wait = self._get_wait(request, now)
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
        return self._refuse(request, code, wait)

    def refuse_expired(self, now: Milliseconds) -> list[AdmissionAction]:
        """Refuse the queued requests whose deadline has passed.

        :param now: current time.
        """
        return [
            self._refuse(
                request,
                ResultCode.DEADLINE_UNREACHABLE,
                self._get_wait(request, now),
            )
            for request in self.queue.pop_expired(now)
        ]

    def start_next(self, now: Milliseconds) -> QueuedRequest | None:
        """Start the next request if there is room.

        :param now: current time.
        """
        if not self.running.has_room:
            return None
        may_start = None
        if not self.running.has_excess_room:
            may_start = partial(self._may_start, now=now)
        request = self.queue.pop(may_start)
        if request is None:
            return None
        self.running.start(request.prompt_tokens)
        self._meter.add(request.cost, now)
        self._shares.add(request.customer, request.cost, now)
        self.record_consumption(request.customer, request.cost)
        return request

    def record_consumption(self, customer: str, tokens: float) -> None:
        """Count tokens that other daemons have to be told of.

        :param customer: customer that consumed them.
        :param tokens: tokens, negative for a correction.
        """
        self._consumed[customer] = self._consumed.get(customer, 0) + tokens

    def is_over_share(self, customer: str, now: Milliseconds) -> bool:
        """Return whether work waits while a customer has had too much.

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
        :param tokens: tokens since the last message.
        :param now: current time.
        """
        self.queue.add_remote_consumption(customer, tokens)
        self._shares.add(customer, tokens, now)

    def pop_consumption(self, now: Milliseconds) -> tuple[CustomerTokens, ...]:
        """Return the consumption since the last call.

        :param now: current time.
        """
        consumed = tuple(
            CustomerTokens(customer, tokens)
            for customer, tokens in self._consumed.items()
            if tokens > 0
        )
        self._consumed.clear()
        self.queue.remove_idle_customers()
        self._shares.remove_idle_customers(now)
        return consumed

    def _get_wait(
        self, request: QueuedRequest, now: Milliseconds
    ) -> Milliseconds:
        rate = self._meter.get_rate(now)
        ahead = self.queue.get_work_ahead(request)
        if not self._may_start(request.customer, now):
            # Room for the request itself has to become free as well.
            ahead += request.cost
        if not ahead or not rate:
            return 0
        return round(ahead * _MILLISECONDS_PER_SECOND / rate)

    def _may_start(self, customer: str, now: Milliseconds) -> bool:
        if self.running.has_excess_room:
            return True
        if not self.running.has_room:
            return False
        return not self._shares.is_over_share(customer, now)

    def _refuse(
        self, request: QueuedRequest, code: ResultCode, wait: Milliseconds
    ) -> RefuseRequest:
        limits = self._limits
        retry_after = max(limits.min_retry_after, wait)
        return RefuseRequest(
            request_id=request.request_id,
            code=code,
            retry_after=min(retry_after, limits.max_retry_after),
        )
