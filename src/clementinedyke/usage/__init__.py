"""Usage accounting: parts per daemon, window totals and reports."""

from clementinedyke.usage.core import (
    PartCore,
)
from clementinedyke.usage.messages import (
    OpenWindowRow,
    PartCallFailed,
    PartRead,
    PartRow,
    PartWritten,
    ReadPart,
    UsageTick,
    WindowRow,
    WorkDone,
    WritePart,
    sum_counts,
)

__all__ = (
    'OpenWindowRow',
    'PartCore',
    'PartCallFailed',
    'PartRead',
    'PartRow',
    'PartWritten',
    'ReadPart',
    'UsageTick',
    'WindowRow',
    'WorkDone',
    'WritePart',
    'sum_counts',
)
