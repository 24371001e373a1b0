"""Queue, room and refusals of one service."""

import math
from dataclasses import dataclass

from clementinedyke.admission_events import (
    AdmissionAction,
    CustomerTokens,
    RefuseRequest,
)
from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.fair_queue import FairQueue, QueuedRequest

_MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Limits of admission; sizes in tokens, times in milliseconds.

    ``short_prompt`` is the longest prompt that counts as short. ``max_lead``
    is described in :class:`clementinedyke.fair_queue.FairQueue`.
    ``rate_window`` is the time over which the start rate is averaged.
    """

    max_queued_requests: int = 64
    max_queued_tokens: int = 400_000
    max_total_requests: int = 512
    short_prompt: int = 1500
    max_lead: float = 100_000
    rate_window: Milliseconds = 4000
    min_retry_after: Milliseconds = 1000
    max_retry_after: Milliseconds = 30_000


class _RateMeter:
    """Exponentially weighted rate in tokens/s."""

    def __init__(self, window: Milliseconds) -> None:
        self._window = window
        self._tokens = float(0)
        self._updated: Milliseconds = 0

    def add(self, tokens: float, now: Milliseconds) -> None:
        self._tokens = self._get_decayed(now) + tokens
        self._updated = now

    def get_rate(self, now: Milliseconds) -> float:
        scale = _MILLISECONDS_PER_SECOND / self._window
        return self._get_decayed(now) * scale

    def _get_decayed(self, now: Milliseconds) -> float:
        age = max(0, now - self._updated)
        return self._tokens * math.exp(-age / self._window)


class ServiceAdmission:
    """Queue and running work of one service at this daemon."""

    def __init__(self, limits: AdmissionLimits) -> None:
        """Create the state of a service whose room is not known.

        :param limits: limits of admission.
        """
        self._limits = limits
        self._meter = _RateMeter(limits.rate_window)
        self._max_streams = math.inf
        self._max_prompt_tokens = math.inf
        self._streams = 0
        self._prompt_tokens = 0
        self._consumed: dict[str, float] = {}
        self.queue = FairQueue(limits.max_lead)

    def set_room(self, streams: float, prompt_tokens: float) -> None:
        """Take the work that may start beyond the running work.

        :param streams: requests.
        :param prompt_tokens: tokens of prompts.
        """
        self._max_streams = self._streams + streams
        self._max_prompt_tokens = self._prompt_tokens + prompt_tokens

    def check(
        self, request: QueuedRequest, now: Milliseconds
    ) -> RefuseRequest | None:
        """Return the refusal of a request that should not be queued.

        :param request: request that arrived.
        :param now: current time.
        """
        limits = self._limits
        count, tokens = self.queue.get_queued(request.customer)
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

    def expire(self, now: Milliseconds) -> list[AdmissionAction]:
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
        if self._streams >= self._max_streams:
            return None
        if self._prompt_tokens >= self._max_prompt_tokens:
            return None
        request = self.queue.pop()
        if request is None:
            return None
        self._streams += 1
        self._prompt_tokens += request.prompt_tokens
        self._meter.add(request.cost, now)
        self.count_tokens(request.customer, request.cost)
        return request

    def end_prompt(self, request: QueuedRequest) -> None:
        """Give back the prompt tokens of a started request.

        :param request: request whose prompt is processed.
        """
        self._prompt_tokens -= request.prompt_tokens

    def end_stream(self) -> None:
        """Give back the stream of a started request."""
        self._streams -= 1

    def count_tokens(self, customer: str, tokens: float) -> None:
        """Count tokens that other daemons have to be told of.

        :param customer: customer that consumed them.
        :param tokens: tokens, negative for a correction.
        """
        self._consumed[customer] = self._consumed.get(customer, 0) + tokens

    def take_consumed(self) -> tuple[CustomerTokens, ...]:
        """Return the consumption since the last call."""
        consumed = tuple(
            CustomerTokens(customer, tokens)
            for customer, tokens in self._consumed.items()
            if tokens > 0
        )
        self._consumed.clear()
        self.queue.drop_idle()
        return consumed

    def _get_wait(
        self, request: QueuedRequest, now: Milliseconds
    ) -> Milliseconds:
        rate = self._meter.get_rate(now)
        ahead = self.queue.get_work_ahead(request)
        if not ahead or not rate:
            return 0
        return round(ahead * _MILLISECONDS_PER_SECOND / rate)

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
