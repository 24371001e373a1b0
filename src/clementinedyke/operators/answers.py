"""HTTP responses of the operator port."""

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
    """Result code and JSON body of an HTTP response."""

    code: ResultCode
    content: Any

    @property
    def status(self) -> int:
        """HTTP status code of the result code."""
        return get_details(self.code).status


def create_refusal(code: ResultCode, message: str, **extra: Any) -> Answer:
    """Return an error response.

    :param code: result code, which determines the HTTP status.
    :param message: error message for the operator.
    :param extra: additional fields of the body.
    """
    return Answer(code, {**compile_error_body(code, message), **extra})


def create_success(content: Any) -> Answer:
    """Return a success response.

    :param content: JSON-serialisable body.
    """
    return Answer(ResultCode.OK, content)


@singledispatch
def compile_answer(outcome: Outcome, key: str) -> Answer:
    """Return the response for the outcome of a record change.

    :param outcome: outcome of the change.
    :param key: row key of the record.
    :raises TypeError: if the type of the outcome has no handler.
    """
    raise TypeError(f'no handler for outcome {outcome!r}')


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
    """Return the JSON object of a record with its key and version.

    :param row: row of table ``records``.
    """
    return {'key': row.key, 'version': row.version, 'record': row.value}


def describe_audit(row: Row) -> dict[str, Any]:
    """Return the JSON object of an audit entry with the new record version.

    :param row: row of table ``audit``.
    """
    return {'id': row.key, 'new_version': row.version, **row.value}
