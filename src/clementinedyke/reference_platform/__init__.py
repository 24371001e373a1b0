"""The platform: tables, objects, usage, endpoint orders and the host list."""

from clementinedyke.call_failures import TableFailure
from clementinedyke.reference_platform.tables import (
    Commit,
    Conflict,
    Row,
    Snapshot,
    TableClient,
    Write,
)

__all__ = (
    'Commit',
    'Conflict',
    'Row',
    'Snapshot',
    'TableClient',
    'TableFailure',
    'Write',
)
