"""Rows, events and actions of the usage cores."""

from collections import Counter
from dataclasses import dataclass
from typing import Literal

import msgspec

#: Amounts by what they count, for example ``customer/prompt_tokens``.
Figures = dict[str, int]


class PartRow(msgspec.Struct, frozen=True):
    """Cumulative figures of one daemon in one window."""

    figures: Figures


class WindowRow(msgspec.Struct, frozen=True):
    """A window that is no longer open; figures are absent while closing."""

    state: Literal['closing', 'summed', 'reported']
    figures: Figures | None = None


class OpenWindowRow(msgspec.Struct, frozen=True):
    """Number of the open window."""

    window: int


def sum_figures(parts: list[Figures]) -> Figures:
    """Return the sum of several figures.

    :param parts: figures to add up.
    """
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part)
    return dict(sorted(total.items()))


@dataclass(frozen=True, slots=True)
class UsageTick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class WorkDone:
    """Work has ended; its figures belong to the window open now."""

    figures: Figures


@dataclass(frozen=True, slots=True)
class PartWritten:
    """The part was written with this version."""

    window: int
    row: PartRow
    version: int


@dataclass(frozen=True, slots=True)
class PartFailed:
    """A part was not written or read, or the answer was lost."""


@dataclass(frozen=True, slots=True)
class PartRead:
    """The open window, and after it the own part, were read.

    ``open_window`` is 0 if no window was ever closed.
    """

    window: int
    open_window: int
    row: PartRow | None
    version: int


PartEvent = UsageTick | WorkDone | PartWritten | PartFailed | PartRead


@dataclass(frozen=True, slots=True)
class WritePart:
    """Write the part if the window row is absent and the part unchanged."""

    window: int
    row: PartRow
    version: int


@dataclass(frozen=True, slots=True)
class ReadPart:
    """Read the open window first and the own part of a window after it."""

    window: int


PartAction = WritePart | ReadPart


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
class ReportRead:
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
    | ReportRead
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
class AskReport:
    """Ask the usage interface for the report of a window."""

    window: int


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send the report of a window."""

    window: int
    figures: Figures


CloserAction = ReadWindow | WriteWindow | ReadParts | AskReport | SendReport
