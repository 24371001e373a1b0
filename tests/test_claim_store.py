"""Tests of claim rows and answers stored on the platform."""

from collections.abc import Awaitable, Callable

import trio

from clementinedyke.claims import messages as msg
from clementinedyke.claims.store import MAX_ROW_BODY_BYTES, ClaimStore
from clementinedyke.http.client import Address, HttpClient
from clementinedyke.reference_platform.objects import ObjectClient
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.standins.platform import PlatformStandin

Check = Callable[[ClaimStore, PlatformStandin], Awaitable[None]]


def compile_batch(body: bytes) -> msg.CommitBatch:
    """Return a batch with one row that holds an answer."""
    answer = msg.StoredAnswer(201, (('a', 'b'),), body)
    row = msg.ClaimRow('digest', 'nonce', msg.ClaimState.ANSWERED, answer)
    return msg.CommitBatch(1, (msg.RowWrite('key', 0, row),))


async def run_with_store(check: Check) -> None:
    """Run a check with a store on a platform stand-in."""
    async with trio.open_nursery() as nursery:
        platform = PlatformStandin()
        port = await platform.start(nursery, '127.0.0.1', 0)
        client = HttpClient(Address('127.0.0.1', port))
        store = ClaimStore(TableClient(client), ObjectClient(client))
        await check(store, platform)
        nursery.cancel_scope.cancel()


async def check_round_trip(
    store: ClaimStore, platform: PlatformStandin
) -> None:
    """Check that a large answer is stored as an object and read back."""
    batch = compile_batch(b'x' * (MAX_ROW_BODY_BYTES + 1))
    applied = await store.commit(batch)
    assert applied == msg.BatchApplied(1, 1)
    assert platform.stored_bodies
    found = await store.read('key')
    assert found == msg.RowRead('key', 1, batch.writes[0].row)


async def check_outage(store: ClaimStore, platform: PlatformStandin) -> None:
    """Check that no row is written if its answer cannot be stored."""
    platform.faults.outage = True
    batch = compile_batch(b'x' * (MAX_ROW_BODY_BYTES + 1))
    failed = await store.commit(batch)
    assert failed == msg.BatchFailed(1, is_unknown=False)
    assert platform.tables.revision == 0


async def check_lost_answer(
    store: ClaimStore, platform: PlatformStandin
) -> None:
    """Check that an applied commit without an answer is reported unknown."""
    platform.faults.lose_answers = 1
    batch = compile_batch(b'small')
    lost = await store.commit(batch)
    assert lost == msg.BatchFailed(1, is_unknown=True)
    found = await store.read('key')
    assert found == msg.RowRead('key', 1, batch.writes[0].row)


class TestClaimStore:
    """Guards against stored answers that cannot be replayed."""

    def test_large_answer(self) -> None:
        """Answers above the row limit must go to the object store."""
        trio.run(run_with_store, check_round_trip)

    def test_object_store_down(self) -> None:
        """A row stored without its answer would be replayed empty."""
        trio.run(run_with_store, check_outage)

    def test_lost_answer(self) -> None:
        """A commit whose answer is lost must not count as failed."""
        trio.run(run_with_store, check_lost_answer)
