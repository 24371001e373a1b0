"""Claims that ensure a non-repeatable request runs at most once.

A claim is a row of the table service that is written before the request is
dispatched. Other daemons never take it over: if the daemon of a request dies,
its outcome is reported as unknown and the request is not run again.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatchmethod
from itertools import chain

from clementinedyke.admission.rate import TokenBucket
from clementinedyke.claims.messages import (
    AnswerLost,
    BatchApplied,
    BatchConflicted,
    BatchFailed,
    ClaimAction,
    ClaimEvent,
    ClaimRequested,
    ClaimRow,
    ClaimState,
    ClaimTick,
    CommitBatch,
    Dispatch,
    EndpointAnswered,
    ForwardAnswer,
    NothingSent,
    ReadFailed,
    ReadRow,
    RefuseClaim,
    ReplayAnswer,
    RowRead,
    RowWrite,
    StoredAnswer,
)
from clementinedyke.clock import Milliseconds
from clementinedyke.codes import ResultCode

_MAX_BATCH_ROWS = 100
_MAX_COMMITS_IN_FLIGHT = 4
_ABSENT = 0
_MAX_DOUBLINGS = 8


class _Phase(enum.Enum):
    CLAIMING = 'claiming'
    DISPATCHED = 'dispatched'
    KEEPING = 'keeping'
    ABANDONED = 'abandoned'


@dataclass(slots=True, eq=False)
class _Claim:
    request_id: str
    key: str
    digest: str
    nonce: str
    deadline: Milliseconds
    phase: _Phase = _Phase.CLAIMING
    version: int = _ABSENT
    answer: StoredAnswer | None = None
    is_forwarded: bool = False
    #: Whether a commit with an unknown outcome may still create the row.
    may_be_written: bool = False
    retry_at: Milliseconds | None = None
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Timeouts and limits of the claim core.

    ``claim_timeout`` is the longest wait for a claim to be written.
    ``keep_timeout`` is the longest time that an answer is held back until it
    is stored. A failed write or read is retried after ``retry_interval``,
    which doubles with each attempt up to ``max_retry_interval``.
    ``commits_per_second`` and ``burst`` limit the commits of this daemon.
    ``max_pending`` limits the claims in progress; further ones are refused.
    """

    claim_timeout: Milliseconds = 2000
    keep_timeout: Milliseconds = 1000
    retry_interval: Milliseconds = 250
    max_retry_interval: Milliseconds = 15000
    commits_per_second: float = 25
    burst: float = 4
    max_pending: int = 1000


class _PendingClaims:
    """Pending claims, the queue of their writes and the batches in flight."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.claims: dict[str, _Claim] = {}
        self.bucket = bucket
        self._keys: dict[str, str] = {}
        self._queue: list[_Claim] = []
        self._next_batch = 1
        self._in_flight: dict[int, tuple[RowWrite, ...]] = {}

    def add(self, claim: _Claim) -> None:
        self.claims[claim.request_id] = claim
        self._keys[claim.key] = claim.request_id
        self.enqueue(claim)

    def enqueue(self, claim: _Claim) -> None:
        self._queue.append(claim)

    def is_queued(self, claim: _Claim) -> bool:
        return claim in self._queue

    def discard(self, claim: _Claim) -> None:
        self.claims.pop(claim.request_id)
        self._keys.pop(claim.key)
        if claim in self._queue:
            self._queue.remove(claim)

    def get_by_key(self, key: str) -> _Claim | None:
        return self.claims.get(self._keys.get(key, ''))

    def pop_batch(self, batch_id: int) -> Sequence[tuple[_Claim, RowWrite]]:
        writes = self._in_flight.pop(batch_id, ())
        pairs = [(self.get_by_key(write.key), write) for write in writes]
        return [(claim, write) for claim, write in pairs if claim is not None]

    def create_batch(self, now: Milliseconds) -> CommitBatch | None:
        is_full = len(self._in_flight) >= _MAX_COMMITS_IN_FLIGHT
        if is_full or not self._queue or not self.bucket.take(now):
            return None
        batched = self._queue[:_MAX_BATCH_ROWS]
        del self._queue[:_MAX_BATCH_ROWS]
        writes = tuple(
            RowWrite(claim.key, claim.version, _compile_row(claim))
            for claim in batched
        )
        batch = CommitBatch(self._next_batch, writes)
        self._in_flight[batch.batch_id] = writes
        self._next_batch += 1
        return batch


class ClaimCore:
    """Decides when the non-repeatable requests of one daemon are dispatched.

    The core performs no I/O: events go in through :meth:`handle`, actions
    come out.
    """

    def __init__(self, settings: ClaimSettings, now: Milliseconds = 0) -> None:
        """Create a core without claims.

        :param settings: timeouts and limits.
        :param now: current time in milliseconds.
        """
        self._settings = settings
        bucket = TokenBucket(settings.commits_per_second, settings.burst, now)
        self._pending = _PendingClaims(bucket)

    @property
    def pending_count(self) -> int:
        """Number of claims that this daemon has not finished."""
        return len(self._pending.claims)

    def set_commit_rate(self, per_second: float) -> None:
        """Set this daemon's share of the commit budget of all daemons.

        :param per_second: commits per second.
        """
        self._pending.bucket.set_rate(per_second)

    def handle(self, event: ClaimEvent, now: Milliseconds) -> list[ClaimAction]:
        """Process an event and return the actions to perform.

        :param event: event of :mod:`clementinedyke.claims.messages`.
        :param now: current time in milliseconds.
        :raises TypeError: if the type of the event is not supported.
        """
        actions = self._apply(event, now)
        batch = self._pending.create_batch(now)
        return actions if batch is None else [*actions, batch]

    @singledispatchmethod
    def _apply(self, event: ClaimEvent, now: Milliseconds) -> list[ClaimAction]:
        raise TypeError(f'claim core does not support the event {event!r}')

    @_apply.register
    def _handle_request(
        self, event: ClaimRequested, now: Milliseconds
    ) -> list[ClaimAction]:
        other = self._pending.get_by_key(event.key)
        if other is not None:
            return [_answer_duplicate(event, other)]
        if len(self._pending.claims) >= self._settings.max_pending:
            code = ResultCode.CLAIM_UNAVAILABLE
            return [RefuseClaim(event.request_id, code)]
        deadline = now + self._settings.claim_timeout
        claim = _Claim(
            event.request_id, event.key, event.digest, event.nonce, deadline
        )
        self._pending.add(claim)
        return []

    @_apply.register
    def _handle_batch_applied(
        self, event: BatchApplied, now: Milliseconds
    ) -> list[ClaimAction]:
        return list(
            chain.from_iterable(
                self._handle_own_row(claim, event.revision, write.row, now)
                for claim, write in self._pending.pop_batch(event.batch_id)
            )
        )

    @_apply.register
    def _handle_batch_conflicted(
        self, event: BatchConflicted, now: Milliseconds
    ) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim, write in self._pending.pop_batch(event.batch_id):
            if write.key in event.keys:
                actions.append(ReadRow(write.key))
            else:
                self._pending.enqueue(claim)
        return actions

    @_apply.register
    def _handle_batch_failed(
        self, event: BatchFailed, now: Milliseconds
    ) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim, write in self._pending.pop_batch(event.batch_id):
            if event.is_unknown:
                claim.may_be_written = True
                actions.append(ReadRow(write.key))
            elif claim.phase is _Phase.CLAIMING and not claim.may_be_written:
                actions += self._refuse(claim, ResultCode.CLAIM_UNAVAILABLE)
            else:
                actions += self._schedule_retry(claim, now)
        return actions

    @_apply.register
    def _handle_row_read(
        self, event: RowRead, now: Milliseconds
    ) -> list[ClaimAction]:
        claim = self._pending.get_by_key(event.key)
        if claim is None:
            return []
        if event.row is None or event.row.state is ClaimState.NOT_RUN:
            return self._queue_rewrite(claim, event.version, event.row)
        if event.row.nonce == claim.nonce:
            return self._handle_own_row(claim, event.version, event.row, now)
        return self._handle_other_row(claim, event.row)

    @_apply.register
    def _handle_read_failed(
        self, event: ReadFailed, now: Milliseconds
    ) -> list[ClaimAction]:
        claim = self._pending.get_by_key(event.key)
        if claim is None:
            return []
        return self._schedule_retry(claim, now)

    @_apply.register
    def _handle_nothing_sent(
        self, event: NothingSent, now: Milliseconds
    ) -> list[ClaimAction]:
        claim = self._pending.claims[event.request_id]
        claim.phase = _Phase.ABANDONED
        self._pending.enqueue(claim)
        return []

    @_apply.register
    def _handle_endpoint_answered(
        self, event: EndpointAnswered, now: Milliseconds
    ) -> list[ClaimAction]:
        claim = self._pending.claims[event.request_id]
        claim.phase = _Phase.KEEPING
        claim.answer = event.answer
        claim.deadline = now + self._settings.keep_timeout
        self._pending.enqueue(claim)
        return []

    @_apply.register
    def _handle_answer_lost(
        self, event: AnswerLost, now: Milliseconds
    ) -> list[ClaimAction]:
        return self._refuse(
            self._pending.claims[event.request_id], ResultCode.ANSWER_LOST
        )

    @_apply.register
    def _handle_tick(
        self, event: ClaimTick, now: Milliseconds
    ) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim in list(self._pending.claims.values()):
            if claim.deadline <= now:
                actions += self._expire(claim)
            if claim.retry_at is not None and claim.retry_at <= now:
                claim.retry_at = None
                actions.append(ReadRow(claim.key))
        return actions

    def _expire(self, claim: _Claim) -> list[ClaimAction]:
        if claim.phase is _Phase.CLAIMING:
            return self._abandon(claim)
        if claim.phase is _Phase.KEEPING and not claim.is_forwarded:
            claim.is_forwarded = True
            return [ForwardAnswer(claim.request_id, is_stored=False)]
        return []

    def _abandon(self, claim: _Claim) -> list[ClaimAction]:
        """Refuse a claim whose row may have been written.

        The daemon keeps updating the row until its state is NOT_RUN, so that
        repeated requests are not refused for ever as of unknown outcome.
        """
        if self._pending.is_queued(claim) and not claim.may_be_written:
            return self._refuse(claim, ResultCode.CLAIM_UNAVAILABLE)
        claim.phase = _Phase.ABANDONED
        return [RefuseClaim(claim.request_id, ResultCode.CLAIM_UNAVAILABLE)]

    def _handle_own_row(
        self,
        claim: _Claim,
        version: int,
        row: ClaimRow,
        now: Milliseconds,
    ) -> list[ClaimAction]:
        """Advance a claim whose row was written by this request."""
        claim.version = version
        claim.attempts = 0
        if claim.phase is _Phase.DISPATCHED:
            return []
        if claim.phase is _Phase.CLAIMING and claim.deadline > now:
            claim.phase = _Phase.DISPATCHED
            return [Dispatch(claim.request_id)]
        if claim.phase is _Phase.CLAIMING:
            refusal = self._abandon(claim)
            self._pending.enqueue(claim)
            return refusal
        if row.state is _get_target_state(claim):
            return self._finish(claim)
        self._pending.enqueue(claim)
        return []

    def _queue_rewrite(
        self, claim: _Claim, version: int, row: ClaimRow | None
    ) -> list[ClaimAction]:
        claim.version = version
        is_own_row = row is not None and row.nonce == claim.nonce
        if claim.phase is _Phase.ABANDONED and is_own_row:
            return self._finish(claim)
        if claim.phase is _Phase.DISPATCHED:
            return []
        self._pending.enqueue(claim)
        return []

    def _handle_other_row(
        self, claim: _Claim, row: ClaimRow
    ) -> list[ClaimAction]:
        """End a claim whose key was already claimed by another request."""
        if claim.phase is _Phase.ABANDONED:
            return self._finish(claim)
        if row.digest != claim.digest:
            return self._refuse(claim, ResultCode.IDEMPOTENCY_KEY_REUSED)
        if row.answer is None:
            return self._refuse(claim, ResultCode.CLAIM_PENDING)
        self._pending.discard(claim)
        return [ReplayAnswer(claim.request_id, row.answer)]

    def _finish(self, claim: _Claim) -> list[ClaimAction]:
        self._pending.discard(claim)
        if claim.phase is _Phase.KEEPING and not claim.is_forwarded:
            return [ForwardAnswer(claim.request_id, is_stored=True)]
        return []

    def _schedule_retry(
        self, claim: _Claim, now: Milliseconds
    ) -> list[ClaimAction]:
        wait = self._settings.retry_interval << min(
            claim.attempts, _MAX_DOUBLINGS
        )
        claim.attempts += 1
        claim.retry_at = now + min(wait, self._settings.max_retry_interval)
        if claim.phase is _Phase.CLAIMING:
            return self._abandon(claim)
        return []

    def _refuse(self, claim: _Claim, code: ResultCode) -> list[ClaimAction]:
        self._pending.discard(claim)
        return [RefuseClaim(claim.request_id, code)]


def _get_target_state(claim: _Claim) -> ClaimState:
    if claim.phase is _Phase.KEEPING:
        return ClaimState.ANSWERED
    if claim.phase is _Phase.ABANDONED:
        return ClaimState.NOT_RUN
    return ClaimState.CLAIMED


def _compile_row(claim: _Claim) -> ClaimRow:
    return ClaimRow(
        claim.digest, claim.nonce, _get_target_state(claim), claim.answer
    )


def _answer_duplicate(event: ClaimRequested, other: _Claim) -> ClaimAction:
    """Answer a request whose key has a pending claim at this daemon."""
    if other.digest == event.digest and other.answer is not None:
        return ReplayAnswer(event.request_id, other.answer)
    code = ResultCode.CLAIM_PENDING
    if other.digest != event.digest:
        code = ResultCode.IDEMPOTENCY_KEY_REUSED
    elif other.phase is _Phase.ABANDONED:
        code = ResultCode.CLAIM_UNAVAILABLE
    return RefuseClaim(event.request_id, code)
