"""Rows of table ``suspects``, which keep the evidence of all daemons."""

import msgspec

from clementinedyke.quarantine.core import Evidence
from clementinedyke.rows import Write

SUSPECTS_TABLE = 'suspects'


class SuspectRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a row of table ``suspects``.

    ``written_at`` is in Unix milliseconds, 0 if the writer does not tell.
    """

    endpoint_id: str
    boot_id: str
    fingerprint: str
    is_crash: bool
    written_at: int = 0


def compile_row(evidence: Evidence, written_at: int = 0) -> SuspectRow:
    """Return the row of an item of evidence.

    :param evidence: item to store or to send.
    :param written_at: Unix time in milliseconds, 0 if it is not stored.
    """
    return SuspectRow(
        evidence.endpoint_id,
        evidence.boot_id,
        evidence.fingerprint,
        evidence.is_crash,
        written_at,
    )


def compile_write(evidence: Evidence, written_at: int = 0) -> Write:
    """Return the write that stores an item of evidence.

    Rows are never updated, so a loss and its confirmation as a crash are two
    rows.

    :param evidence: item to store.
    :param written_at: Unix time in milliseconds, 0 if unknown.
    """
    kind = 'crash' if evidence.is_crash else 'loss'
    boot = f'{evidence.endpoint_id}/{evidence.boot_id}'
    key = f'{boot}/{evidence.fingerprint}/{kind}'
    return Write(SUSPECTS_TABLE, key, compile_row(evidence, written_at))


def compile_evidence(row: SuspectRow) -> Evidence:
    """Return the item of evidence in a row.

    :param row: decoded row.
    """
    return Evidence(row.endpoint_id, row.boot_id, row.fingerprint, row.is_crash)
