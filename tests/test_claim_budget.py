"""Test of a daemon's share of the commit budget for claims."""

from typing import Any

import trio
from trio.testing import MockClock

from clementinedyke.claims import messages as msg
from clementinedyke.claims.component import ClaimComponent, DispatchFailure
from clementinedyke.claims.core import ClaimSettings
from clementinedyke.codes import ResultCode

_SECONDS = 20
_DAEMONS = 200


class VirtualClock:
    """Clock that returns the virtual time of trio's mock clock."""

    def get_now(self) -> int:
        """Return the current time in milliseconds."""
        return round(trio.current_time() * 1000)


class CountingStore:
    """Store that counts the batches and applies all of them."""

    def __init__(self) -> None:
        """Create a store without commits."""
        self.commits = 0

    async def commit(self, batch: msg.CommitBatch) -> msg.BatchApplied:
        """Count the batch and report it as applied."""
        self.commits += 1
        return msg.BatchApplied(batch.batch_id, self.commits)

    async def read(self, key: str) -> msg.ReadFailed:
        """Report that the row could not be read."""
        return msg.ReadFailed(key)


async def fail_dispatch() -> DispatchFailure:
    """Return the failure of a dispatch that found no endpoint."""
    return DispatchFailure(ResultCode.NO_ENDPOINT, is_sent=False, message='')


async def run_claims(store: Any) -> None:
    """Claim 20 rows per second for 20 s as one of 200 daemons."""
    component = ClaimComponent(store, VirtualClock(), ClaimSettings())
    component.count_daemons = lambda: _DAEMONS
    async with trio.open_nursery() as nursery:
        await component.start(nursery)
        await trio.sleep(1)
        for number in range(20 * _SECONDS):
            name = str(number)
            request = msg.ClaimRequested(name, name, 'digest', name)
            nursery.start_soon(component.run_once, request, fail_dispatch)
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()


class TestCommitBudget:
    """Guards against too many commits by all daemons together."""

    def test_commit_rate_is_divided_by_daemons(self) -> None:
        """Each daemon must get its share of the budget, not 25 commits/s."""
        store = CountingStore()
        clock = MockClock(autojump_threshold=0)
        trio.run(run_claims, store, clock=clock)
        # The share is 1 of 200 commits/s, with a burst of 4.
        assert _SECONDS / 2 < store.commits <= _SECONDS + 5
