"""Validation of a record change and compilation of its transaction."""

from collections.abc import Mapping
from contextlib import suppress
from typing import Any

from clementinedyke.exceptions import RecordError
from clementinedyke.operators.change_actions import Refused, SendCommit
from clementinedyke.operators.change_events import Change
from clementinedyke.operators.references import check_delete, check_put
from clementinedyke.records.core import Record, parse_record
from clementinedyke.reference_platform.tables import (
    ABSENT,
    Condition,
    Row,
    Write,
)

RECORDS_TABLE = 'records'
AUDIT_TABLE = 'audit'
GUARD_TABLE = 'record_guard'
GUARD_KEY = 'head'
NO_ROW = Row('', ABSENT)

_AUDIT_SCHEMA_VERSION = 1
_REDACTED_FIELDS = frozenset(('digest',))


def check_content(change: Change) -> Refused | None:
    """Return a refusal if the new record is invalid, else None.

    The record must match its schema and the key of the change.

    :param change: change that writes a record.
    """
    content = change.content or {}
    try:
        record = parse_record(content)
    except RecordError as error:
        return Refused(str(error))
    key = f'{content["kind"]}/{record.name}'
    if key != change.key:
        return Refused(
            f"field 'name' has value {record.name!r}: the record is put as "
            f'{change.key!r}, so its kind and name must be the same'
        )
    return None


def check_references(change: Change, rows: Mapping[str, Row]) -> Refused | None:
    """Return a refusal if the change conflicts with another record.

    :param change: change whose content matches its schema.
    :param rows: rows of all records by key.
    """
    others = _parse_readable(rows)
    current = others.pop(change.key, None)
    try:
        _check_change(change, current, others)
    except RecordError as error:
        return Refused(str(error))
    return None


def _check_change(
    change: Change, current: Record | None, others: Mapping[str, Record]
) -> None:
    if change.content is not None:
        check_put(parse_record(change.content), others)
    elif current is not None:
        check_delete(current, others)


def _parse_readable(rows: Mapping[str, Row]) -> dict[str, Record]:
    records: dict[str, Record] = {}
    for key, row in rows.items():
        # Records that this version cannot parse are left out of the checks.
        with suppress(RecordError):
            records[key] = parse_record(row.value)
    return records


def compile_transaction(
    change: Change, row: Row, guard_version: int
) -> SendCommit:
    """Return the transaction that applies a change.

    :param change: validated change.
    :param row: current row of the record.
    :param guard_version: version of the guard row before the records were read.
    """
    audit = _compile_audit(change, row)
    return SendCommit(
        conditions=(
            Condition(GUARD_TABLE, GUARD_KEY, guard_version),
            Condition(RECORDS_TABLE, change.key, change.expected_version),
            Condition(AUDIT_TABLE, change.audit_key, ABSENT),
        ),
        writes=(
            Write(GUARD_TABLE, GUARD_KEY, {'nonce': change.nonce}),
            Write(RECORDS_TABLE, change.key, change.content),
            Write(AUDIT_TABLE, change.audit_key, audit),
        ),
    )


def _compile_audit(change: Change, row: Row) -> Mapping[str, Any]:
    return {
        'schema_version': _AUDIT_SCHEMA_VERSION,
        'operator': change.operator,
        'time': change.time,
        'record': change.key,
        'action': 'delete' if change.content is None else 'put',
        'old_version': change.expected_version,
        'changes': _compile_changes(row.value or {}, change.content or {}),
    }


def _compile_changes(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> Mapping[str, Any]:
    return {
        field: [
            _redact(field, old.get(field)),
            _redact(field, new.get(field)),
        ]
        for field in sorted({*old, *new})
        if old.get(field) != new.get(field)
    }


def _redact(field: str, content: Any) -> Any:
    if content is not None and field in _REDACTED_FIELDS:
        return '(hidden)'
    return content
