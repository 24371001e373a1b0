"""Tests of record changes by several operators with faults of the store."""

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
    CommitFailed,
    CommitAnswered,
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
    """Return a customer or a key of the customer with the same name."""
    if kind == 'customer':
        return {'kind': kind, 'name': name, 'weight': weight}
    digest = f'{ord(name):02x}' * 32
    return {'kind': kind, 'name': name, 'customer': name, 'digest': digest}


_UNKNOWN = CommitFailed(TableFailure.UNKNOWN)


class TestLostAnswers:
    """Guards against a refusal of a change that is applied after it."""

    def start(self) -> ChangeCore:
        """Return a core whose first transaction got no answer."""
        content = compile_content('customer', 'a', 1)
        core = ChangeCore(Change('customer/a', content, 0, 'me', 't', 'n'))
        core.handle(Started())
        self.sent = core.handle(RowsRead(0, {}))
        assert core.handle(_UNKNOWN) == ReadAudit('t-n')
        return core

    def test_transaction_on_its_way_is_sent_again(self) -> None:
        """Without an audit row, the same transaction settles the outcome."""
        core = self.start()
        assert core.handle(AuditRead(None)) == self.sent
        not_done = CommitFailed(TableFailure.NOT_DONE)
        assert core.handle(not_done) == ReadAudit('t-n')
        assert core.handle(AuditReadFailed()) == OutcomeUnknown()

    def test_conflict_with_own_transaction(self) -> None:
        """The late transaction makes the second one lose; it is applied."""
        core = self.start()
        core.handle(AuditRead(None))
        assert core.handle(CommitAnswered(Conflict([]))) == ReadAudit('t-n')
        assert core.handle(AuditRead(Row('t-n', 5, {}))) == Applied(5)

    def test_conflict_with_another_change(self) -> None:
        """Once the guard has moved, an absent audit row is final."""
        core = self.start()
        core.handle(AuditRead(None))
        core.handle(CommitAnswered(Conflict([])))
        assert core.handle(AuditRead(None)) == ReadRows()
        assert core.handle(ReadFailed()) == NotApplied()

    def test_gives_up(self) -> None:
        """A store that never answers does not hold the operator for ever."""
        core = self.start()
        for _ in range(7):
            assert core.handle(AuditRead(None)) == self.sent
            core.handle(_UNKNOWN)
        assert core.handle(AuditRead(None)) == OutcomeUnknown()


class ChangeMachine(RuleBasedStateMachine):
    """Operators whose steps interleave, over tables that lose answers."""

    def __init__(self) -> None:
        """Create empty tables and no operators."""
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
        """An operator asks for a change with the version that it has seen."""
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
        """One operator's next call to the store is made."""
        change, core, action = self.running.pop(picked % len(self.running))
        if isinstance(action, ReadRows | SendCommit | ReadAudit):
            action = core.handle(self.execute(action, fault))
            self.running.append((change, core, action))
        else:
            self.outcomes[change.audit_key] = action

    @precondition(lambda machine: machine.late)
    @rule(picked=st.integers(0, 9))
    def deliver(self, picked: int) -> None:
        """A transaction that was long on its way reaches the store."""
        sent = self.late.pop(picked % len(self.late))
        self.tables.commit(sent.conditions, sent.writes)

    @invariant()
    def check_history(self) -> None:
        """Each change builds on the one before: no update is lost."""
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
        """No interleaving leaves a key without its customer."""
        stored = {row.key for row in self.tables.list_rows(RECORDS_TABLE).rows}
        for name in _CUSTOMERS:
            assert f'key/{name}' not in stored or f'customer/{name}' in stored

    def teardown(self) -> None:
        """What an operator was told holds after all late transactions."""
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
        """Return audit rows in the order in which they were written."""
        rows = self.tables.list_rows(AUDIT_TABLE).rows
        return sorted(rows, key=lambda row: row.version)

    def execute(
        self, action: ReadRows | SendCommit | ReadAudit, fault: str
    ) -> Event:
        """Return the answer of the store, or its failure."""
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
