"""Tests of the operator reports and of the record service."""

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
    """Return the outcome of a successful request that was not queued."""
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
    """Guards against misleading metrics, readiness and log lines."""

    def test_latency_targets_are_bucket_bounds(self) -> None:
        """A time equal to its target falls into the bucket of the target."""
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

    def test_explain_shows_routing_and_attempts(self) -> None:
        """Explain returns the endpoints considered and the attempts."""
        recent = RecentOutcomes()
        recent.add(create_outcome('r'))
        explained = recent.explain('r')
        assert explained is not None
        assert explained['chosen'] == 'e1'
        assert explained['weighed'][1]['score'] == pytest.approx(0.1)
        assert explained['attempts'][0]['duration'] == 90
        assert explained['result_name'] == 'OK'

    def test_recent_outcomes_are_bounded(self) -> None:
        """The oldest outcome is evicted, so memory use stays bounded."""
        recent = RecentOutcomes(capacity=2)
        for request_id in ('1', '2', '3'):
            recent.add(create_outcome(request_id))
        assert recent.explain('1') is None
        assert recent.explain('3') is not None

    def test_not_ready_unconfigured_or_draining(self) -> None:
        """The reasons for not being ready are reported by name."""
        daemon = Daemon(Settings())
        assert daemon.reports.list_unready_reasons() == ['configuration']
        reports = OperatorReports()
        assert reports.is_ready()
        reports.start_draining()
        assert reports.compile_status()['not_ready'] == ['draining']

    def test_readiness_ends_before_other_components_drain(self) -> None:
        """The component that starts last, and so drains first, ends readiness.

        Otherwise load balancers would send requests to a daemon whose other
        components already drain.
        """
        daemon = Daemon(Settings())
        last = daemon.application.components[-1]
        trio.run(last.drain)
        assert 'draining' in daemon.reports.list_unready_reasons()

    @pytest.mark.parametrize('text', ['a b', 'a"b', 'a\nb', 'a=b', ''])
    def test_log_values_are_escaped(self, text: str) -> None:
        """A value in a log line cannot inject further pairs or lines."""
        line = compile_line('e', {'key': text})
        assert line.startswith('event=e key="')
        assert '\n' not in line


@asynccontextmanager
async def create_service(
    platform: PlatformStandin,
) -> AsyncIterator[RecordService]:
    """Provide a record service that uses a platform stand-in on loopback."""
    async with trio.open_nursery() as nursery:
        port = await platform.start(nursery, '127.0.0.1', 0)
        async with HttpClient(Address('127.0.0.1', port)) as client:
            yield RecordService(TableClient(client))
        nursery.cancel_scope.cancel()


class OutageAfterCommit(MemoryTables):
    """Tables whose platform fails after it has applied a transaction."""

    def __init__(self, platform: PlatformStandin) -> None:
        """Create empty tables.

        :param platform: stand-in that fails after the first commit.
        """
        super().__init__()
        self.platform = platform

    def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> Commit | Conflict:
        """Apply a transaction; its response and all later ones are lost."""
        self.platform.faults = Faults(outage=True, lose_answers=1)
        return super().commit(conditions, writes)


async def put_customer(platform: PlatformStandin) -> tuple[Outcome, int]:
    """Write a record; return the outcome and the number of audit rows."""
    async with create_service(platform) as service:
        outcome = await service.change('customer/c', _CUSTOMER, 0, 'me')
    audit = platform.tables.list_rows('audit').rows
    return outcome, len(audit)


class TestRecordService:
    """Guards against wrong outcomes when the table service fails."""

    def test_lost_response_is_resolved(self) -> None:
        """A change whose response is lost is applied once and reported so."""
        platform = PlatformStandin()
        platform.faults = Faults(lose_answers=1)
        assert trio.run(put_customer, platform) == (Applied(1), 1)

    def test_outage_before_commit_changes_nothing(self) -> None:
        """An outage before the transaction is reported as not applied."""
        platform = PlatformStandin()
        platform.faults = Faults(outage=True)
        assert trio.run(put_customer, platform) == (NotApplied(), 0)

    def test_outage_after_commit_leaves_outcome_unknown(self) -> None:
        """The outcome is unknown if the audit row cannot be read either."""
        platform = PlatformStandin()
        platform.tables = OutageAfterCommit(platform)
        assert trio.run(put_customer, platform) == (OutcomeUnknown(), 1)
