"""A change of a record and the events of its decision core."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from clementinedyke.call_failures import TableFailure
from clementinedyke.reference_platform.tables import Commit, Conflict, Row


@dataclass(frozen=True, slots=True)
class Change:
    """What an operator asks for; content None deletes the record."""

    key: str
    content: Mapping[str, Any] | None
    expected_version: int
    operator: str
    #: UTC wall-clock time in ISO 8601 format.
    time: str
    nonce: str

    @property
    def audit_key(self) -> str:
        """Key of the audit row; sorts by time."""
        return f'{self.time}-{self.nonce}'


@dataclass(frozen=True, slots=True)
class Started:
    """The change begins."""


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The guard was read, and after it all records."""

    guard_version: int
    rows: Mapping[str, Row]


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Guard or records could not be read."""


@dataclass(frozen=True, slots=True)
class CommitAnswered:
    """The transaction was answered."""

    outcome: Commit | Conflict


@dataclass(frozen=True, slots=True)
class CommitFailed:
    """The transaction gave no answer."""

    failure: TableFailure


@dataclass(frozen=True, slots=True)
class AuditRead:
    """The audit row of this change was read; None if it does not exist."""

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
