"""Deterministic subsetting of the endpoints that a daemon uses.

Daemons and the endpoints of a service form two rings, each sorted by
availability zone, then by hash within a zone. The daemon at position i of D
uses a window of endpoints that starts at position i * n / D of n. Evenly
spaced windows use each endpoint equally often. Where each availability zone
has the same share of daemons and endpoints, the window starts in the daemon's
own zone. A second window, half the ring away, leaves usable endpoints when an
availability zone is lost.

Rendezvous hashing would change fewer assignments when endpoints come and go,
but it spreads the load unevenly.
"""

import functools
import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

#: Up to this number of endpoints, daemons use all endpoints of a service.
SMALL_SERVICE_SIZE = 8
#: Minimum window sizes in endpoints.
_MIN_NEAR_ENDPOINTS = 4
_MIN_FAR_ENDPOINTS = 2
#: Mean number of daemons per endpoint that each window provides at least. These
#: set the window sizes when there are few daemons.
_NEAR_DAEMONS_PER_ENDPOINT = 2
_FAR_DAEMONS_PER_ENDPOINT = 1
_HASH_BYTES = 8
#: Twice the number of daemons and endpoints of the target size.
_SORT_KEY_CACHE_SIZE = 2048


@dataclass(frozen=True, slots=True)
class RingEntry:
    """A daemon or endpoint in the ring, with its availability zone."""

    name: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class RingPosition:
    """Position of a daemon in the ring of ``daemons`` live daemons."""

    rank: int = 0
    daemons: int = 1


@dataclass(frozen=True, slots=True)
class SubsetWindows:
    """Sizes of the two windows of a daemon in endpoints.

    The far window starts ``offset`` endpoints after the start of the near one.
    """

    near: int
    far: int
    offset: int

    @property
    def size(self) -> int:
        """Number of endpoints that a daemon uses."""
        return self.near + self.far


def find_position(own: RingEntry, daemons: Iterable[RingEntry]) -> RingPosition:
    """Return the position of a daemon in the ring.

    :param own: this daemon; it is added if ``daemons`` lacks it.
    :param daemons: live daemons.
    """
    ring = _sort_ring({*daemons, own})
    return RingPosition(ring.index(own), len(ring))


def compute_windows(endpoints: int, daemons: int) -> SubsetWindows:
    """Return the sizes and the offset of a daemon's windows.

    :param endpoints: number of live endpoints of the service.
    :param daemons: number of live daemons.
    """
    near = max(
        _MIN_NEAR_ENDPOINTS,
        math.ceil(endpoints * _NEAR_DAEMONS_PER_ENDPOINT / daemons),
    )
    far = max(
        _MIN_FAR_ENDPOINTS,
        math.ceil(endpoints * _FAR_DAEMONS_PER_ENDPOINT / daemons),
    )
    if endpoints <= SMALL_SERVICE_SIZE or near + far >= endpoints:
        return SubsetWindows(endpoints, 0, 0)
    offset = min(max(near, endpoints // 2), endpoints - far)
    return SubsetWindows(near, far, offset)


def select_subset(
    position: RingPosition, endpoints: Iterable[RingEntry]
) -> tuple[str, ...]:
    """Return the ids of the endpoints of a service that a daemon uses.

    :param position: position of the daemon.
    :param endpoints: live endpoints of one service.
    """
    ring = _sort_ring(set(endpoints))
    count = len(ring)
    windows = compute_windows(count, position.daemons)
    start = position.rank * count // position.daemons
    offsets = (
        *range(windows.near),
        *range(windows.offset, windows.offset + windows.far),
    )
    chosen = [ring[(start + offset) % count] for offset in offsets]
    _ensure_second_zone(position.rank, chosen, ring)
    return tuple(entry.name for entry in chosen)


def compute_daemons_per_endpoint(endpoints: int, daemons: int) -> float:
    """Return the mean number of daemons that use an endpoint.

    :param endpoints: number of live endpoints of the service.
    :param daemons: number of live daemons.
    """
    if not endpoints:
        return daemons
    return daemons * compute_windows(endpoints, daemons).size / endpoints


def _ensure_second_zone(
    rank: int, chosen: list[RingEntry], ring: Sequence[RingEntry]
) -> None:
    """Replace the last endpoint if all are in one availability zone.

    This is needed only where one zone has about half of the endpoints or more.
    Does nothing if there is no other zone.
    """
    zones = {entry.availability_zone for entry in chosen}
    if len(zones) > 1:
        return
    others = [entry for entry in ring if entry.availability_zone not in zones]
    if others:
        chosen[-1] = others[rank % len(others)]


def _sort_ring(entries: Iterable[RingEntry]) -> list[RingEntry]:
    return sorted(entries, key=_get_sort_key)


@functools.lru_cache(maxsize=_SORT_KEY_CACHE_SIZE)
def _get_sort_key(entry: RingEntry) -> tuple[str, bytes]:
    # Consecutive names often share a rack; hashing spreads them out.
    digest = hashlib.blake2b(entry.name.encode(), digest_size=_HASH_BYTES)
    return entry.availability_zone, digest.digest()
