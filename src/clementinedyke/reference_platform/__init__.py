"""Clients of the reference platform's services."""

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
