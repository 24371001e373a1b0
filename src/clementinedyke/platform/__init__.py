"""The platform: tables, objects, usage, endpoint orders and the host list."""

from clementinedyke.platform.tables import (
    Commit,
    Conflict,
    Row,
    Snapshot,
    TableClient,
    TableFailure,
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
