"""Tests of endpoint subsetting."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from clementinedyke.endpoints.registry import Endpoint
from clementinedyke.routing.endpoint_subset import EndpointSubset
from clementinedyke.routing.subset import (
    RingEntry,
    RingPosition,
    compute_windows,
    find_position,
    select_subset,
)

SIZES = st.integers(1, 40)
ZONES = st.integers(1, 6)


def place_evenly(kind: str, count: int, zones: int) -> list[RingEntry]:
    """Return ring entries, assigned to availability zones in turn."""
    return [
        RingEntry(f'{kind}-{number}', f'zone-{number % zones}')
        for number in range(count)
    ]


def assign(
    daemons: list[RingEntry], endpoints: list[RingEntry]
) -> dict[str, tuple[str, ...]]:
    """Return the subset of each daemon by daemon name."""
    return {
        own.name: select_subset(find_position(own, daemons), endpoints)
        for own in daemons
    }


def count_moved(before: dict, after: dict) -> int:
    """Return how many assignments ``after`` adds for daemons in both."""
    return sum(
        len(set(after[name]) - set(before[name]))
        for name in before.keys() & after.keys()
    )


class TestBalance:
    """Guards against endpoints with too many daemons or none."""

    @given(SIZES, SIZES, st.integers(3, 6))
    def test_users_differ_by_two_at_most(self, daemons, endpoints, zones):
        """Guards against overloaded endpoints.

        The number of users differs by at most one per window.
        """
        subsets = assign(
            place_evenly('d', daemons, zones),
            place_evenly('e', endpoints, zones),
        )
        users = Counter(name for names in subsets.values() for name in names)
        assert len(users) == endpoints
        assert max(users.values()) - min(users.values()) <= 2

    @given(SIZES, SIZES, ZONES, ZONES)
    def test_every_endpoint_is_used(
        self, daemons, endpoints, daemon_zones, endpoint_zones
    ):
        """Guards against idle endpoints where zones are of unequal size."""
        endpoint_list = place_evenly('e', endpoints, endpoint_zones)
        subsets = assign(
            place_evenly('d', daemons, daemon_zones), endpoint_list
        )
        used = {name for names in subsets.values() for name in names}
        assert used == {place.name for place in endpoint_list}

    @given(SIZES, SIZES, ZONES)
    def test_size_is_bounded(self, daemons, endpoints, zones):
        """Guards against unbounded subsets and repeated endpoints."""
        subsets = assign(
            place_evenly('d', daemons, zones),
            place_evenly('e', endpoints, zones),
        )
        bound = max(8, 6 + 3 * endpoints / daemons + 2)
        for names in subsets.values():
            assert len(set(names)) == len(names)
            assert 0 < len(names) <= bound

    def test_small_services_are_used_whole(self):
        """Guards against needless subsetting of small services."""
        daemons = place_evenly('d', 7, 4)
        for count in range(1, 9):
            subsets = assign(daemons, place_evenly('e', count, 4))
            assert {len(names) for names in subsets.values()} == {count}

    def test_own_zone_is_preferred(self):
        """Guards against needless cross-zone traffic.

        All zones have the same share of daemons and endpoints.
        """
        daemons = place_evenly('d', 165, 5)
        endpoints = place_evenly('e', 60, 5)
        zones = {place.name: place.availability_zone for place in endpoints}
        near = compute_windows(60, 165).near
        local = sum(
            zones[name] == own.availability_zone
            for own in daemons
            for name in select_subset(find_position(own, daemons), endpoints)[
                :near
            ]
        )
        assert local >= 0.8 * near * len(daemons)


class TestStability:
    """Guards against small changes that move many assignments."""

    @given(st.integers(20, 80), st.integers(12, 40), st.data())
    def test_loss_of_a_daemon(self, count, endpoints, data):
        """Guards against new subsets everywhere when one daemon restarts."""
        daemons = place_evenly('d', count, 5)
        lost = data.draw(st.sampled_from(daemons))
        rest = [place for place in daemons if place is not lost]
        listed = place_evenly('e', endpoints, 5)
        # A window starts at most one position later, which happens to about
        # one daemon per endpoint.
        near = compute_windows(endpoints, count)
        if near != compute_windows(endpoints, count - 1):
            return
        moved = count_moved(assign(daemons, listed), assign(rest, listed))
        assert moved <= 2 * (endpoints + 1)

    @given(st.integers(60, 80), st.integers(12, 19), st.data())
    def test_loss_of_an_endpoint(self, count, endpoints, data):
        """Guards against new subsets everywhere when one engine drains."""
        daemons = place_evenly('d', count, 5)
        listed = place_evenly('e', endpoints, 5)
        lost = data.draw(st.sampled_from(listed))
        rest = [place for place in listed if place is not lost]
        moved = count_moved(assign(daemons, listed), assign(daemons, rest))
        # The users of the endpoint move; each window shifts by at most one
        # position.
        assert moved <= 3 * count


class TestZoneLoss:
    """Guards against the loss of one zone leaving a daemon no endpoint."""

    @given(SIZES, SIZES, ZONES, st.integers(2, 6), st.data())
    def test_endpoints_remain(
        self, daemons, endpoints, daemon_zones, zones, data
    ):
        """Guards against a subset with endpoints of a single zone."""
        numbers = st.integers(0, zones - 1)
        listed = [
            RingEntry(f'e-{number}', f'zone-{data.draw(numbers)}')
            for number in range(endpoints)
        ]
        names = {place.name: place.availability_zone for place in listed}
        is_spread = len(set(names.values())) > 1
        subsets = assign(place_evenly('d', daemons, daemon_zones), listed)
        for chosen in subsets.values():
            seen = {names[name] for name in chosen}
            assert len(seen) > 1 or not is_spread


class TestEndpointSubset:
    """Selection from the endpoints that the platform lists."""

    def test_planner_uses_all_endpoints(self):
        """Guards against plans that treat engines outside a subset as missing.

        A daemon that may plan for a service uses all its endpoints.
        """
        subset = EndpointSubset(lambda: RingPosition(3, 330))
        listed = [
            Endpoint(f'{service}-{number}', service, f'z-{number % 5}', 'a')
            for service in ('chat', 'code')
            for number in range(20)
        ]
        assert len(subset.select(listed)) == 12
        subset.is_planner = {'chat'}.__contains__
        assert subset.is_outdated()
        chosen = subset.select(listed)
        assert sum(name.startswith('chat') for name in chosen) == 20
        assert len(chosen) == 26
        assert not subset.is_outdated()

    def test_leaving_endpoint_is_not_selected(self):
        """Guards against subsets with leaving endpoints, which get no work."""
        subset = EndpointSubset(RingPosition)
        listed = [
            Endpoint('a', 'chat', 'z', 'a', state='leaving'),
            Endpoint('b', 'chat', 'z', 'b'),
        ]
        assert subset.select(listed) == {'b'}
