"""Events and actions of the core that closes usage windows."""

from dataclasses import dataclass

from clementinedyke.usage.messages import PartRow, UsageCounts, WindowRow


@dataclass(frozen=True, slots=True)
class CloserTick:
    """Time has passed; tells what the usage lease allows.

    ``fence_version`` is 0 without the lease. ``may_report`` tells whether the
    usage interface may be called.
    """

    fence_version: int
    may_report: bool


@dataclass(frozen=True, slots=True)
class WindowRead:
    """The open window and the row of the one before it were read."""

    open_window: int
    open_version: int
    row: WindowRow | None
    version: int


@dataclass(frozen=True, slots=True)
class WindowWritten:
    """The window row was written with this version."""

    window: int
    row: WindowRow
    version: int


@dataclass(frozen=True, slots=True)
class PartsRead:
    """All parts of a window that takes no more parts."""

    window: int
    parts: tuple[PartRow, ...]


@dataclass(frozen=True, slots=True)
class ReportChecked:
    """The usage interface has, or has not, the report of a window."""

    window: int
    is_present: bool


@dataclass(frozen=True, slots=True)
class CloserCallFailed:
    """A call was not done, or its answer was lost."""


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

    A row in state closing opens the next window in the same transaction.
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
    """Ask the usage interface for the report of a window."""

    window: int


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send the report of a window."""

    window: int
    figures: UsageCounts


CloserAction = ReadWindow | WriteWindow | ReadParts | CheckReport | SendReport
