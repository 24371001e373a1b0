"""HTTP answers of the operator port."""

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from clementinedyke.codes import ResultCode, get_details
from clementinedyke.http.server import compile_error_body
from clementinedyke.operators.change_actions import (
    Applied,
    NotApplied,
    Outcome,
    OutcomeUnknown,
    Refused,
    VersionConflict,
)
from clementinedyke.reference_platform.tables import Row


@dataclass(frozen=True, slots=True)
class Answer:
    """Result code and JSON body of an answer."""

    code: ResultCode
    content: Any

    @property
    def status(self) -> int:
        """HTTP status code."""
        return get_details(self.code).status


def create_refusal(code: ResultCode, message: str, **extra: Any) -> Answer:
    """Return the answer of a refusal.

    :param code: numbered result code.
    :param message: text for the operator.
    :param extra: further fields of the body.
    """
    return Answer(code, {**compile_error_body(code, message), **extra})


def create_success(content: Any) -> Answer:
    """Return the answer of a success.

    :param content: JSON-serialisable body.
    """
    return Answer(ResultCode.OK, content)


@singledispatch
def compile_answer(outcome: Outcome, key: str) -> Answer:
    """Return the answer that tells the outcome of a record change.

    :param outcome: outcome of the change.
    :param key: row key of the record.
    """
    raise TypeError(f'outcome {outcome!r} is not known')


@compile_answer.register
def _applied(outcome: Applied, key: str) -> Answer:
    return create_success({'key': key, 'version': outcome.version})


@compile_answer.register
def _conflict(outcome: VersionConflict, key: str) -> Answer:
    return create_refusal(
        ResultCode.RECORD_CONFLICT,
        f'record {key!r} has version {outcome.version}',
        version=outcome.version,
    )


@compile_answer.register
def _refused(outcome: Refused, key: str) -> Answer:
    return create_refusal(ResultCode.RECORD_INVALID, outcome.reason)


@compile_answer.register
def _not_done(outcome: NotApplied, key: str) -> Answer:
    return create_refusal(
        ResultCode.STORE_UNREACHABLE,
        f'record {key!r} was not changed: the table service cannot be used',
    )


@compile_answer.register
def _unknown(outcome: OutcomeUnknown, key: str) -> Answer:
    return create_refusal(
        ResultCode.STORE_UNAVAILABLE,
        f'whether record {key!r} was changed is unknown: '
        'the table service did not answer; read the record later',
    )


def describe_record(row: Row) -> dict[str, Any]:
    """Return a record with its version.

    :param row: row of table ``records``.
    """
    return {'key': row.key, 'version': row.version, 'record': row.value}


def describe_audit(row: Row) -> dict[str, Any]:
    """Return an audit entry with the version that the change gave.

    :param row: row of table ``audit``.
    """
    return {'id': row.key, 'new_version': row.version, **row.value}
