"""Test of the share of a daemon in the claim budget of the platform."""

from typing import Any

import trio
from trio.testing import MockClock

from clementinedyke.claims import messages as msg
from clementinedyke.claims.component import ClaimComponent, DispatchFailure
from clementinedyke.claims.core import ClaimSettings
from clementinedyke.codes import ResultCode

_SECONDS = 20
_DAEMONS = 200


class TrioClock:
    """Clock of the process on trio's virtual time."""

    def get_now(self) -> int:
        """Return milliseconds."""
        return round(trio.current_time() * 1000)


class CountedStore:
    """Store that takes every batch."""

    def __init__(self) -> None:
        """Create a store without commits."""
        self.commits = 0

    async def commit(self, batch: msg.CommitBatch) -> msg.BatchApplied:
        """Count a batch."""
        self.commits += 1
        return msg.BatchApplied(batch.batch_id, self.commits)

    async def read(self, key: str) -> msg.ReadFailed:
        """Find nothing."""
        return msg.ReadFailed(key)


async def refuse() -> DispatchFailure:
    """Find no endpoint."""
    return DispatchFailure(ResultCode.NO_ENDPOINT, is_sent=False, message='')


async def claim_for_a_while(store: Any) -> None:
    """Claim 20 rows a second."""
    component = ClaimComponent(store, TrioClock(), ClaimSettings())
    component.count_daemons = lambda: _DAEMONS
    async with trio.open_nursery() as nursery:
        await component.start(nursery)
        await trio.sleep(1)
        for number in range(20 * _SECONDS):
            name = str(number)
            request = msg.ClaimRequested(name, name, 'digest', name)
            nursery.start_soon(component.run_once, request, refuse)
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()


class TestCommitBudget:
    """The claim commits of all daemons together are bounded."""

    def test_many_daemons(self) -> None:
        """Guards against 25 commits/s by each of hundreds of daemons."""
        store = CountedStore()
        clock = MockClock(autojump_threshold=0)
        trio.run(claim_for_a_while, store, clock=clock)
        # One commit/s of the 200, and a burst of 4.
        assert _SECONDS / 2 < store.commits <= _SECONDS + 5
