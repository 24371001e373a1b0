"""Tests of what the operator port reports, and of the record service."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import pytest
import trio

from clementinedyke.codes import ResultCode
from clementinedyke.daemon import Daemon
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.logs import compile_line
from clementinedyke.operators import (
    Attempt,
    OperatorReports,
    RequestOutcome,
    WeighedEndpoint,
)
from clementinedyke.operators.change_actions import (
    Applied,
    NotApplied,
    Outcome,
    OutcomeUnknown,
)
from clementinedyke.operators.outcomes import RecentOutcomes
from clementinedyke.operators.record_service import RecordService
from clementinedyke.reference_platform.tables import (
    Commit,
    Condition,
    Conflict,
    TableClient,
    Write,
)
from clementinedyke.settings.core import Settings
from clementinedyke.standins.platform import Faults, PlatformStandin
from clementinedyke.standins.tables import MemoryTables

_CUSTOMER = {'kind': 'customer', 'name': 'c'}


def create_outcome(request_id: str) -> RequestOutcome:
    """Return the outcome of a request that ran at once."""
    return RequestOutcome(
        request_id=request_id,
        service='s',
        result_code=ResultCode.OK,
        customer='c',
        weighed=(WeighedEndpoint('e1', 0.5), WeighedEndpoint('e2', 0.1)),
        chosen='e1',
        attempts=(Attempt('e1', ResultCode.OK, 90),),
        first_token_time=420,
        token_intervals=(75, 76),
    )


class TestReports:
    """Guards against reports that mislead the operator on call."""

    def test_targets_are_bucket_edges(self) -> None:
        """A time exactly on target counts as within it."""
        reports = OperatorReports()
        reports.record_outcome(create_outcome('r'))
        text = reports.metrics.render().decode()
        prefix = 'clementinedyke'
        first = f'{prefix}_first_token_seconds_bucket'
        interval = f'{prefix}_token_interval_seconds_bucket'
        assert f'{first}{{le="0.3",service="s"}} 0.0' in text
        assert f'{first}{{le="0.42",service="s"}} 1.0' in text
        assert f'{interval}{{le="0.075",service="s"}} 1.0' in text
        assert f'{prefix}_requests_total{{code="OK",service="s"}} 1.0' in text

    def test_explain_tells_choice(self) -> None:
        """The endpoints weighed and the tries are explained."""
        ring = RecentOutcomes()
        ring.add(create_outcome('r'))
        explained = ring.explain('r')
        assert explained is not None
        assert explained['chosen'] == 'e1'
        assert explained['weighed'][1]['score'] == pytest.approx(0.1)
        assert explained['attempts'][0]['duration'] == 90
        assert explained['result_name'] == 'OK'

    def test_ring_is_bounded(self) -> None:
        """A busy daemon must not grow with every request."""
        ring = RecentOutcomes(capacity=2)
        for request_id in ('1', '2', '3'):
            ring.add(create_outcome(request_id))
        assert ring.explain('1') is None
        assert ring.explain('3') is not None

    def test_readiness(self) -> None:
        """A daemon is not ready without configuration or while it drains."""
        daemon = Daemon(Settings())
        assert daemon.reports.list_unready_reasons() == ['configuration']
        reports = OperatorReports()
        assert reports.is_ready()
        reports.start_draining()
        assert reports.compile_status()['not_ready'] == ['draining']

    def test_readiness_turns_false_first(self) -> None:
        """The component that drains first is the one that starts last."""
        daemon = Daemon(Settings())
        last = daemon.application.components[-1]
        trio.run(last.drain)
        assert 'draining' in daemon.reports.list_unready_reasons()

    @pytest.mark.parametrize('text', ['a b', 'a"b', 'a\nb', 'a=b', ''])
    def test_log_values_are_quoted(self, text: str) -> None:
        """A value cannot forge further pairs or lines."""
        line = compile_line('e', {'key': text})
        assert line.startswith('event=e key="')
        assert '\n' not in line


@asynccontextmanager
async def open_service(
    platform: PlatformStandin,
) -> AsyncIterator[RecordService]:
    """Give a record service that uses a stand-in on loopback."""
    async with trio.open_nursery() as nursery:
        port = await platform.start(nursery, '127.0.0.1', 0)
        async with HttpClient(Address('127.0.0.1', port)) as client:
            yield RecordService(TableClient(client))
        nursery.cancel_scope.cancel()


class OutageAfterCommit(MemoryTables):
    """Tables whose platform fails once a transaction was applied."""

    def __init__(self, platform: PlatformStandin) -> None:
        """Create empty tables of a platform."""
        super().__init__()
        self.platform = platform

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Commit | Conflict:
        """Apply a transaction; its answer and all later ones are lost."""
        self.platform.faults = Faults(outage=True, lose_answers=1)
        return super().commit(conditions, writes)


async def put_customer(platform: PlatformStandin) -> tuple[Outcome, int]:
    """Return the outcome of a change and the number of audit rows."""
    async with open_service(platform) as service:
        outcome = await service.change('customer/c', _CUSTOMER, 0, 'me')
    audit = platform.tables.list_rows('audit').rows
    return outcome, len(audit)


class TestRecordService:
    """Guards against a wrong report to the operator when the store fails."""

    def test_lost_answer_is_resolved(self) -> None:
        """The change is reported as applied, and applied once."""
        platform = PlatformStandin()
        platform.faults = Faults(lose_answers=1)
        assert trio.run(put_customer, platform) == (Applied(1), 1)

    def test_outage_changes_nothing(self) -> None:
        """An outage before the change is reported as not done."""
        platform = PlatformStandin()
        platform.faults = Faults(outage=True)
        assert trio.run(put_customer, platform) == (NotApplied(), 0)

    def test_outage_after_commit(self) -> None:
        """Only if the row cannot be read back is the outcome unknown."""
        platform = PlatformStandin()
        platform.tables = OutageAfterCommit(platform)
        assert trio.run(put_customer, platform) == (OutcomeUnknown(), 1)
