"""Events and actions of the core that closes usage windows."""

from dataclasses import dataclass

from clementinedyke.usage.messages import PartRow, UsageCounts, WindowRow


@dataclass(frozen=True, slots=True)
class CloserTick:
    """Periodic tick with the current state of the usage lease.

    ``fence_version`` is 0 while the lease is not held. ``may_report`` is
    whether the lease currently permits calls of the usage interface.
    """

    fence_version: int
    may_report: bool


@dataclass(frozen=True, slots=True)
class WindowRead:
    """Result of ``ReadWindow``: the open window and the window before it.

    ``row`` and ``version`` are those of the window before the open one;
    ``row`` is None if that window has no row.
    """

    open_window: int
    open_version: int
    row: WindowRow | None
    version: int


@dataclass(frozen=True, slots=True)
class WindowWritten:
    """A window row was written; ``version`` is its new version."""

    window: int
    row: WindowRow
    version: int


@dataclass(frozen=True, slots=True)
class PartsRead:
    """All parts of a closed window, to which no part can be added."""

    window: int
    parts: tuple[PartRow, ...]


@dataclass(frozen=True, slots=True)
class ReportChecked:
    """Whether the usage interface has the report of a window."""

    window: int
    is_present: bool


@dataclass(frozen=True, slots=True)
class CloserCallFailed:
    """A call failed, or its outcome is unknown."""


CloserEvent = (
    CloserTick
    | WindowRead
    | WindowWritten
    | PartsRead
    | ReportChecked
    | CloserCallFailed
)


@dataclass(frozen=True, slots=True)
class ReadWindow:
    """Read the open window and the row of the one before it."""


@dataclass(frozen=True, slots=True)
class WriteWindow:
    """Write a window row if it and the fence row are unchanged.

    Writing the state ``closing`` opens the next window in the same
    transaction, which also requires ``open_version`` to be unchanged.
    """

    window: int
    row: WindowRow
    version: int
    open_version: int
    fence_version: int


@dataclass(frozen=True, slots=True)
class ReadParts:
    """Read all parts of a window."""

    window: int


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Ask the usage interface whether it has the report of a window."""

    window: int


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send the report of a window to the usage interface."""

    window: int
    figures: UsageCounts


CloserAction = ReadWindow | WriteWindow | ReadParts | CheckReport | SendReport
