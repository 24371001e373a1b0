"""Rows of table ``suspects``, which keep the evidence of all daemons."""

import msgspec

from clementinedyke.quarantine.core import Evidence
from clementinedyke.rows import Write

SUSPECTS_TABLE = 'suspects'


class SuspectRow(msgspec.Struct, frozen=True):
    """Value of a row of table ``suspects``."""

    endpoint_id: str
    boot_id: str
    fingerprint: str
    is_crash: bool


def compile_row(evidence: Evidence) -> SuspectRow:
    """Return the row of an item of evidence.

    :param evidence: item to store or to send.
    """
    return SuspectRow(
        evidence.endpoint_id,
        evidence.boot_id,
        evidence.fingerprint,
        evidence.is_crash,
    )


def compile_write(evidence: Evidence) -> Write:
    """Return the write that stores an item of evidence.

    Rows are never updated, so a loss and its confirmation as a crash are two
    rows.

    :param evidence: item to store.
    """
    kind = 'crash' if evidence.is_crash else 'loss'
    boot = f'{evidence.endpoint_id}/{evidence.boot_id}'
    key = f'{boot}/{evidence.fingerprint}/{kind}'
    return Write(SUSPECTS_TABLE, key, compile_row(evidence))


def compile_evidence(row: SuspectRow) -> Evidence:
    """Return the item of evidence in a row.

    :param row: decoded row.
    """
    return Evidence(row.endpoint_id, row.boot_id, row.fingerprint, row.is_crash)
