"""Tests of what daemons know of the versions that began streams."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from tests.entry_samples import create_endpoint
from tests.version_fleet import LIFETIME, VersionFleet

from clementinedyke.entry.stream_messages import (
    StreamBegun,
    VersionAsked,
    VersionTold,
    decode_message,
    encode_message,
)
from clementinedyke.entry.stream_versions import (
    KEEPER_COUNT,
    KeeperSelection,
    StreamVersions,
    VersionHistory,
    compute_id,
)

_DAEMONS = 6
_VERSIONS = ('v0', 'v1', 'v2')
_daemons = st.integers(0, _DAEMONS - 1)
#: Figures of the two-year size: streams a second, daemons, and the bytes a
#: second of each daemon.
_STREAMS_PER_SECOND = 2500
_FLEET = 330
_ZONES = 10
_BYTES_PER_SECOND = 5000
#: Share of streams that break and are taken up again; an hour of the largest
#: recorded disruptions has less.
_RESUMED_SHARE = 0.02
_HEADER_BYTES = 28


class VersionMachine(RuleBasedStateMachine):
    """Streams, releases, kills, cuts, freezes and lost datagrams."""

    def __init__(self) -> None:
        """Create a fleet without streams."""
        super().__init__()
        self.fleet = VersionFleet(_DAEMONS)

    @rule(daemon=_daemons, choice=st.integers(0, 9))
    def begin(self, daemon: int, choice: int) -> None:
        """Begin a stream at a version that the daemon has in its view."""
        chosen = self.fleet.daemons[daemon]
        versions = sorted(chosen.versions.history.list_current('chat'))
        if versions and not chosen.is_frozen:
            self.fleet.begin(daemon, versions[choice % len(versions)])

    @rule(version=st.sampled_from(_VERSIONS))
    def add_version(self, version: str) -> None:
        """Start engines of a version."""
        if not self.fleet.store.is_down:
            self.fleet.store.versions.add(version)
            self.fleet.follow_store()

    @rule(choice=st.integers(0, 9))
    def remove_version(self, choice: int) -> None:
        """Let all engines of a version leave, unless it is the last one."""
        versions = sorted(self.fleet.store.versions)
        if len(versions) > 1 and not self.fleet.store.is_down:
            self.fleet.store.versions.discard(versions[choice % len(versions)])
            self.fleet.follow_store()

    @rule(daemon=_daemons)
    def restart(self, daemon: int) -> None:
        """Kill a daemon, which starts again without memory."""
        self.fleet.restart(daemon)

    @rule(daemon=_daemons)
    def freeze_or_thaw(self, daemon: int) -> None:
        """Let a daemon stand still, or go on."""
        frozen = self.fleet.daemons[daemon]
        frozen.is_frozen = not frozen.is_frozen

    @rule(zone=st.sampled_from([None, 'zone-a', 'zone-b', 'zone-c']))
    def cut_zone(self, zone: str | None) -> None:
        """Cut a zone off from the others and the store, or heal the cut."""
        self.fleet.cut_zone = zone
        for daemon in self.fleet.daemons:
            daemon.has_store = daemon.zone != zone

    @rule()
    def stop_or_start_store(self) -> None:
        """Let the store go down, or come back."""
        self.fleet.store.is_down = not self.fleet.store.is_down

    @rule(count=st.integers(1, 4))
    def lose_datagrams(self, count: int) -> None:
        """Lose the next datagrams."""
        self.fleet.losses = count

    @rule(duration=st.integers(1, 5000))
    def advance(self, duration: int) -> None:
        """Let time pass."""
        self.fleet.advance(duration)

    @rule(daemon=_daemons, data=st.data())
    def resume(self, daemon: int, data: st.DataObject) -> None:
        """Take a stream up again within its lifetime."""
        fleet = self.fleet
        now = fleet.clock.get_now()
        recent = [
            request_id
            for request_id, (_, begun_at) in fleet.streams.items()
            if now - begun_at < LIFETIME
        ]
        if not recent or fleet.daemons[daemon].is_frozen:
            return
        request_id = data.draw(st.sampled_from(recent))
        has_losses = bool(fleet.losses)
        is_known = fleet.is_known(daemon, request_id)
        version = fleet.find(daemon, request_id)
        assert version in {None, fleet.streams[request_id][0]}
        if is_known and not has_losses:
            assert version is not None

    @rule(daemon=_daemons)
    def resume_unnamed(self, daemon: int) -> None:
        """Take up a stream whose first request the caller does not name."""
        fleet = self.fleet
        now = fleet.clock.get_now()
        possible = {
            version
            for version, begun_at in fleet.streams.values()
            if now - begun_at < LIFETIME
        }
        version = fleet.find(daemon, None)
        assert version is None or possible <= {version}


class TestVersionsOfStreams:
    """Guards against streams that go on at another software version."""

    def test_versions_under_faults(self) -> None:
        """No daemon takes a stream for one of another version.

        A daemon that reaches one that knows the stream finds the version.
        """
        run_state_machine_as_test(
            VersionMachine,
            settings=settings(max_examples=150, stateful_step_count=40),
        )

    def test_half_of_the_daemons_killed(self) -> None:
        """Most streams of killed daemons are known to another daemon."""
        generator = Random(26)
        known = 0
        for _ in range(200):
            fleet = VersionFleet(_DAEMONS)
            fleet.store.versions.add('v1')
            fleet.follow_store()
            request_id = fleet.begin(0, 'v1')
            others = generator.sample(range(1, _DAEMONS), _DAEMONS // 2 - 1)
            for number in (0, *others):
                fleet.restart(number)
            known += fleet.find(_DAEMONS - 1, request_id) == 'v1'
        assert known > 180

    def test_restarted_daemons_do_not_guess(self) -> None:
        """The only version left need not have begun a stream.

        All daemons were killed, and its version has no engine any more.
        """
        fleet = VersionFleet(_DAEMONS)
        request_id = fleet.begin(0, 'v0')
        fleet.store.versions = {'v1'}
        fleet.restart_all()
        assert fleet.find(1, request_id) is None
        assert fleet.find(1, None) is None

    def test_old_view_is_not_trusted(self) -> None:
        """A version that was not yet seen may have begun a stream.

        Nobody knows the stream: its datagrams were lost and its daemon killed.
        """
        fleet = VersionFleet(_DAEMONS)
        fleet.advance(LIFETIME)
        fleet.store.versions.add('v1')
        fleet.losses = KEEPER_COUNT
        request_id = fleet.begin(0, 'v1')
        fleet.restart(0)
        assert fleet.find(1, request_id) is None
        assert fleet.find(1, None) is None

    @pytest.mark.parametrize('has_followed', [False, True])
    @pytest.mark.parametrize('absence', [5000, 8000])
    def test_version_that_came_and_went_unseen(
        self, absence: int, *, has_followed: bool
    ) -> None:
        """A daemon that was out of step does not guess what it missed.

        Engines of a new version joined and broke while it stood still. It took
        a stream of theirs up at the only version that it had ever seen.
        """
        fleet = VersionFleet(_DAEMONS)
        fleet.advance(2 * LIFETIME)
        absent = fleet.daemons[0]
        absent.is_frozen = True
        absent.has_store = False
        fleet.store.versions.add('v1')
        fleet.advance(absence // 2)
        request_id = fleet.begin(1, 'v1')
        fleet.store.versions.discard('v1')
        fleet.advance(absence // 2)
        absent.has_store = True
        if has_followed:
            absent.follow_store()
        assert fleet.find(0, request_id) is None
        assert fleet.find(0, None) is None
        fleet.advance(LIFETIME + 1000)
        assert fleet.find(0, None) == 'v0'

    def test_cut_zone_does_not_guess(self) -> None:
        """A daemon without store and peers knows too little."""
        fleet = VersionFleet(_DAEMONS)
        fleet.advance(LIFETIME)
        fleet.cut_zone = fleet.daemons[1].zone
        for daemon in fleet.daemons:
            daemon.has_store = daemon.zone != fleet.cut_zone
        fleet.store.versions.add('v1')
        fleet.follow_store()
        assert fleet.find(1, fleet.begin(0, 'v1')) is None

    def test_only_version(self) -> None:
        """A stream that nobody knows goes on if no other version served."""
        fleet = VersionFleet(_DAEMONS)
        fleet.advance(LIFETIME)
        fleet.losses = KEEPER_COUNT
        request_id = fleet.begin(0, 'v0')
        fleet.restart(0)
        assert fleet.find(0, request_id) == 'v0'

    def test_forgotten_in_time(self) -> None:
        """A daemon that runs for long forgets what nobody takes up again."""
        fleet = VersionFleet(_DAEMONS)
        for _ in range(50):
            fleet.begin(0, 'v0')
        fleet.advance(LIFETIME + 1)
        request_id = fleet.begin(0, 'v0')
        fleet.restart(5)
        fleet.find(5, request_id)
        counts = [len(daemon.versions.streams) for daemon in fleet.daemons]
        assert sum(counts) <= 2 + KEEPER_COUNT

    def test_bounded_memory(self) -> None:
        """A burst of streams must not fill the memory of a daemon."""
        versions = StreamVersions()
        for stream in range(30000):
            versions.record(stream, 'v1', LIFETIME, 0)
        assert len(versions) <= 20000
        assert versions.get_version(29999, 1) == 'v1'

    def test_history_of_versions(self) -> None:
        """A version counts for a while after its last engine has left."""
        history = VersionHistory()
        history.record_endpoints([create_endpoint('i-1', version='v1')], 100)
        history.record_endpoints([create_endpoint('i-2', version='v2')], 500)
        assert history.list_versions('chat', 500) == {'v1', 'v2'}
        assert history.list_versions('chat', 501) == {'v2'}
        assert history.reaches_back(100)
        assert not history.reaches_back(99)


class TestKeepers:
    """Guards against streams that nobody knows after a kill or a cut."""

    @settings(max_examples=200)
    @given(
        count=st.integers(1, 60), zones=st.integers(1, 6), seed=st.integers()
    )
    def test_keepers_are_asked(self, count: int, zones: int, seed: int) -> None:
        """Each daemon must ask the keepers, also one that has just started."""
        names = [f'zone-{number}' for number in range(zones)]
        hosts = {
            f'host-{number}': names[number % zones] for number in range(count)
        }
        selection = KeeperSelection()
        stream = compute_id(str(seed))
        keepers = selection.list_keepers(stream, hosts, 'zone-0')
        assert len(set(keepers)) == min(KEEPER_COUNT, len(keepers))
        assert hosts[keepers[0]] == 'zone-0'
        spread = {hosts[keeper] for keeper in keepers}
        assert len(spread) == min(KEEPER_COUNT, zones, count)
        assert set(keepers) <= set(selection.list_asked(stream, hosts))

    def test_bytes_of_a_large_fleet(self) -> None:
        """The messages of 330 daemons must fit into 5 KB/s of each.

        Bytes both ways with IP and UDP headers, at 2,500 streams a second.
        """
        stream = compute_id('9c41d07be2a35f68')
        version = 'v1.12.3-rc1'
        begun = encode_message(StreamBegun(stream, version, 11000))
        asked = encode_message(VersionAsked(stream, 'huvo11a', 11000))
        told = encode_message(
            VersionTold(stream, version, ['v1.12.2', version])
        )
        asked_hosts = 2 * _ZONES
        announced = KEEPER_COUNT * (len(begun) + _HEADER_BYTES)
        resumed = asked_hosts * (len(asked) + len(told) + 2 * _HEADER_BYTES)
        cost = 2 * (announced + _RESUMED_SHARE * resumed)
        assert cost * _STREAMS_PER_SECOND / _FLEET <= _BYTES_PER_SECOND

    def test_messages(self) -> None:
        """A message must reach the other daemon as it was sent."""
        for message in (
            StreamBegun(2**64 - 1, 'v1', 9000),
            VersionAsked(1, 'chat', 9000),
            VersionTold(1, None, []),
        ):
            assert decode_message(encode_message(message)) == message


class TestRollingRestart:
    """Guards against streams that outlive the daemons that know them.

    Keepers were told of a stream once, when it began. After each daemon had
    been restarted, nobody knew the versions of the streams that still ran.
    """

    @pytest.mark.parametrize('rounds', [1, 2, 3])
    @pytest.mark.parametrize('daemons', [2, 3, 6, 20])
    def test_version_is_found(self, daemons: int, rounds: int) -> None:
        """All daemons find the versions of all streams, with two in service."""
        fleet = VersionFleet(daemons)
        fleet.store.versions.add('v1')
        fleet.follow_store()
        begun = {
            fleet.begin(number, version): version
            for number in range(daemons)
            for version in ('v0', 'v1')
        }
        for step in range(daemons * rounds):
            fleet.restart(step % daemons)
            fleet.advance(100)
        for asker in range(daemons):
            for request_id, version in begun.items():
                assert fleet.find(asker, request_id) == version

    def test_lifetime_is_not_extended(self) -> None:
        """A daemon that is told later forgets a stream when the others do."""
        fleet = VersionFleet(3)
        fleet.store.versions.add('v1')
        fleet.follow_store()
        request_id = fleet.begin(0, 'v1')
        for number in (0, 1, 2, 0, 1, 2):
            fleet.advance(1000)
            fleet.restart(number)
        fleet.advance(LIFETIME - 6000 + 1)
        assert not any(
            fleet.is_known(number, request_id) for number in range(3)
        )

    def test_bytes_at_the_two_year_size(self) -> None:
        """A daemon that starts is told of its streams alone."""
        selection = KeeperSelection()
        zones = {
            f'host-{number}': f'zone-{number % _ZONES}'
            for number in range(_FLEET)
        }
        generator = Random(1)
        # What one daemon remembers: it began some streams and keeps others.
        streams = [generator.getrandbits(64) for _ in range(400)]
        told = selection.list_kept('host-7', streams, zones, 'zone-3')
        expected = [
            stream
            for stream in streams
            if 'host-7' in selection.list_keepers(stream, zones, 'zone-3')
        ]
        assert told == expected
        assert len(told) < len(streams) * KEEPER_COUNT / _ZONES
