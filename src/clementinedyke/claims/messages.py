"""Events and actions of the claim core, and the rows that it writes."""

import enum
from dataclasses import dataclass

from clementinedyke.codes import ResultCode


class ClaimState(enum.Enum):
    """State that a claim row shows to all daemons."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Answer of an endpoint as it is given to a caller who asks again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Row of a claim; the nonce tells which request wrote it."""

    digest: str
    nonce: str
    state: ClaimState
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class RowWrite:
    """New row under a key, demanded to replace the given version."""

    key: str
    version: int
    row: ClaimRow


@dataclass(frozen=True, slots=True)
class ClaimRequested:
    """A non-repeatable request arrived.

    ``digest`` covers the method, target and body; ``nonce`` is unique.
    """

    request_id: str
    key: str
    digest: str
    nonce: str


@dataclass(frozen=True, slots=True)
class BatchApplied:
    """The table service applied a batch under a revision."""

    batch_id: int
    revision: int


@dataclass(frozen=True, slots=True)
class BatchConflicted:
    """Nothing of the batch was applied, since these keys have changed."""

    batch_id: int
    keys: frozenset[str]


@dataclass(frozen=True, slots=True)
class BatchFailed:
    """The batch was not applied, or its outcome is not known."""

    batch_id: int
    is_unknown: bool


@dataclass(frozen=True, slots=True)
class RowRead:
    """A row was read back; version 0 and row None if it does not exist."""

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
    """The endpoint gave its whole answer."""

    request_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """Bytes were sent and no whole answer came back."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ClaimTick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class CommitBatch:
    """Apply all writes in one transaction, or none."""

    batch_id: int
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read a row back."""

    key: str


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to an endpoint, once."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RefuseClaim:
    """Refuse the request with a result code."""

    request_id: str
    code: ResultCode


@dataclass(frozen=True, slots=True)
class ReplayAnswer:
    """Give the kept answer of the earlier run."""

    request_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Pass the endpoint's answer on; ``is_stored`` tells whether it is stored."""

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
