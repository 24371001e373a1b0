"""Table rows, and events and actions of the part core."""

from collections import Counter
from dataclasses import dataclass
from typing import Literal

import msgspec

#: Amounts by the key of what they count, e.g. ``customer/prompt_tokens``.
UsageCounts = dict[str, int]


class PartRow(msgspec.Struct, frozen=True):
    """Cumulative counts of one daemon in one window."""

    figures: UsageCounts


class WindowRow(msgspec.Struct, frozen=True):
    """State of a closed window.

    ``figures`` has the totals; it is None in the state ``closing``.
    """

    state: Literal['closing', 'summed', 'reported']
    figures: UsageCounts | None = None


class OpenWindowRow(msgspec.Struct, frozen=True):
    """Number of the open window."""

    window: int


def sum_counts(parts: list[UsageCounts]) -> UsageCounts:
    """Return the sums per key, sorted by key.

    :param parts: counts to add up.
    """
    total: Counter[str] = Counter()
    for part in parts:
        total.update(part)
    return dict(sorted(total.items()))


@dataclass(frozen=True, slots=True)
class UsageTick:
    """Periodic tick."""


@dataclass(frozen=True, slots=True)
class WorkDone:
    """Work has ended; its counts belong to the current window."""

    figures: UsageCounts


@dataclass(frozen=True, slots=True)
class PartWritten:
    """The part row was written; ``version`` is its new version."""

    window: int
    row: PartRow
    version: int


@dataclass(frozen=True, slots=True)
class PartCallFailed:
    """A read or write of a part failed, or its outcome is unknown."""


@dataclass(frozen=True, slots=True)
class PartRead:
    """Result of ``ReadPart``.

    ``open_window`` is 0 if no window was ever closed. ``row`` is None if this
    daemon has no part in the window.
    """

    window: int
    open_window: int
    row: PartRow | None
    version: int


PartEvent = UsageTick | WorkDone | PartWritten | PartCallFailed | PartRead


@dataclass(frozen=True, slots=True)
class WritePart:
    """Write this daemon's part of a window that is still open.

    The write fails if the window has a row, which means that it was closed, or
    if the version of the part has changed.
    """

    window: int
    row: PartRow
    version: int


@dataclass(frozen=True, slots=True)
class ReadPart:
    """Read the number of the open window, then this daemon's part.

    The order matters: if the window was already closed at the first read, the
    part read afterwards is final.
    """

    window: int


PartAction = WritePart | ReadPart
