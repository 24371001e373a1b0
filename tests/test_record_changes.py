"""Tests of concurrent record changes with faults of the table service."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from clementinedyke.operators.change import ChangeCore
from clementinedyke.operators.change_actions import (
    Action,
    Applied,
    NotApplied,
    OutcomeUnknown,
    ReadAudit,
    ReadRows,
    SendCommit,
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
    AUDIT_TABLE,
    GUARD_KEY,
    GUARD_TABLE,
    NO_ROW,
    RECORDS_TABLE,
)
from clementinedyke.reference_platform.tables import Conflict, Row, TableFailure
from clementinedyke.standins.tables import MemoryTables

_CUSTOMERS = ('a', 'b')
_FAULTS = ('none', 'none', 'lost', 'late', 'late', 'not_done')


def compile_content(kind: str, name: str, weight: int) -> dict[str, Any]:
    """Return a customer record, or a key record of that customer."""
    if kind == 'customer':
        return {'kind': kind, 'name': name, 'weight': weight}
    digest = f'{ord(name):02x}' * 32
    return {'kind': kind, 'name': name, 'customer': name, 'digest': digest}


_UNKNOWN = CommitFailed(TableFailure.UNKNOWN)


class TestLostResponses:
    """Guards against reporting failure for a change that is applied later.

    A transaction whose response is lost may reach the store with a delay.
    """

    def create_unanswered_core(self) -> ChangeCore:
        """Return a core whose first transaction got no response."""
        content = compile_content('customer', 'a', 1)
        core = ChangeCore(Change('customer/a', content, 0, 'me', 't', 'n'))
        core.handle(Started())
        self.sent = core.handle(RowsRead(0, {}))
        assert core.handle(_UNKNOWN) == ReadAudit('t-n')
        return core

    def test_unresolved_transaction_is_sent_again(self) -> None:
        """Without an audit row, the transaction is sent again unchanged."""
        core = self.create_unanswered_core()
        assert core.handle(AuditRead(None)) == self.sent
        not_done = CommitFailed(TableFailure.NOT_DONE)
        assert core.handle(not_done) == ReadAudit('t-n')
        assert core.handle(AuditReadFailed()) == OutcomeUnknown()

    def test_conflict_with_own_delayed_transaction(self) -> None:
        """If the delayed transaction wins, its audit row proves it applied."""
        core = self.create_unanswered_core()
        core.handle(AuditRead(None))
        assert core.handle(CommitAnswered(Conflict([]))) == ReadAudit('t-n')
        assert core.handle(AuditRead(Row('t-n', 5, {}))) == Applied(5)

    def test_absent_audit_row_is_final_after_conflict(self) -> None:
        """After a conflict, a missing audit row means not applied.

        The guard row has changed, so the delayed transaction cannot be applied
        any more and the change starts again by reading the rows.
        """
        core = self.create_unanswered_core()
        core.handle(AuditRead(None))
        core.handle(CommitAnswered(Conflict([])))
        assert core.handle(AuditRead(None)) == ReadRows()
        assert core.handle(ReadFailed()) == NotApplied()

    def test_attempts_are_bounded(self) -> None:
        """After 8 attempts without a response the outcome is unknown."""
        core = self.create_unanswered_core()
        for _ in range(7):
            assert core.handle(AuditRead(None)) == self.sent
            core.handle(_UNKNOWN)
        assert core.handle(AuditRead(None)) == OutcomeUnknown()


class ChangeMachine(RuleBasedStateMachine):
    """Interleaved changes of several operators with lost responses."""

    def __init__(self) -> None:
        """Create empty tables without changes."""
        super().__init__()
        self.tables = MemoryTables()
        self.changes: list[Change] = []
        self.running: list[tuple[Change, ChangeCore, Action]] = []
        self.late: list[SendCommit] = []
        self.outcomes: dict[str, Action] = {}

    @rule(
        kind=st.sampled_from(('customer', 'key')),
        name=st.sampled_from(_CUSTOMERS),
        weight=st.integers(1, 3),
        is_delete=st.booleans(),
        is_stale=st.integers(0, 4).map(lambda drawn: drawn == 0),
    )
    def begin(
        self,
        kind: str,
        name: str,
        weight: int,
        is_delete: bool,
        is_stale: bool,
    ) -> None:
        """Start a change with the current version or, if stale, another one."""
        key = f'{kind}/{name}'
        row = self.tables.get_row(RECORDS_TABLE, key) or NO_ROW
        content = None if is_delete else compile_content(kind, name, weight)
        change = Change(
            key=key,
            content=content,
            expected_version=row.version + is_stale,
            operator='tester',
            time=f'{len(self.changes):06}',
            nonce=f'nonce{len(self.changes)}',
        )
        self.changes.append(change)
        core = ChangeCore(change)
        self.running.append((change, core, core.handle(Started())))

    @precondition(lambda machine: machine.running)
    @rule(picked=st.integers(0, 2), fault=st.sampled_from(_FAULTS))
    def step(self, picked: int, fault: str) -> None:
        """Execute the next action of one running change."""
        change, core, action = self.running.pop(picked % len(self.running))
        if isinstance(action, ReadRows | SendCommit | ReadAudit):
            action = core.handle(self.execute(action, fault))
            self.running.append((change, core, action))
        else:
            self.outcomes[change.audit_key] = action

    @precondition(lambda machine: machine.late)
    @rule(picked=st.integers(0, 9))
    def deliver(self, picked: int) -> None:
        """Apply a delayed transaction."""
        sent = self.late.pop(picked % len(self.late))
        self.tables.commit(sent.conditions, sent.writes)

    @invariant()
    def check_history(self) -> None:
        """Each change replaces the version before it: no update is lost."""
        versions: dict[str, int] = {}
        last = 0
        for row in self.list_audit():
            key = row.value['record']
            assert last < row.version
            assert row.value['old_version'] == versions.get(key, 0)
            is_delete = row.value['action'] == 'delete'
            versions[key] = 0 if is_delete else row.version
            last = row.version
        stored = self.tables.list_rows(RECORDS_TABLE).rows
        assert {row.key: row.version for row in stored} == {
            key: version for key, version in versions.items() if version
        }

    @invariant()
    def check_references(self) -> None:
        """No interleaving leaves a key record without its customer."""
        stored = {row.key for row in self.tables.list_rows(RECORDS_TABLE).rows}
        for name in _CUSTOMERS:
            assert f'key/{name}' not in stored or f'customer/{name}' in stored

    def teardown(self) -> None:
        """Reported outcomes still hold after all delayed transactions."""
        while self.running:
            self.step(0, 'none')
        while self.late:
            self.deliver(0)
        self.check_history()
        applied = {row.key: row.version for row in self.list_audit()}
        for key, outcome in self.outcomes.items():
            if isinstance(outcome, Applied):
                assert applied.pop(key) == outcome.version
            elif isinstance(outcome, OutcomeUnknown):
                applied.pop(key, None)
            else:
                assert key not in applied
        assert not applied

    def list_audit(self) -> list[Row]:
        """Return the audit rows in the order of writing."""
        rows = self.tables.list_rows(AUDIT_TABLE).rows
        return sorted(rows, key=lambda row: row.version)

    def execute(
        self, action: ReadRows | SendCommit | ReadAudit, fault: str
    ) -> Event:
        """Execute an action on the tables and return the resulting event."""
        if isinstance(action, SendCommit):
            return self.commit(action, fault)
        if isinstance(action, ReadAudit):
            if fault == 'not_done':
                return AuditReadFailed()
            return AuditRead(self.tables.get_row(AUDIT_TABLE, action.key))
        if fault == 'not_done':
            return ReadFailed()
        guard = self.tables.get_row(GUARD_TABLE, GUARD_KEY) or NO_ROW
        rows = self.tables.list_rows(RECORDS_TABLE).rows
        return RowsRead(guard.version, {row.key: row for row in rows})

    def commit(self, action: SendCommit, fault: str) -> Event:
        """Apply a transaction now, later or never."""
        if fault == 'not_done':
            return CommitFailed(TableFailure.NOT_DONE)
        if fault == 'late':
            self.late.append(action)
            return CommitFailed(TableFailure.UNKNOWN)
        outcome = self.tables.commit(action.conditions, action.writes)
        if fault == 'lost':
            return CommitFailed(TableFailure.UNKNOWN)
        return CommitAnswered(outcome)


TestRecordChanges = ChangeMachine.TestCase
TestRecordChanges.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None
)
