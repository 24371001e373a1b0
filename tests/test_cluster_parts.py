"""Tests of single mechanisms of the control cores."""

import random
from contextlib import suppress

import msgspec
import pytest

from clementinedyke.configuration.events import (
    AdvertReceived,
    ConfigurationOptions,
    ListAnswered,
)
from clementinedyke.configuration.messages import (
    Advert,
    ConfigurationRow,
    ListAdvert,
)
from clementinedyke.control.messages import Member, Payload
from clementinedyke.control.payloads import PayloadStore
from clementinedyke.control.platform_lists import PlatformList, PlatformListCore
from clementinedyke.control.watchers import select_watchers
from clementinedyke.daemons import ControlOptions
from clementinedyke.exceptions import SettingError
from clementinedyke.members.events import MembershipOptions, Publish
from clementinedyke.members.update_queue import UpdateQueue
from clementinedyke.records.rows import RecordRows
from cluster_fake import FakeNetwork

DAEMONS = 30
RACK = 6
OWN = Member('a:1', 'h', 'r', 'z', 'a:1', 5, 5)


def start_cluster() -> FakeNetwork:
    """Return a settled cluster of three zones."""
    net = FakeNetwork(3)
    net.table.write('row', 1)
    for number in range(DAEMONS):
        net.start(number, f'zone-{number % 3}')
    net.run(30000)
    return net


def count_wrong_views(net: FakeNetwork) -> int:
    """Return how many daemons do not know just the running ones."""
    running = set(net.daemons)
    views = [
        {member.daemon_id for member in daemon.list_ring()}
        for daemon in net.daemons.values()
    ]
    return sum(view != running for view in views)


class TestLoss:
    """Guards against losses that are seen late, or never taken back."""

    def test_single_loss(self) -> None:
        """A killed daemon is known to be dead by all within 5 s."""
        net = start_cluster()
        net.kill('10.0.0.7:7000')
        net.run(5000)
        assert count_wrong_views(net) == 0

    def test_rack_loss(self) -> None:
        """A fifth of the daemons lost at once is seen by all within 8 s."""
        net = start_cluster()
        for number in range(RACK):
            net.kill(f'10.0.0.{number + 20}:7000')
        net.run(8000)
        assert count_wrong_views(net) == 0

    def test_partition_heals(self) -> None:
        """Zones that held each other for dead for a minute merge again."""
        net = start_cluster()
        net.cut_zones = {'zone-1'}
        net.run(60000)
        assert {len(daemon.list_ring()) for daemon in net.daemons.values()} == {
            DAEMONS // 3,
            DAEMONS - DAEMONS // 3,
        }
        net.cut_zones.clear()
        net.run(40000)
        assert count_wrong_views(net) == 0

    def test_rejoin(self) -> None:
        """A daemon that restarts on its address is living in a new run."""
        net = start_cluster()
        net.kill('10.0.0.7:7000')
        net.run(5000)
        net.start(7, 'zone-1')
        net.run(15000)
        assert count_wrong_views(net) == 0

    def test_rejoin_before_detection(self) -> None:
        """A restart faster than the detection leaves no dead record."""
        net = start_cluster()
        net.kill('10.0.0.7:7000')
        net.run(300)
        net.start(7, 'zone-1')
        net.run(15000)
        assert count_wrong_views(net) == 0


class TestStoreLoad:
    """Guards against a stampede on the store."""

    def test_outage(self) -> None:
        """Reads stay under a bound during and after an outage."""
        net = start_cluster()
        net.table.is_down = True
        net.run(20000)
        net.table.reads = 0
        net.run(20000)
        during = net.table.reads
        net.table.is_down = False
        net.table.reads = 0
        net.run(2000)
        assert during < DAEMONS * 20
        assert net.table.reads < DAEMONS * 4
        net.run(3000)
        assert all(net.is_fresh(name) for name in net.daemons)


class TestWatchers:
    """Guards against daemons that disagree on who polls."""

    def test_loss_moves_one_choice(self) -> None:
        """The loss of a member changes only the choice of that member."""
        members = [
            Member(f'd{number}', 'h', 'r', 'z', f'd{number}', 1, 1)
            for number in range(20)
        ]
        chosen = select_watchers(members, 'z', 2)
        remaining = [
            member for member in members if member.daemon_id != chosen[0]
        ]
        assert select_watchers(reversed(members), 'z', 2) == chosen
        assert select_watchers(remaining, 'z', 2)[0] == chosen[1]


class TestRecordRows:
    """Guards against lost deletions and half applied transactions."""

    def test_list_without_deleted_row(self) -> None:
        """A list of all rows removes what it lacks."""
        rows = RecordRows()
        rows.apply([ConfigurationRow('k', 4, 'live')], 4)
        missing = rows.list_missing([], 9)
        rows.apply(missing, 9)
        assert rows.rows['k'].value is None
        assert rows.version == 9

    def test_deletion_reaches_a_slow_reader(self) -> None:
        """A reader that has the old row gets the deletion from a peer."""
        rows = RecordRows()
        rows.apply([ConfigurationRow('k', 4, 'live')], 4)
        rows.apply([ConfigurationRow('k', 6)], 6)
        assert rows.select_chunk(4, 1000) == ([ConfigurationRow('k', 6)], 6)

    def test_transaction_is_whole(self) -> None:
        """A chunk ends between two transactions."""
        rows = RecordRows()
        written = [
            ConfigurationRow(f'k{number}', 1 + number // 3, 'x' * 50)
            for number in range(9)
        ]
        rows.apply(written, 3)
        chunk, upto = rows.select_chunk(0, 60)
        assert (len(chunk), upto) == (3, 1)

    def test_older_row(self) -> None:
        """A late answer does not bring a withdrawn key back."""
        rows = RecordRows()
        rows.apply([ConfigurationRow('k', 6, 'withdrawn')], 6)
        rows.apply([ConfigurationRow('k', 4, 'live')], 4)
        assert rows.rows['k'].value == 'withdrawn'
        assert rows.version == 6


class TestLists:
    """Guards against a left endpoint that comes back."""

    def test_slow_peer(self) -> None:
        """Content that may have been read earlier is not fetched."""
        core = PlatformListCore(ConfigurationOptions(), random.Random(1))
        core.handle(ListAnswered(0, b'new', 900), 1000)
        older = ListAdvert(digest=1, oldest=50, newest=0)
        newer = ListAdvert(digest=1, oldest=10, newest=0)
        for advert, asked_at, count in ((older, 1040, 0), (newer, 1040, 1)):
            heard = AdvertReceived('p', Advert(lists=(advert,)), asked_at)
            assert len(core.handle(heard, 1050)) == count

    def test_reads_are_shared(self) -> None:
        """Guards against list reads that grow with the number of daemons."""
        net = start_cluster()
        net.run(10000)
        before = net.table.list_reads
        net.run(60000)
        # Two reads/s of each of two lists, with room for jitter.
        assert 200 <= net.table.list_reads - before <= 280

    def test_outage_is_polled_slowly(self) -> None:
        """Guards against all daemons reading each second in an outage."""
        net = start_cluster()
        net.table.is_down = True
        net.run(20000)
        before = net.table.list_reads
        net.run(40000)
        reads = net.table.list_reads - before
        assert 0 < reads <= 2 * DAEMONS * 40 / 6

    def test_list_reaches_all(self) -> None:
        """A changed endpoint list is known everywhere within 6 s."""
        net = start_cluster()
        net.table.lists[PlatformList.ENDPOINTS] = b'["leaving"]'
        net.run(6000)
        contents = {
            daemon.node.lists.get_content(PlatformList.ENDPOINTS)
            for daemon in net.daemons.values()
        }
        assert contents == {b'["leaving"]'}


class TestPayloads:
    """Guards against old values and unbounded traffic."""

    def test_newest_wins(self) -> None:
        """An older value is ignored, and one of an earlier run outdone."""
        store = PayloadStore(OWN, MembershipOptions())
        store.publish('usage', b'mine')
        for version, content in ((3, b'b'), (2, b'a')):
            list(store.merge(Payload('usage', 'p:1', version, content)))
        list(store.merge(Payload('usage', OWN.daemon_id, 99, b'old')))
        peer = store.get_payload('usage', 'p:1')
        own = store.get_payload('usage', OWN.daemon_id)
        assert peer is not None and peer.content == b'b'
        assert own is not None and (own.version, own.content) == (100, b'mine')

    def test_spread(self) -> None:
        """Values of all daemons reach all daemons."""
        net = start_cluster()
        for name in net.daemons:
            net.feed(name, Publish('usage', name.encode()))
        net.run(30000)
        for daemon in net.daemons.values():
            payloads = daemon.node.membership.view.payloads
            assert len(payloads.list_topic('usage')) == DAEMONS

    def test_byte_budget(self) -> None:
        """A message takes no more than its budget."""
        queue: UpdateQueue[Payload] = UpdateQueue()
        for number in range(30):
            queue.add(number, Payload('t', str(number), 1, bytes(40)))
        taken = queue.take(200, 4)
        assert 0 < len(msgspec.msgpack.encode(taken)) <= 205
        with pytest.raises(ValueError):
            PayloadStore(OWN, MembershipOptions()).publish('t', bytes(200))


class TestOptions:
    """Guards against a daemon port that strangers can use."""

    def test_open_port(self) -> None:
        """A port off loopback needs a secret or certificates."""
        with pytest.raises(SettingError):
            ControlOptions(host='10.0.0.1')
        assert ControlOptions(host='10.0.0.1', secret='s').secret == 's'


class TestHostileMessages:
    """Guards against malformed content in well-formed messages."""

    def test_random_messages(self) -> None:
        """Decoded noise is refused by the decoder, never by a core."""
        net = FakeNetwork(4)
        name = net.start(0, 'z')
        source = random.Random(5)
        kinds = ('Ping', 'Ack', 'Sync', 'SyncMembers', 'Hint', 'FetchList')
        for _ in range(500):
            fields = [source.choice([0, -1, 2**62, [], [9, 40]]) for _ in 'ab']
            data = msgspec.msgpack.encode([source.choice(kinds), *fields])
            with suppress(msgspec.ValidationError):
                net.deliver('x:1', name, data)
        net.run(2000)
        assert name in net.daemons
