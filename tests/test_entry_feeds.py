"""Tests of daemons that read the store for others."""

import itertools
from random import Random

import msgspec
import pytest
import trio
from tests.feed_world import DRAIN_DELAY, FeedWorld, run_feed_world

from clementinedyke.entry.feed_messages import (
    FEED_PREFIX,
    FeedNews,
    NewsRow,
    TableNews,
    decode_news,
    encode_news,
)
from clementinedyke.entry.feed_readers import ReaderElection
from clementinedyke.exceptions import ProtocolError

_SEEDS = (1, 2, 3)
_ZONE = 'zone-2'


def measure_calls(daemons: int, *, shares_reads: bool = True) -> float:
    """Return the calls of a daemon in 30 s with ten changes."""
    counts: list[int] = []

    async def scenario(world: FeedWorld) -> None:
        before = world.calls
        for number in range(10):
            world.store.put(f'new-{number}', b'ready')
            await trio.sleep(3)
        counts.append(world.calls - before)

    run_feed_world(daemons, scenario, shares_reads=shares_reads)
    return counts[0] / daemons


class TestCalls:
    """Guards against calls to the store that grow with the daemons.

    Each daemon followed the feeds by itself, and calls were the largest price
    of a large site.
    """

    def test_calls_of_a_daemon_fall_with_their_number(self) -> None:
        """A larger site makes fewer calls for each of its daemons."""
        calls = [measure_calls(daemons) for daemons in (18, 72, 195)]
        assert calls[0] > calls[1]
        assert calls[1] > calls[2]

    @pytest.mark.parametrize('daemons', [18, 72, 195])
    def test_reading_for_others_saves_calls(self, daemons: int) -> None:
        """Less than half of the calls are made than if each reads."""
        alone = measure_calls(daemons, shares_reads=False)
        assert measure_calls(daemons) < alone / 2

    def test_small_site_reads_for_itself(self) -> None:
        """A few daemons send no messages for this and have no readers."""

        async def scenario(world: FeedWorld) -> None:
            assert not any(item.is_reader for item in world.daemons.values())

        run_feed_world(8, scenario)


class TestChanges:
    """Guards against daemons that learn of a change too late.

    The bound is the drain delay: an endpoint that is gone must get no requests
    after it.
    """

    @pytest.mark.parametrize(
        ('daemons', 'seed'), [(18, 1), (18, 2), (72, 1), (72, 2), (195, 1)]
    )
    def test_calm(self, daemons: int, seed: int) -> None:
        """A change reaches all daemons, also right after other changes."""

        async def scenario(world: FeedWorld) -> None:
            assert await world.measure_change('i-0') < DRAIN_DELAY
            assert await world.measure_change('i-1') < DRAIN_DELAY

        run_feed_world(daemons, scenario, seed=seed)

    @pytest.mark.parametrize('seed', _SEEDS)
    @pytest.mark.parametrize('daemons', [18, 72])
    def test_lost_datagrams(self, daemons: int, seed: int) -> None:
        """A daemon that missed a change reads it from the store."""

        async def scenario(world: FeedWorld) -> None:
            world.faults.lost_share = 0.3
            for number in range(4):
                assert await world.measure_change(f'i-{number}') < DRAIN_DELAY
                await trio.sleep(1)

        run_feed_world(daemons, scenario, seed=seed)

    @pytest.mark.parametrize('seed', _SEEDS)
    @pytest.mark.parametrize('daemons', [18, 72])
    def test_readers_are_killed(self, daemons: int, seed: int) -> None:
        """The daemons of a zone read for themselves until others take over."""

        async def scenario(world: FeedWorld) -> None:
            for reader in world.list_readers(_ZONE):
                world.kill(reader)
            assert await world.measure_change('i-0') < DRAIN_DELAY
            await trio.sleep(5)
            assert world.list_readers(_ZONE)
            calls = world.calls
            await trio.sleep(5)
            assert world.calls - calls < len(world.daemons)

        run_feed_world(daemons, scenario, seed=seed)

    @pytest.mark.parametrize('seed', _SEEDS)
    def test_all_readers_are_killed(self, seed: int) -> None:
        """Nobody waits for the readers of another zone."""

        async def scenario(world: FeedWorld) -> None:
            for daemon in tuple(world.daemons.values()):
                if daemon.is_reader:
                    world.kill(daemon)
            assert await world.measure_change('i-0') < DRAIN_DELAY

        run_feed_world(72, scenario, seed=seed)

    @pytest.mark.parametrize('seed', _SEEDS)
    @pytest.mark.parametrize('daemons', [18, 72])
    def test_readers_lose_the_store(self, daemons: int, seed: int) -> None:
        """Readers whose calls get no answer hear of changes from other zones.

        The daemons that follow them reach the store and are bound by it.
        """

        async def scenario(world: FeedWorld) -> None:
            for reader in world.list_readers(_ZONE):
                reader.access.cut()
            assert await world.measure_change('i-0') < DRAIN_DELAY

        run_feed_world(daemons, scenario, seed=seed)

    @pytest.mark.parametrize('seed', _SEEDS)
    def test_late_messages_change_nothing(self, seed: int) -> None:
        """News of readers that stood still don't bring back what is gone."""

        async def scenario(world: FeedWorld) -> None:
            readers = world.list_readers(_ZONE)
            for reader in readers:
                world.faults.delays[reader.host] = 4
            world.store.put('i-8', b'leaving')
            world.store.remove('i-9')
            world.store.put('i-7', b'leaving')
            await trio.sleep(1)
            world.store.put('i-7', b'ready')
            await trio.sleep(DRAIN_DELAY / 1000)
            for _ in range(60):
                views = [item.list_ids() for item in world.daemons.values()]
                assert not any(ids & {'i-8', 'i-9'} for ids in views)
                assert all('i-7' in ids for ids in views)
                await trio.sleep(0.1)

        run_feed_world(72, scenario, seed=seed)


class TestReplacedReaders:
    """Guards against readers that never hear of those of the other zones.

    Each told the daemons of best rank of itself. Where these had been replaced,
    no changes were passed on between the zones any more.
    """

    @pytest.mark.parametrize('seed', _SEEDS)
    @pytest.mark.parametrize('daemons', [30, 72])
    def test_readers_of_all_zones(self, daemons: int, seed: int) -> None:
        """Readers know all others after all readers were replaced."""

        async def scenario(world: FeedWorld) -> None:
            former = [
                daemon for daemon in world.daemons.values() if daemon.is_reader
            ]
            for daemon in former:
                daemon.access.cut()
            await trio.sleep(8)
            for daemon in former:
                daemon.access.is_cut = False
            await trio.sleep(8)
            readers = [
                daemon for daemon in world.daemons.values() if daemon.is_reader
            ]
            hosts = {daemon.host for daemon in readers}
            assert hosts.isdisjoint(daemon.host for daemon in former)
            for daemon in readers:
                assert daemon.exchange.list_readers() == hosts

        run_feed_world(daemons, scenario, seed=seed)


class TestOlderCopy:
    """Guards against daemons that follow a store that went back in vain.

    They knew a higher revision than the readers, and ignored all changes
    until the store had reached it again.
    """

    @pytest.mark.parametrize('seed', _SEEDS)
    def test_change_after_the_return(self, seed: int) -> None:
        """A change in the store that returned reaches all daemons in time."""

        async def scenario(world: FeedWorld) -> None:
            copied = world.store.revision
            for number in range(20):
                world.store.put(f'lost-{number}', b'ready')
            await trio.sleep(5)
            world.store.return_to(copied)
            await trio.sleep(DRAIN_DELAY / 1000)
            assert await world.measure_change('i-3') < DRAIN_DELAY
            ids = [item.list_ids() for item in world.daemons.values()]
            assert all(known == ids[0] for known in ids)

        run_feed_world(30, scenario, seed=seed)


class TestReaderElection:
    """Guards against zones without a reader, or with many for long."""

    def test_daemon_that_may_not_read(self) -> None:
        """A daemon that stops, or that the store refuses, is no reader."""
        election = ReaderElection('host-1', 'zone-a')
        members = [f'host-{number}' for number in range(2, 5)]
        is_reader = False
        for now in range(0, 2000, 250):
            is_reader = election.update(members, 20, now, may_read=True)
        assert is_reader
        assert not election.update(members, 20, 2000, may_read=False)

    def test_one_reader_is_left(self) -> None:
        """Of two readers of a small zone the one of better rank goes on."""
        hosts = ['host-1', 'host-2', 'host-3', 'host-4']
        elections = {host: ReaderElection(host, 'zone-a') for host in hosts}
        for now, host in itertools.product(range(0, 4000, 250), hosts):
            others = [item for item in hosts if item != host]
            if elections[host].update(others, 20, now, may_read=True):
                for other in others:
                    elections[other].record_reader(host, 'zone-a', now)
        readers = [host for host in hosts if elections[host].is_reader]
        assert len(readers) == 1


class TestFeedMessages:
    """Guards against messages that end the receiver or can't be read."""

    @pytest.mark.parametrize('size', [1, 400000])
    def test_round_trip(self, size: int) -> None:
        """A message is read as it was sent, and a long one is compressed."""
        rows = [NewsRow('config', 7, b'x' * size), NewsRow('i-1', 8, None)]
        news = FeedNews('h', 'z', True, [TableNews('op', 3, 8, 40, rows)], 9)
        datagram = encode_news(news)
        assert datagram.startswith(FEED_PREFIX)
        assert len(datagram) < 60000
        assert decode_news(datagram) == news

    @pytest.mark.parametrize(
        'rest', [b'', b'\x00', b'\x01', b'\x01x', b'\x02\x90', b'\x00\x90']
    )
    def test_malformed(self, rest: bytes) -> None:
        """Bytes that are no message are an error that the receiver expects."""
        with pytest.raises(ProtocolError):
            decode_news(b''.join((FEED_PREFIX, rest)))

    def test_mixed_builds(self) -> None:
        """A message without the last fields, or with a further one, is read."""
        news = FeedNews('h', 'z', True, [TableNews('op', 3, 8, 40)], 9, 8)
        fields = msgspec.to_builtins(news)
        shorter = decode_news(encode_plain(fields[:-2]))
        assert shorter == FeedNews('h', 'z', True, news.tables)
        longer = encode_plain([*fields, 'further'])
        assert decode_news(longer) == news


def encode_plain(fields: list) -> bytes:
    """Return a datagram that is not compressed."""
    return b''.join((FEED_PREFIX, b'\x00', msgspec.msgpack.encode(fields)))


class TestLargeNews:
    """Guards against news that are longer than the queue of a link.

    A configuration went to all daemons of a zone in one burst. Most of them got
    none of it and read the store.
    """

    @pytest.mark.parametrize('seed', _SEEDS)
    def test_link_with_a_short_queue(self, seed: int) -> None:
        """Most daemons hear of a large change without a call to the store."""

        async def scenario(world: FeedWorld) -> None:
            world.faults.queue_bytes = 65536
            calls = world.calls
            world.store.put('large', Random(seed).randbytes(12000))
            # The gap is noticed and closed by own calls later than this.
            await trio.sleep(0.3)
            followers = [
                daemon
                for daemon in world.daemons.values()
                if not daemon.is_reader
            ]
            heard = sum('large' in daemon.list_ids() for daemon in followers)
            assert heard > len(followers) * 0.9
            assert world.calls - calls < len(world.daemons) / 2

        run_feed_world(72, scenario, seed=seed)

    def test_small_news_go_first(self) -> None:
        """A departure does not wait for a large change that is being sent."""

        async def scenario(world: FeedWorld) -> None:
            reader = world.list_readers(_ZONE)[0]
            rows = [NewsRow('large', 1, Random(1).randbytes(50000))]
            reader.exchange.publish(TableNews('other', 0, 1, 0, rows))
            await trio.sleep(0.001)
            before = len(world.sent)
            reader.exchange.publish(TableNews('other', 1, 2, 0))
            await trio.sleep(0.001)
            assert len(world.sent) > before + 5

        run_feed_world(72, scenario)

    def test_news_larger_than_a_datagram(self) -> None:
        """Daemons are told at once that they have to read the store."""

        async def scenario(world: FeedWorld) -> None:
            reader = world.list_readers(_ZONE)[0]
            rows = [NewsRow('large', 1, Random(1).randbytes(200000))]
            before = len(world.sent)
            reader.exchange.publish(TableNews('other', 0, 1, 0, rows))
            await trio.sleep(0.001)
            assert len(world.sent) > before + 5
            assert max(world.sent[before:]) < 2000

        run_feed_world(72, scenario)
