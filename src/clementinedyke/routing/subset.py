"""Stable subset of the endpoints that a daemon uses.

Daemons and the endpoints of a service are sorted by availability zone, and by
hash within a zone. The daemon at place i of D uses the endpoints from place
i * n / D on. Equal steps use each endpoint equally often, and where zones have
equal shares of both, a daemon meets its own zone first. A second window half
a round away keeps work possible when a zone is lost.

Rendezvous hashing would move fewer assignments, but loads endpoints unevenly.
"""

import functools
import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Services with at most so many endpoints are used whole.
SMALL_SERVICE_SIZE = 8
_NEAR = 4
_FAR = 2
#: Daemons that use each endpoint through a window, when daemons are few.
_NEAR_USERS = 2
_FAR_USERS = 1
_HASH_BYTES = 8
#: Covers twice the daemons and endpoints of the target size.
_KEPT_RANKS = 2048


@dataclass(frozen=True, slots=True)
class RingEntry:
    """A daemon or endpoint and the availability zone that it is in."""

    name: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class RingPosition:
    """Place of a daemon among all daemons."""

    rank: int = 0
    daemons: int = 1


@dataclass(frozen=True, slots=True)
class SubsetWindows:
    """Number of endpoints of each window; the far one begins at ``offset``."""

    near: int
    far: int
    offset: int

    @property
    def size(self) -> int:
        """Number of endpoints that a daemon uses."""
        return self.near + self.far


def find_position(own: RingEntry, daemons: Iterable[RingEntry]) -> RingPosition:
    """Return the place of a daemon.

    :param own: this daemon; it is counted even if the others lack it.
    :param daemons: living daemons.
    """
    ring = _sort({*daemons, own})
    return RingPosition(ring.index(own), len(ring))


def compute_windows(endpoints: int, daemons: int) -> SubsetWindows:
    """Return the windows of a daemon.

    :param endpoints: live endpoints of the service.
    :param daemons: living daemons.
    """
    near = max(_NEAR, math.ceil(endpoints * _NEAR_USERS / daemons))
    far = max(_FAR, math.ceil(endpoints * _FAR_USERS / daemons))
    if endpoints <= SMALL_SERVICE_SIZE or near + far >= endpoints:
        return SubsetWindows(endpoints, 0, 0)
    offset = min(max(near, endpoints // 2), endpoints - far)
    return SubsetWindows(near, far, offset)


def select_subset(
    share: RingPosition, endpoints: Iterable[RingEntry]
) -> tuple[str, ...]:
    """Return the endpoints of a service that a daemon uses.

    :param share: place of the daemon.
    :param endpoints: live endpoints of one service.
    """
    ring = _sort(set(endpoints))
    count = len(ring)
    windows = compute_windows(count, share.daemons)
    start = share.rank * count // share.daemons
    offsets = (
        *range(windows.near),
        *range(windows.offset, windows.offset + windows.far),
    )
    chosen = [ring[(start + offset) % count] for offset in offsets]
    _spill(share.rank, chosen, ring)
    return tuple(place.name for place in chosen)


def compute_daemons_per_endpoint(endpoints: int, daemons: int) -> float:
    """Return the mean number of daemons that use an endpoint.

    :param endpoints: live endpoints of the service.
    :param daemons: living daemons.
    """
    if not endpoints:
        return daemons
    return daemons * compute_windows(endpoints, daemons).size / endpoints


def _spill(
    rank: int, chosen: list[RingEntry], ring: Sequence[RingEntry]
) -> None:
    """Replace one endpoint if all are in one zone of several.

    That happens only where a zone has about half of the endpoints or more.
    """
    zones = {place.availability_zone for place in chosen}
    if len(zones) > 1:
        return
    others = [place for place in ring if place.availability_zone not in zones]
    if others:
        chosen[-1] = others[rank % len(others)]


def _sort(places: Iterable[RingEntry]) -> list[RingEntry]:
    return sorted(places, key=_get_rank)


@functools.lru_cache(maxsize=_KEPT_RANKS)
def _get_rank(place: RingEntry) -> tuple[str, bytes]:
    # Consecutive names are often of one rack; hashing separates them.
    digest = hashlib.blake2b(place.name.encode(), digest_size=_HASH_BYTES)
    return place.availability_zone, digest.digest()
