"""Tests of the control cores: membership, configuration and lists."""

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
RACK_SIZE = 6
OWN = Member('a:1', 'h', 'r', 'z', 'a:1', 5, 5)


def start_cluster() -> FakeNetwork:
    """Return a cluster of three zones that has run for 30 s."""
    net = FakeNetwork(3)
    net.table.write('row', 1)
    for number in range(DAEMONS):
        net.start(number, f'zone-{number % 3}')
    net.run(30000)
    return net


def count_wrong_views(net: FakeNetwork) -> int:
    """Return how many daemons have a member list that is not exact."""
    running = set(net.daemons)
    views = [
        {member.daemon_id for member in daemon.list_ring()}
        for daemon in net.daemons.values()
    ]
    return sum(view != running for view in views)


class TestFailureDetection:
    """Guards against failures detected late and dead records never removed."""

    def test_single_loss(self) -> None:
        """All daemons remove a killed daemon within 5 s."""
        net = start_cluster()
        net.kill('10.0.0.7:7000')
        net.run(5000)
        assert count_wrong_views(net) == 0

    def test_rack_loss(self) -> None:
        """All remove a fifth of the daemons, killed at once, within 8 s."""
        net = start_cluster()
        for number in range(RACK_SIZE):
            net.kill(f'10.0.0.{number + 20}:7000')
        net.run(8000)
        assert count_wrong_views(net) == 0

    def test_partition_heals(self) -> None:
        """Zones that declared each other dead for a minute merge again."""
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

    def test_restart_after_detection(self) -> None:
        """A daemon that restarts on its address is a living member again."""
        net = start_cluster()
        net.kill('10.0.0.7:7000')
        net.run(5000)
        net.start(7, 'zone-1')
        net.run(15000)
        assert count_wrong_views(net) == 0

    def test_restart_before_detection(self) -> None:
        """A restart before the failure is detected leaves no dead record."""
        net = start_cluster()
        net.kill('10.0.0.7:7000')
        net.run(300)
        net.start(7, 'zone-1')
        net.run(15000)
        assert count_wrong_views(net) == 0


class TestStoreLoad:
    """Guards against a thundering herd of reads on the store."""

    def test_reads_during_outage(self) -> None:
        """The read rate stays bounded during and after an outage."""
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
    """Guards against daemons that disagree on the watchers."""

    def test_loss_replaces_only_lost_watcher(self) -> None:
        """The loss of a watcher replaces no other watcher."""
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
    """Guards against lost deletions and partly applied transactions."""

    def test_snapshot_without_deleted_row(self) -> None:
        """A row that is missing from a list of all rows is deleted."""
        rows = RecordRows()
        rows.apply([ConfigurationRow('k', 4, 'live')], 4)
        missing = rows.list_missing([], 9)
        rows.apply(missing, 9)
        assert rows.rows['k'].value is None
        assert rows.version == 9

    def test_deletion_in_chunk(self) -> None:
        """A peer that has the old row is sent its deletion."""
        rows = RecordRows()
        rows.apply([ConfigurationRow('k', 4, 'live')], 4)
        rows.apply([ConfigurationRow('k', 6)], 6)
        assert rows.select_chunk(4, 1000) == ([ConfigurationRow('k', 6)], 6)

    def test_chunk_keeps_transaction_together(self) -> None:
        """A chunk never ends within a transaction."""
        rows = RecordRows()
        written = [
            ConfigurationRow(f'k{number}', 1 + number // 3, 'x' * 50)
            for number in range(9)
        ]
        rows.apply(written, 3)
        chunk, upto = rows.select_chunk(0, 60)
        assert (len(chunk), upto) == (3, 1)

    def test_older_row_is_ignored(self) -> None:
        """A delayed answer does not restore a withdrawn key."""
        rows = RecordRows()
        rows.apply([ConfigurationRow('k', 6, 'withdrawn')], 6)
        rows.apply([ConfigurationRow('k', 4, 'live')], 4)
        assert rows.rows['k'].value == 'withdrawn'
        assert rows.version == 6


class TestPlatformLists:
    """Guards against stale lists and too many reads of the platform."""

    def test_older_content_is_not_fetched(self) -> None:
        """Content is not fetched if the peer may have read it earlier.

        Otherwise a slow peer would restore an endpoint that was removed.
        """
        core = PlatformListCore(ConfigurationOptions(), random.Random(1))
        core.handle(ListAnswered(0, b'new', 900), 1000)
        older = ListAdvert(digest=1, oldest=50, newest=0)
        newer = ListAdvert(digest=1, oldest=10, newest=0)
        for advert, asked_at, count in ((older, 1040, 0), (newer, 1040, 1)):
            heard = AdvertReceived('p', Advert(lists=(advert,)), asked_at)
            assert len(core.handle(heard, 1050)) == count

    def test_read_rate_is_bounded(self) -> None:
        """Guards against list reads that grow with the number of daemons."""
        net = start_cluster()
        net.run(10000)
        before = net.table.list_reads
        net.run(60000)
        # 2 reads/s of each of 2 lists in 60 s, with a margin for jitter.
        assert 200 <= net.table.list_reads - before <= 280

    def test_read_rate_in_outage(self) -> None:
        """Guards against every daemon reading each second in an outage."""
        net = start_cluster()
        net.table.is_down = True
        net.run(20000)
        before = net.table.list_reads
        net.run(40000)
        reads = net.table.list_reads - before
        assert 0 < reads <= 2 * DAEMONS * 40 / 6

    def test_change_reaches_all_daemons(self) -> None:
        """All daemons have a changed endpoint list within 6 s."""
        net = start_cluster()
        net.table.lists[PlatformList.ENDPOINTS] = b'["leaving"]'
        net.run(6000)
        contents = {
            daemon.node.lists.get_content(PlatformList.ENDPOINTS)
            for daemon in net.daemons.values()
        }
        assert contents == {b'["leaving"]'}


class TestPayloads:
    """Guards against outdated values and unbounded traffic."""

    def test_older_value_is_ignored(self) -> None:
        """Older values are ignored, and those of an earlier run superseded."""
        store = PayloadStore(OWN, MembershipOptions())
        store.publish('usage', b'mine')
        for version, content in ((3, b'b'), (2, b'a')):
            list(store.merge(Payload('usage', 'p:1', version, content)))
        list(store.merge(Payload('usage', OWN.daemon_id, 99, b'old')))
        peer = store.get_payload('usage', 'p:1')
        own = store.get_payload('usage', OWN.daemon_id)
        assert peer is not None and peer.content == b'b'
        assert own is not None and (own.version, own.content) == (100, b'mine')

    def test_values_reach_all_daemons(self) -> None:
        """The values of all daemons reach all daemons within 30 s."""
        net = start_cluster()
        for name in net.daemons:
            net.feed(name, Publish('usage', name.encode()))
        net.run(30000)
        for daemon in net.daemons.values():
            payloads = daemon.node.membership.view.payloads
            assert len(payloads.list_topic('usage')) == DAEMONS

    def test_byte_budget(self) -> None:
        """Messages stay within the byte budget, and long values are refused."""
        queue: UpdateQueue[Payload] = UpdateQueue()
        for number in range(30):
            queue.add(number, Payload('t', str(number), 1, bytes(40)))
        taken = queue.take(200, 4)
        assert 0 < len(msgspec.msgpack.encode(taken)) <= 205
        with pytest.raises(ValueError):
            PayloadStore(OWN, MembershipOptions()).publish('t', bytes(200))


class TestOptions:
    """Guards against a daemon port open to unauthenticated peers."""

    def test_port_off_loopback_needs_secret(self) -> None:
        """A port that is not on loopback needs a secret or certificates."""
        with pytest.raises(SettingError):
            ControlOptions(host='10.0.0.1')
        assert ControlOptions(host='10.0.0.1', secret='s').secret == 's'


class TestMalformedMessages:
    """Guards against invalid field values in well-formed messages."""

    def test_random_fields(self) -> None:
        """Messages with random fields do not make a core fail."""
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
