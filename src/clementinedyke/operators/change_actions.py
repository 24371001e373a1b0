"""Actions and outcomes of the decision core of a record change."""

from dataclasses import dataclass

from clementinedyke.reference_platform.tables import Condition, Write


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read the guard and then all records."""


@dataclass(frozen=True, slots=True)
class SendCommit:
    """Send the transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class ReadAudit:
    """Read the audit row of this change."""

    key: str


@dataclass(frozen=True, slots=True)
class Applied:
    """The change is in force at a version."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The record has another version than expected; nothing was changed."""

    version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The record contradicts its schema or another one; nothing changed."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotApplied:
    """The table service was not available; nothing was changed."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have been applied or not, or may still be applied."""


Outcome = Applied | VersionConflict | Refused | NotApplied | OutcomeUnknown
Action = ReadRows | SendCommit | ReadAudit | Outcome
