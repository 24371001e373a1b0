"""Rows, events and actions of the usage cores."""

from collections import Counter
from dataclasses import dataclass
from typing import Literal

import msgspec

#: Amounts by what they count, for example ``customer/prompt_tokens``.
UsageCounts = dict[str, int]


class PartRow(msgspec.Struct, frozen=True):
    """Cumulative figures of one daemon in one window."""

    figures: UsageCounts


class WindowRow(msgspec.Struct, frozen=True):
    """A window that is no longer open; figures are absent while closing."""

    state: Literal['closing', 'summed', 'reported']
    figures: UsageCounts | None = None


class OpenWindowRow(msgspec.Struct, frozen=True):
    """Number of the open window."""

    window: int


def sum_counts(parts: list[UsageCounts]) -> UsageCounts:
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

    figures: UsageCounts


@dataclass(frozen=True, slots=True)
class PartWritten:
    """The part was written with this version."""

    window: int
    row: PartRow
    version: int


@dataclass(frozen=True, slots=True)
class PartCallFailed:
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


PartEvent = UsageTick | WorkDone | PartWritten | PartCallFailed | PartRead


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
