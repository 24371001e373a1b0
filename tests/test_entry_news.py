"""Tests of the state updates that daemons exchange."""

from collections import Counter
from random import Random

import msgspec
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)

from clementinedyke.decoding import decode_msgpack
from clementinedyke.entry.news import PeerTable, PeerUpdate
from clementinedyke.quarantine.rows import SuspectRow


def create_update(
    host: str = 'host-2', sequence: int = 1, **fields: object
) -> PeerUpdate:
    """Return an update of a daemon."""
    given = {
        'run_id': f'{host}.1',
        'version': 3,
        'configuration_age': 100,
        'endpoints_revision': 50,
        'interval': 500,
        'work': {'i-1': (2, 9000)},
        'read_parts': {},
        **fields,
    }
    return PeerUpdate(host=host, sequence=sequence, **given)


class TestPeerUpdate:
    """Guards against daemons of two builds that don't understand each other."""

    def test_mixed_builds(self) -> None:
        """Updates without the newer fields or with a further one are read."""
        evidence = [
            SuspectRow('127.0.0.1:9', 'i-1/17', 'digest', is_crash=True)
        ]
        known = {
            'store_age': 40,
            'evidence': evidence,
            'suspects_revision': 7,
        }
        parts = {'cleared_parts': ['a'], 'tried_parts': ['b']}
        limits = {'limits': [('i-1/17', 0.5, 40)]}
        departures = {'departures': [('i-1/17', 30)]}
        relays = {'can_relay': True}
        update = create_update(
            **known, **parts, **limits, **relays, **departures, zone='zone-a'
        )
        fields = msgspec.to_builtins(update)
        decoder = msgspec.msgpack.Decoder(PeerUpdate)
        without_zone = decoder.decode(msgspec.msgpack.encode(fields[:-1]))
        assert without_zone == create_update(
            **known, **parts, **limits, **relays, **departures
        )
        without_departures = decoder.decode(msgspec.msgpack.encode(fields[:-2]))
        assert without_departures == create_update(
            **known, **parts, **limits, **relays
        )
        without_relays = decoder.decode(msgspec.msgpack.encode(fields[:-3]))
        assert without_relays == create_update(**known, **parts, **limits)
        without_limits = decoder.decode(msgspec.msgpack.encode(fields[:-4]))
        assert without_limits == create_update(**known, **parts)
        without_parts = decoder.decode(msgspec.msgpack.encode(fields[:-6]))
        assert without_parts == create_update(**known)
        former = decoder.decode(msgspec.msgpack.encode(fields[:-8]))
        assert former == create_update(store_age=40)
        oldest = decoder.decode(msgspec.msgpack.encode(fields[:-9]))
        assert oldest == create_update()
        newer = msgspec.msgpack.encode([*fields, 'further'])
        assert decoder.decode(newer) == update


class TestPeerTable:
    """Guards against totals that differ from the daemons' actual work."""

    def test_totals(self) -> None:
        """Work of several daemons at one endpoint must be added up."""
        table = PeerTable('host-1')
        table.apply_update(create_update('host-2'), 0)
        table.apply_update(create_update('host-3', work={'i-1': (1, 500)}), 0)
        assert table.running == {'i-1': 3}
        assert table.tokens == {'i-1': 9500}

    def test_update_replaces_work(self) -> None:
        """A newer update must replace the daemon's work, not add to it."""
        table = PeerTable('host-1')
        table.apply_update(create_update(sequence=1), 0)
        table.apply_update(create_update(sequence=2, work={'i-2': (1, 0)}), 10)
        assert table.running == {'i-2': 1}
        assert not table.tokens

    def test_reordered_datagrams(self) -> None:
        """An older datagram that arrives late must be ignored."""
        table = PeerTable('host-1')
        table.apply_update(create_update(sequence=2), 0)
        assert not table.apply_update(create_update(sequence=1, work={}), 1)
        assert table.running == {'i-1': 2}

    def test_restarted_daemon(self) -> None:
        """Updates of a restarted daemon must be accepted.

        Its sequence numbers start again from 1.
        """
        table = PeerTable('host-1')
        table.apply_update(create_update(sequence=900), 0)
        restarted = create_update(sequence=1, run_id='host-2.2', work={})
        assert table.apply_update(restarted, 10)
        assert not table.running

    def test_own_update(self) -> None:
        """An update of this host must be ignored, or its work counts twice."""
        table = PeerTable('host-1')
        assert not table.apply_update(create_update('host-1'), 0)

    def test_silent_daemon(self) -> None:
        """The work of a daemon that stopped sending updates must expire."""
        table = PeerTable('host-1')
        table.apply_update(create_update(), 0)
        table.expire(500)
        assert table.running
        table.expire(3000)
        assert not table.running

    def test_retry_budget_share(self) -> None:
        """A stopped daemon must be counted until the budget's window ends.

        It may have used its share of the retry budget in that window.
        """
        table = PeerTable('host-1')
        table.apply_update(create_update(), 0)
        assert table.count_daemons(9000) == 2
        assert table.count_daemons(20000) == 1

    def test_newer_peer(self) -> None:
        """A daemon that the store refuses must find a peer with newer state."""
        table = PeerTable('host-1')
        table.apply_update(create_update(), 0)
        generator = Random(1)
        assert table.select_newer_peer(3, 50, 10, generator) is None
        assert table.select_newer_peer(2, 50, 10, generator) == 'host-2'
        assert table.select_newer_peer(3, 49, 10, generator) == 'host-2'
        assert table.select_newer_peer(2, 49, 60000, generator) is None

    def test_newer_peers_share_the_load(self) -> None:
        """Daemons that fell behind together must not ask the same daemon."""
        table = PeerTable('host-1')
        for number in range(48):
            host = f'host-{number + 2}'
            update = create_update(host, endpoints_revision=50 + number)
            table.apply_update(update, 0)
        chosen = Counter(
            table.select_newer_peer(3, 40, 10, Random(seed))
            for seed in range(24)
        )
        assert max(chosen.values()) <= 4

    def test_confirmation(self) -> None:
        """Only updates with the same version must confirm it."""
        table = PeerTable('host-1')
        table.apply_update(create_update(configuration_age=300), 1000)
        assert table.get_confirmation_time(3, 'host-2') == 700
        assert table.get_confirmation_time(4, 'host-2') is None

    def test_confirmation_of_later_version(self) -> None:
        """Daemons that knew a version before this one must confirm it.

        Their next update may come seconds later on a large site.
        """
        table = PeerTable('host-1')
        table.apply_update(create_update('host-2', version=4), 1000)
        assert table.get_confirmation_time(3, 'host-2') is None
        table.apply_update(create_update('host-3'), 1200)
        assert table.get_confirmation_time(4, 'host-3') == 900

    def test_recent_hosts(self) -> None:
        """Only hosts with an update since the start of a window must be listed.

        The usage report of the window waits for the listed hosts.
        """
        table = PeerTable('host-1')
        table.apply_update(create_update('host-2'), 0)
        table.apply_update(create_update('host-3'), 8000)
        assert table.list_hosts(5000, 10000) == {'host-1', 'host-3'}


class TestFirstUpdates:
    """Guards against daemons that start together and don't hear of one another.

    Without work the first update came after seconds on a large site. Until then
    each daemon read the store for itself: 70% of all calls of a day.
    """

    def test_daemon_announces_itself(self) -> None:
        """A daemon sends an update as soon as it knows others."""

        async def scenario(env: EntryEnvironment) -> None:
            with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as receiver:
                await receiver.bind(('127.0.0.1', 0))
                ip, port = receiver.getsockname()
                row = {'ip': ip, 'port': port, 'zone': 'zone-a'}
                for number in range(200):
                    env.store.put('daemons', f'listed-{number}', row)
                env.store.put('op', 'config', CONFIGURATION)
                await env.start_daemon()
                with trio.fail_after(2):
                    datagram, _ = await receiver.recvfrom(65536)
            assert decode_msgpack(datagram, PeerUpdate).host == 'host-1'

        ScenarioRunner().run(scenario)
