"""State machine of a single record change by an operator.

Every change is one transaction that writes the record, its audit row and a
guard row. All changes compare and set the guard row, so a transaction fails if
any record has changed since the records were read for the checks. The key of
the audit row contains the nonce of the change: if the response to the
transaction is lost, reading this row shows whether the transaction was applied.
"""

from functools import singledispatchmethod

from clementinedyke.call_failures import TableFailure
from clementinedyke.operators.change_actions import (
    Action,
    Applied,
    NotApplied,
    OutcomeUnknown,
    ReadAudit,
    ReadRows,
    Refused,
    SendCommit,
    VersionConflict,
)
from clementinedyke.operators.change_events import (
    AuditRead,
    AuditReadFailed,
    Change,
    CommitAnswered,
    CommitFailed,
    Event,
    ReadFailed,
    RowsRead,
    Started,
)
from clementinedyke.operators.transaction import (
    NO_ROW,
    check_content,
    check_references,
    compile_transaction,
)
from clementinedyke.reference_platform.tables import ABSENT, Commit

#: Number of times the transaction is sent before the change is given up,
#: whether it conflicted with other changes or its response was lost.
_MAX_ATTEMPTS = 8


class ChangeCore:
    """Decides the next action of a change until it reaches an outcome."""

    def __init__(self, change: Change) -> None:
        """Create the core of a change.

        :param change: change requested by the operator.
        """
        self._change = change
        self._attempts = 0
        #: An attempt got no response and may still be applied.
        self._has_unanswered_attempt = False
        #: The guard row has changed since the attempt without a response, so
        #: that attempt can no longer be applied.
        self._has_guard_changed = False
        self._transaction = SendCommit((), ())

    @singledispatchmethod
    def handle(self, event: Event) -> Action:
        """Return the next action; an outcome ends the change.

        :param event: result of the previous action.
        :raises TypeError: if the type of the event has no handler.
        """
        raise TypeError(f'no handler for event {event!r}')

    @handle.register
    def _start(self, event: Started) -> Action:
        if self._change.content is not None:
            refusal = check_content(self._change)
            if refusal is not None:
                return refusal
        return ReadRows()

    @handle.register
    def _prepare_transaction(self, event: RowsRead) -> Action:
        change = self._change
        row = event.rows.get(change.key, NO_ROW)
        if row.version != change.expected_version:
            return VersionConflict(row.version)
        if change.content is None and row.version == ABSENT:
            return Refused(f'record {change.key!r} does not exist')
        refusal = check_references(change, event.rows)
        if refusal is not None:
            return refusal
        self._transaction = compile_transaction(
            change, row, event.guard_version
        )
        return self._send_transaction()

    @handle.register
    def _handle_read_failure(self, event: ReadFailed) -> Action:
        return NotApplied()

    @handle.register
    def _handle_commit_answer(self, event: CommitAnswered) -> Action:
        if isinstance(event.outcome, Commit):
            return Applied(event.outcome.revision)
        if self._has_unanswered_attempt:
            # The guard row has changed, so an earlier attempt has either been
            # applied already or can never be. The audit row shows which.
            self._has_guard_changed = True
            return ReadAudit(self._change.audit_key)
        return ReadRows()

    @handle.register
    def _handle_commit_failure(self, event: CommitFailed) -> Action:
        if event.failure is TableFailure.UNKNOWN:
            self._has_unanswered_attempt = True
        if self._has_unanswered_attempt:
            return ReadAudit(self._change.audit_key)
        return NotApplied()

    @handle.register
    def _handle_audit_row(self, event: AuditRead) -> Action:
        if event.row is not None:
            return Applied(event.row.version)
        if self._has_guard_changed:
            self._has_unanswered_attempt = False
            self._has_guard_changed = False
            return ReadRows()
        # An attempt without a response may still be in transit. Sending the
        # same transaction again resolves this: both expect the same guard
        # version, so at most one of them can be applied.
        return self._send_transaction()

    @handle.register
    def _handle_audit_failure(self, event: AuditReadFailed) -> Action:
        return OutcomeUnknown()

    def _send_transaction(self) -> Action:
        if self._attempts == _MAX_ATTEMPTS:
            return (
                OutcomeUnknown()
                if self._has_unanswered_attempt
                else NotApplied()
            )
        self._attempts += 1
        return self._transaction
