"""Claims that let a non-repeatable request run at most once.

A claim is a row of the table service that is written before the request is
dispatched. It is never taken over by another daemon, so a request whose daemon
died is answered as unknown and not run again.
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
    is_passed: bool = False
    #: Whether a write of unknown outcome may still create the row.
    may_be_written: bool = False
    retry_at: Milliseconds | None = None
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Bounds of the claim core.

    ``claim_timeout``: longest wait for a claim. ``keep_timeout``: longest time
    that an answer is withheld until it is stored. ``retry_interval``: first
    wait before a failed write is tried again; doubles up to
    ``max_retry_interval``. ``commits_per_second`` and ``burst`` bound the
    commits of this daemon.
    """

    claim_timeout: Milliseconds = 2000
    keep_timeout: Milliseconds = 1000
    retry_interval: Milliseconds = 250
    max_retry_interval: Milliseconds = 15000
    commits_per_second: float = 25
    burst: float = 4
    max_pending: int = 1000


class _ClaimBook:
    """Claims in progress, the queue of writes and the batches in flight."""

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

    def forget(self, claim: _Claim) -> None:
        self.claims.pop(claim.request_id)
        self._keys.pop(claim.key)
        if claim in self._queue:
            self._queue.remove(claim)

    def get_by_key(self, key: str) -> _Claim | None:
        return self.claims.get(self._keys.get(key, ''))

    def end_batch(self, batch_id: int) -> Sequence[tuple[_Claim, RowWrite]]:
        writes = self._in_flight.pop(batch_id, ())
        pairs = [(self.get_by_key(write.key), write) for write in writes]
        return [(claim, write) for claim, write in pairs if claim is not None]

    def take_batch(self, now: Milliseconds) -> CommitBatch | None:
        is_full = len(self._in_flight) >= _MAX_COMMITS_IN_FLIGHT
        if is_full or not self._queue or not self.bucket.take(now):
            return None
        chosen = self._queue[:_MAX_BATCH_ROWS]
        del self._queue[:_MAX_BATCH_ROWS]
        writes = tuple(
            RowWrite(claim.key, claim.version, _compile_row(claim))
            for claim in chosen
        )
        batch = CommitBatch(self._next_batch, writes)
        self._in_flight[batch.batch_id] = writes
        self._next_batch += 1
        return batch


class ClaimCore:
    """Decides on the non-repeatable requests of one daemon."""

    def __init__(self, settings: ClaimSettings, now: Milliseconds = 0) -> None:
        """Create the core.

        :param settings: bounds.
        :param now: current time in milliseconds.
        """
        self._settings = settings
        bucket = TokenBucket(settings.commits_per_second, settings.burst, now)
        self._book = _ClaimBook(bucket)

    @property
    def pending_count(self) -> int:
        """Number of claims that this daemon still works on."""
        return len(self._book.claims)

    def set_commit_rate(self, per_second: float) -> None:
        """Set this daemon's share of the commits of all daemons.

        :param per_second: commits per second.
        """
        self._book.bucket.set_rate(per_second)

    def handle(self, event: ClaimEvent, now: Milliseconds) -> list[ClaimAction]:
        """Return what to do after an event.

        :param event: what happened.
        :param now: current time in milliseconds.
        """
        actions = self._apply(event, now)
        batch = self._book.take_batch(now)
        return actions if batch is None else [*actions, batch]

    @singledispatchmethod
    def _apply(self, event: ClaimEvent, now: Milliseconds) -> list[ClaimAction]:
        raise TypeError(f'unknown event {event!r}')

    @_apply.register
    def _request(
        self, event: ClaimRequested, now: Milliseconds
    ) -> list[ClaimAction]:
        other = self._book.get_by_key(event.key)
        if other is not None:
            return [_answer_repeat(event, other)]
        if len(self._book.claims) >= self._settings.max_pending:
            code = ResultCode.CLAIM_UNAVAILABLE
            return [RefuseClaim(event.request_id, code)]
        deadline = now + self._settings.claim_timeout
        claim = _Claim(
            event.request_id, event.key, event.digest, event.nonce, deadline
        )
        self._book.add(claim)
        return []

    @_apply.register
    def _batch_applied(
        self, event: BatchApplied, now: Milliseconds
    ) -> list[ClaimAction]:
        return list(
            chain.from_iterable(
                self._own_row(claim, event.revision, write.row, now)
                for claim, write in self._book.end_batch(event.batch_id)
            )
        )

    @_apply.register
    def _batch_conflicted(
        self, event: BatchConflicted, now: Milliseconds
    ) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim, write in self._book.end_batch(event.batch_id):
            if write.key in event.keys:
                actions.append(ReadRow(write.key))
            else:
                self._book.enqueue(claim)
        return actions

    @_apply.register
    def _batch_failed(
        self, event: BatchFailed, now: Milliseconds
    ) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim, write in self._book.end_batch(event.batch_id):
            if event.is_unknown:
                claim.may_be_written = True
                actions.append(ReadRow(write.key))
            elif claim.phase is _Phase.CLAIMING and not claim.may_be_written:
                actions += self._drop(claim, ResultCode.CLAIM_UNAVAILABLE)
            else:
                actions += self._postpone(claim, now)
        return actions

    @_apply.register
    def _row_read(self, event: RowRead, now: Milliseconds) -> list[ClaimAction]:
        claim = self._book.get_by_key(event.key)
        if claim is None:
            return []
        if event.row is None or event.row.state is ClaimState.NOT_RUN:
            return self._write_again(claim, event.version, event.row)
        if event.row.nonce == claim.nonce:
            return self._own_row(claim, event.version, event.row, now)
        return self._find_other(claim, event.row)

    @_apply.register
    def _read_failed(
        self, event: ReadFailed, now: Milliseconds
    ) -> list[ClaimAction]:
        claim = self._book.get_by_key(event.key)
        if claim is None:
            return []
        return self._postpone(claim, now)

    @_apply.register
    def _nothing_sent(
        self, event: NothingSent, now: Milliseconds
    ) -> list[ClaimAction]:
        claim = self._book.claims[event.request_id]
        claim.phase = _Phase.ABANDONED
        self._book.enqueue(claim)
        return []

    @_apply.register
    def _endpoint_answered(
        self, event: EndpointAnswered, now: Milliseconds
    ) -> list[ClaimAction]:
        claim = self._book.claims[event.request_id]
        claim.phase = _Phase.KEEPING
        claim.answer = event.answer
        claim.deadline = now + self._settings.keep_timeout
        self._book.enqueue(claim)
        return []

    @_apply.register
    def _endpoint_lost(
        self, event: AnswerLost, now: Milliseconds
    ) -> list[ClaimAction]:
        return self._drop(
            self._book.claims[event.request_id], ResultCode.ANSWER_LOST
        )

    @_apply.register
    def _tick(self, event: ClaimTick, now: Milliseconds) -> list[ClaimAction]:
        actions: list[ClaimAction] = []
        for claim in list(self._book.claims.values()):
            if claim.deadline <= now:
                actions += self._expire(claim)
            if claim.retry_at is not None and claim.retry_at <= now:
                claim.retry_at = None
                actions.append(ReadRow(claim.key))
        return actions

    def _expire(self, claim: _Claim) -> list[ClaimAction]:
        if claim.phase is _Phase.CLAIMING:
            return self._abandon(claim)
        if claim.phase is _Phase.KEEPING and not claim.is_passed:
            claim.is_passed = True
            return [ForwardAnswer(claim.request_id, is_stored=False)]
        return []

    def _abandon(self, claim: _Claim) -> list[ClaimAction]:
        """Refuse a claim that may or may not be written.

        The daemon keeps working on the row until it shows NOT_RUN, so that a
        repeat is not refused as unknown for ever.
        """
        if self._book.is_queued(claim) and not claim.may_be_written:
            return self._drop(claim, ResultCode.CLAIM_UNAVAILABLE)
        claim.phase = _Phase.ABANDONED
        return [RefuseClaim(claim.request_id, ResultCode.CLAIM_UNAVAILABLE)]

    def _own_row(
        self,
        claim: _Claim,
        version: int,
        row: ClaimRow,
        now: Milliseconds,
    ) -> list[ClaimAction]:
        """Go on after the row was found to be this claim's own."""
        claim.version = version
        claim.attempts = 0
        if claim.phase is _Phase.DISPATCHED:
            return []
        if claim.phase is _Phase.CLAIMING and claim.deadline > now:
            claim.phase = _Phase.DISPATCHED
            return [Dispatch(claim.request_id)]
        if claim.phase is _Phase.CLAIMING:
            refusal = self._abandon(claim)
            self._book.enqueue(claim)
            return refusal
        if row.state is _target_state(claim):
            return self._finish(claim)
        self._book.enqueue(claim)
        return []

    def _write_again(
        self, claim: _Claim, version: int, row: ClaimRow | None
    ) -> list[ClaimAction]:
        claim.version = version
        done = row is not None and row.nonce == claim.nonce
        if claim.phase is _Phase.ABANDONED and done:
            return self._finish(claim)
        if claim.phase is _Phase.DISPATCHED:
            return []
        self._book.enqueue(claim)
        return []

    def _find_other(self, claim: _Claim, row: ClaimRow) -> list[ClaimAction]:
        """End a claim whose key was claimed by another request before."""
        if claim.phase is _Phase.ABANDONED:
            return self._finish(claim)
        if row.digest != claim.digest:
            return self._drop(claim, ResultCode.IDEMPOTENCY_KEY_REUSED)
        if row.answer is None:
            return self._drop(claim, ResultCode.CLAIM_PENDING)
        self._book.forget(claim)
        return [ReplayAnswer(claim.request_id, row.answer)]

    def _finish(self, claim: _Claim) -> list[ClaimAction]:
        self._book.forget(claim)
        if claim.phase is _Phase.KEEPING and not claim.is_passed:
            return [ForwardAnswer(claim.request_id, is_stored=True)]
        return []

    def _postpone(self, claim: _Claim, now: Milliseconds) -> list[ClaimAction]:
        wait = self._settings.retry_interval << min(
            claim.attempts, _MAX_DOUBLINGS
        )
        claim.attempts += 1
        claim.retry_at = now + min(wait, self._settings.max_retry_interval)
        if claim.phase is _Phase.CLAIMING:
            return self._abandon(claim)
        return []

    def _drop(self, claim: _Claim, code: ResultCode) -> list[ClaimAction]:
        self._book.forget(claim)
        return [RefuseClaim(claim.request_id, code)]


def _target_state(claim: _Claim) -> ClaimState:
    if claim.phase is _Phase.KEEPING:
        return ClaimState.ANSWERED
    if claim.phase is _Phase.ABANDONED:
        return ClaimState.NOT_RUN
    return ClaimState.CLAIMED


def _compile_row(claim: _Claim) -> ClaimRow:
    return ClaimRow(
        claim.digest, claim.nonce, _target_state(claim), claim.answer
    )


def _answer_repeat(event: ClaimRequested, other: _Claim) -> ClaimAction:
    """Answer a request whose key this daemon is working on."""
    if other.digest == event.digest and other.answer is not None:
        return ReplayAnswer(event.request_id, other.answer)
    code = ResultCode.CLAIM_PENDING
    if other.digest != event.digest:
        code = ResultCode.IDEMPOTENCY_KEY_REUSED
    elif other.phase is _Phase.ABANDONED:
        code = ResultCode.CLAIM_UNAVAILABLE
    return RefuseClaim(event.request_id, code)
