"""Decides whether and when a failed request is retried."""

import enum
import random
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TypeAlias

from clementinedyke.clock import Milliseconds


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on retries.

    Retries take tokens from two token buckets: one per service and customer,
    and one for the whole daemon. A success adds ``earned`` tokens to both and
    a retry takes one from both, so in the long run retries add at most this
    fraction to the load. ``burst`` is the capacity of the bucket of a service
    and customer. ``daemon_burst`` is that of the daemon's bucket, which bounds
    the retries when an availability zone fails. ``max_buckets`` is the number
    of stored buckets at which customers without one can no longer retry.
    """

    earned: float = 0.1
    burst: float = 10
    daemon_burst: float = 20
    max_attempts: int = 3
    base_delay: Milliseconds = 25
    max_delay: Milliseconds = 1000
    max_buckets: int = 10_000


@dataclass(frozen=True, slots=True)
class AttemptSucceeded:
    """A request got a complete answer."""

    service: str
    customer: str


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed before any part of an answer went to the caller.

    ``attempt`` counts from 1. ``sent`` is set if any byte of the request was
    sent to the endpoint. ``deadline`` is the time from which another attempt is
    useless.
    """

    request_id: str
    service: str
    customer: str
    attempt: int
    repeatable: bool
    sent: bool
    deadline: Milliseconds


class GiveUpReason(enum.Enum):
    """Why a request is not retried."""

    NOT_REPEATABLE = 'not_repeatable'
    ATTEMPTS = 'attempts'
    DEADLINE = 'deadline'
    CUSTOMER_BUDGET = 'customer_budget'
    DAEMON_BUDGET = 'daemon_budget'


@dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request at the time ``at``."""

    request_id: str
    at: Milliseconds


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Send the error to the caller without another attempt."""

    request_id: str
    reason: GiveUpReason


RetryAction: TypeAlias = Retry | GiveUp


class RetryCore:
    """Limits retries by token buckets and delays them with random backoff."""

    def __init__(self, limits: RetryLimits, generator: random.Random) -> None:
        """Create the core with full buckets.

        :param limits: limits of retries.
        :param generator: seeded source of random delays.
        """
        self._limits = limits
        self._generator = generator
        self._buckets: dict[tuple[str, str], float] = {}
        self._daemon_bucket = limits.daemon_burst

    @singledispatchmethod
    def handle(self, event: object, now: Milliseconds) -> list[RetryAction]:
        """Apply an event and return the decision on a failed attempt.

        :param event: :class:`AttemptSucceeded` or :class:`AttemptFailed`.
        :param now: current time.
        :raises TypeError: if the event is of another type.
        """
        raise TypeError(f'{event!r} is not an event of the retry core')

    @handle.register
    def _handle_success(
        self, event: AttemptSucceeded, now: Milliseconds
    ) -> list[RetryAction]:
        limits = self._limits
        bucket = (event.service, event.customer)
        filled = self._buckets.pop(bucket, limits.burst) + limits.earned
        if filled < limits.burst:
            # A missing bucket counts as full, so a full one is not stored.
            self._buckets[bucket] = filled
        self._daemon_bucket = min(
            limits.daemon_burst, self._daemon_bucket + limits.earned
        )
        return []

    @handle.register
    def _handle_failure(
        self, event: AttemptFailed, now: Milliseconds
    ) -> list[RetryAction]:
        reason = self._get_give_up_reason(event)
        if reason is not None:
            return [GiveUp(event.request_id, reason)]
        at = now + self._choose_delay(event.attempt)
        if at >= event.deadline:
            return [GiveUp(event.request_id, GiveUpReason.DEADLINE)]
        self._take_tokens(event)
        return [Retry(event.request_id, at)]

    def _get_give_up_reason(self, event: AttemptFailed) -> GiveUpReason | None:
        if event.sent and not event.repeatable:
            return GiveUpReason.NOT_REPEATABLE
        if event.attempt >= self._limits.max_attempts:
            return GiveUpReason.ATTEMPTS
        if self._get_tokens(event) < 1:
            return GiveUpReason.CUSTOMER_BUDGET
        if self._daemon_bucket < 1:
            return GiveUpReason.DAEMON_BUDGET
        return None

    def _get_tokens(self, event: AttemptFailed) -> float:
        bucket = (event.service, event.customer)
        if len(self._buckets) >= self._limits.max_buckets:
            return self._buckets.get(bucket, 0)
        return self._buckets.get(bucket, self._limits.burst)

    def _take_tokens(self, event: AttemptFailed) -> None:
        tokens = self._get_tokens(event)
        self._buckets[(event.service, event.customer)] = tokens - 1
        self._daemon_bucket -= 1

    def _choose_delay(self, attempt: int) -> Milliseconds:
        limits = self._limits
        ceiling = min(limits.max_delay, limits.base_delay << attempt)
        return self._generator.randint(limits.base_delay, ceiling)
