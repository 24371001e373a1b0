"""Tests of the state that running daemons share with one another."""

from functools import partial
from operator import setitem as set_item
from typing import Any

import trio

from clementinedyke.admission.events import CustomerTokens, RemoteConsumption
from clementinedyke.admission.shares import ConsumptionTotals, PeerTotals
from clementinedyke.capacity.demand import Demand, encode_demands, sum_demand
from clementinedyke.control.digest_values import VALUE_LIMIT
from clementinedyke.control.messages import Payload
from clementinedyke.quarantine.core import Verdict
from clementinedyke.records.core import CustomerRecord, ServiceRecord
from clementinedyke.records.directory import Directory
from daemon_cluster import CRASH_MARKER, run_daemon_cluster, wait_for

DIRECTORY = Directory.compile(
    1,
    (
        ServiceRecord(name='chat', backend='model'),
        CustomerRecord(name='lofts'),
    ),
)


class TestSharedState:
    """Guards against daemons that only take their own work into account."""

    def test_second_daemon_gets_updates(self) -> None:
        """Shares, demand, evidence and the commit rate cover both daemons."""
        trio.run(self._check_updates)

    async def _check_updates(self) -> None:
        async with run_daemon_cluster(daemons=2) as cluster:
            first, second = (daemon.requests for daemon in cluster.daemons)
            rates: dict[str, float] = {}
            first.claims.core.set_commit_rate = partial(set_item, rates, 'a')
            second.claims.core.set_commit_rate = partial(set_item, rates, 'b')
            await wait_for(lambda: rates == {'a': 100, 'b': 100})
            received: list[RemoteConsumption] = []
            second.admission.receive_consumption = received.append
            await cluster.chat(cluster.daemons[0], max_tokens=5)
            await wait_for(lambda: received)
            assert received[0].service == 'chat'
            assert received[0].consumed[0].customer == 'lofts'
            await wait_for(lambda: second.demand.get_demand('chat').prompt_rate)
            await self._crash_engine(cluster)
            rows = cluster.platform.tables.list_rows('suspects', '').rows
            fingerprint = rows[0].value['fingerprint']
            get_verdict = second.routing.get_verdict
            await wait_for(
                lambda: get_verdict(fingerprint) is Verdict.CONVICTED
            )

    async def _crash_engine(self, cluster: Any) -> None:
        prompt = [{'role': 'user', 'content': CRASH_MARKER}]
        await cluster.chat(cluster.daemons[0], messages=prompt)
        tables = cluster.platform.tables
        await wait_for(lambda: tables.list_rows('suspects', '').rows)


class TestPublishedValues:
    """Guards against values that are too long or counted twice."""

    def test_largest_demands_fit(self) -> None:
        """A daemon with too many services publishes the largest demands."""
        demands = {f's{rate}': Demand(rate, 1) for rate in range(30)}
        content = encode_demands(demands)
        assert len(content) <= VALUE_LIMIT
        payloads = [Payload('demand', str(peer), 1, content) for peer in (1, 2)]
        assert sum_demand('s29', payloads) == Demand(58, 2)
        assert sum_demand('s0', payloads) == Demand()

    def test_skipped_and_repeated_totals(self) -> None:
        """A skipped value loses no consumption, and a repeat adds none."""
        own = ConsumptionTotals()
        peers = PeerTotals()
        peers.update_names(DIRECTORY)
        first = Payload('shares', 'a', 1, own.encode(create_consumed(2)))
        assert peers.compute_consumption(first) == create_consumed(2)
        own.encode(create_consumed(5))
        third = Payload('shares', 'a', 3, own.encode(create_consumed(7)))
        assert peers.compute_consumption(third) == create_consumed(12)
        assert not peers.compute_consumption(third)

    def test_totals_before_start(self) -> None:
        """A starting daemon does not count a peer's earlier total as new."""
        own = ConsumptionTotals()
        peers = PeerTotals()
        peers.update_names(DIRECTORY)
        own.encode(create_consumed(900))
        new = Payload('shares', 'a', 2, own.encode(create_consumed(3)))
        assert peers.compute_consumption(new) == create_consumed(3)


def create_consumed(tokens: float) -> list[RemoteConsumption]:
    """Return the consumption of one customer."""
    return [RemoteConsumption('chat', (CustomerTokens('lofts', tokens),))]
