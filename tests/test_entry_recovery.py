"""Tests of the states that many daemons fetch from one another."""

import base64
import json

from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.recovery_world import RecoveryWorld, run_outage, run_world

from clementinedyke.entry.lending import LendingLimit
from clementinedyke.http.client import Address, HttpClient, HttpRequest

#: Time in ms for which a request may wait in the link of its daemon. Endpoints
#: are dropped this long before the end of the drain delay, so that requests
#: being sent still arrive within it.
_MAX_BACKLOG = 300


def run_worlds(refused: int) -> list[RecoveryWorld]:
    """Return the worlds of three seeds, with 72 daemons each.

    :param refused: number of daemons that the store refuses.
    """
    return [run_world(72, refused, seed) for seed in (1, 2, 3)]


def list_backlogs(worlds: list[RecoveryWorld]) -> list[float]:
    """Return the longest backlog of each world's links, in ms."""
    return [
        max(daemon.longest_backlog for daemon in world.daemons.values())
        for world in worlds
    ]


def is_up_to_date(world: RecoveryWorld) -> bool:
    """Return whether all daemons know the newest revision of the store."""
    return all(
        daemon.view.as_of_revision == world.store.revision
        for daemon in world.daemons.values()
    )


class TestStateFetches:
    """Guards against requests that wait behind lent state in a full link."""

    def test_pausing_feeds(self) -> None:
        """A daemon whose feed only pauses must not fetch any state.

        72 daemons pause their feeds for more than a second after a change. All
        of them asked the one that knew the newest change.
        """
        for world in run_worlds(refused=0):
            assert not sum(item.fetches for item in world.daemons.values())

    def test_refused_daemons(self) -> None:
        """Daemons that the store refuses must not all ask the same daemon."""
        worlds = run_worlds(refused=24)
        assert max(list_backlogs(worlds)) <= _MAX_BACKLOG
        assert all(is_up_to_date(world) for world in worlds)

    def test_single_lender(self) -> None:
        """One daemon must not lend to all others at the same time."""
        worlds = run_worlds(refused=71)
        assert max(list_backlogs(worlds)) <= _MAX_BACKLOG
        assert all(is_up_to_date(world) for world in worlds)


class TestRemovalDuringOutage:
    """Guards against requests to an engine that left during an outage."""

    def test_outage_of_one_daemon(self) -> None:
        """A removed engine must be dropped as soon as that is known.

        While the store serves other daemons, no entry lapses because of it.
        The engine was kept as if it had, past the drain delay of 3 s.
        """
        assert max(run_outage(refused=1, seconds=1.8)) <= 3000

    def test_outage_of_all_daemons(self) -> None:
        """An engine whose entry may have lapsed must be kept for a while.

        It is back within about 2 s of the store's return, and without it the
        daemon had no engine at all.
        """
        assert max(run_outage(refused=72, seconds=4)) >= 5000


class TestLendingLimit:
    """Guards against daemons that fill their links with lent state."""

    def test_share_of_link(self) -> None:
        """A state must use no more than a fifth of the link until the next.

        A link of 5 Mbit/s sends 30000 bytes in 48 ms.
        """
        limit = LendingLimit(link_megabits=5)
        assert limit.may_lend(1000)
        limit.record_lent(30000, 1000)
        assert not limit.may_lend(1239)
        assert limit.may_lend(1240)

    def test_busy_daemon(self) -> None:
        """A daemon must refuse its state while the last one uses the link."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            await env.start_daemon(link_megabits=0.001)
            await env.wait_until_served()
            row = env.store.rows['daemons', 'host-1']
            own = json.loads(base64.b64decode(row['value']))
            address = Address(own['ip'], own['port'])
            async with HttpClient(address) as client:
                answers = [
                    await client.request(HttpRequest('GET', '/state'), 4000)
                    for _ in range(2)
                ]
            assert [answer.status for answer in answers] == [200, 503]
            assert answers[0].body

        ScenarioRunner().run(scenario)
