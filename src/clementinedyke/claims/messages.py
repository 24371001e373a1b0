"""Events and actions of the claim core and the rows it writes."""

import enum
from dataclasses import dataclass

from clementinedyke.codes import ResultCode


class ClaimState(enum.Enum):
    """State of a claim row, visible to all daemons."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer of an endpoint, stored for replay to repeated requests."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Row of a claim; the nonce identifies the request that wrote it."""

    digest: str
    nonce: str
    state: ClaimState
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Row to write, on condition that the key has the given version.

    Version 0 means that the row must not exist.
    """

    key: str
    version: int
    row: ClaimRow


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A non-repeatable request arrived.

    ``digest`` covers the method, target and body; ``nonce`` is unique to the
    request.
    """

    request_id: str
    key: str
    digest: str
    nonce: str


@dataclass(frozen=True, slots=True)
class BatchApplied:
    """The table service applied a batch; its rows have this revision."""

    batch_id: int
    revision: int


@dataclass(frozen=True, slots=True)
class BatchConflicted:
    """The batch was not applied: these keys have another version."""

    batch_id: int
    keys: frozenset[str]


@dataclass(frozen=True, slots=True)
class BatchFailed:
    """The batch was not applied, or its outcome is unknown."""

    batch_id: int
    is_unknown: bool


@dataclass(frozen=True, slots=True)
class RowRead:
    """A row was read; version 0 and row None if it does not exist."""

    key: str
    version: int
    row: ClaimRow | None


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """A row could not be read."""

    key: str


@dataclass(frozen=True, slots=True)
class NothingSent:
    """The dispatch ended before any byte reached an endpoint."""

    request_id: str


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """The endpoint returned a complete answer."""

    request_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """Bytes were sent, but no complete answer was received."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimTick:
    """Triggers the check of deadlines and retries."""


@dataclass(frozen=True, slots=True)
class CommitBatch:
    """Apply the writes in one transaction: all or none."""

    batch_id: int
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row of a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to an endpoint exactly once."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RefuseClaim:
    """Refuse the request with a result code."""

    request_id: str
    code: ResultCode


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Return the stored answer of an earlier request."""

    request_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Forward the endpoint's answer; ``is_stored`` if a row holds it."""

    request_id: str
    is_stored: bool


ClaimEvent = (
    ClaimRequested
    | BatchApplied
    | BatchConflicted
    | BatchFailed
    | RowRead
    | ReadFailed
    | NothingSent
    | EndpointAnswered
    | AnswerLost
    | ClaimTick
)
ClaimAction = (
    CommitBatch
    | ReadRow
    | Dispatch
    | RefuseClaim
    | ReplayAnswer
    | ForwardAnswer
)
