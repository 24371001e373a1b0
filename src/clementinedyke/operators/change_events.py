"""A record change and the events that its state machine handles."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from clementinedyke.call_failures import TableFailure
from clementinedyke.reference_platform.tables import Commit, Conflict, Row


@dataclass(frozen=True, slots=True)
class Change:
    """Change requested by an operator.

    The change deletes the record if ``content`` is None. ``expected_version``
    is the version that the record must have, 0 if it must not exist. ``nonce``
    is unique to the change.
    """

    key: str
    content: Mapping[str, Any] | None
    expected_version: int
    operator: str
    #: UTC wall-clock time in ISO 8601 format.
    time: str
    nonce: str

    @property
    def audit_key(self) -> str:
        """Key of the audit row; keys sort by time."""
        return f'{self.time}-{self.nonce}'


@dataclass(frozen=True, slots=True)
class Started:
    """The change was started."""


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The guard row and then all records were read; ``rows`` is by key."""

    guard_version: int
    rows: Mapping[str, Row]


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The guard row or the records could not be read."""


@dataclass(frozen=True, slots=True)
class CommitAnswered:
    """The table service applied the transaction or reported a conflict."""

    outcome: Commit | Conflict


@dataclass(frozen=True, slots=True)
class CommitFailed:
    """The transaction failed or its response was lost."""

    failure: TableFailure


@dataclass(frozen=True, slots=True)
class AuditRead:
    """The audit row of this change was read; ``row`` is None if absent."""

    row: Row | None


@dataclass(frozen=True, slots=True)
class AuditReadFailed:
    """The audit row of this change could not be read."""


Event = (
    Started
    | RowsRead
    | ReadFailed
    | CommitAnswered
    | CommitFailed
    | AuditRead
    | AuditReadFailed
)
