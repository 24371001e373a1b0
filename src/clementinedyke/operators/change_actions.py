"""Actions and outcomes of a record change."""

from dataclasses import dataclass

from clementinedyke.reference_platform.tables import Condition, Write


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read the guard row and then all records."""


@dataclass(frozen=True, slots=True)
class SendCommit:
    """Send the transaction that applies the change."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class ReadAudit:
    """Read the audit row of this change by its key."""

    key: str


@dataclass(frozen=True, slots=True)
class Applied:
    """The change was applied and gave the record this version."""

    version: int


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The record does not have the expected version; nothing was changed."""

    version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The change is invalid, for the reason given; nothing was changed."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotApplied:
    """Nothing was changed: table service unavailable or too many conflicts."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have been applied, or may still be applied later."""


Outcome = Applied | VersionConflict | Refused | NotApplied | OutcomeUnknown
Action = ReadRows | SendCommit | ReadAudit | Outcome
