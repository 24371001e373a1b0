"""Windows of usage: parts, sums and reports."""

from clementinedyke.usage.core import (
    PartCore,
)
from clementinedyke.usage.messages import (
    OpenWindowRow,
    PartFailed,
    PartRead,
    PartRow,
    PartWritten,
    ReadPart,
    UsageTick,
    WindowRow,
    WorkDone,
    WritePart,
    sum_figures,
)

__all__ = (
    'OpenWindowRow',
    'PartCore',
    'PartFailed',
    'PartRead',
    'PartRow',
    'PartWritten',
    'ReadPart',
    'UsageTick',
    'WindowRow',
    'WorkDone',
    'WritePart',
    'sum_figures',
)
