"""Table of the known members with their ring order and digests."""

import hashlib
import zlib
from collections.abc import Iterable, Sequence

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import Member

#: 32 digests of 5 bytes fit one packet; 330 daemons make 10 per bucket.
BUCKETS = 32
_POSITION_BYTES = 8


def get_position(daemon_id: str) -> bytes:
    """Return the position of a daemon on the ring.

    The position is a hash, which separates the daemons of one rack: they
    often have consecutive names.

    :param daemon_id: identity of the daemon.
    """
    return hashlib.blake2b(
        daemon_id.encode(), digest_size=_POSITION_BYTES
    ).digest()


class MemberTable:
    """Newest record of each member."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._members: dict[str, Member] = {}
        self._positions: dict[str, bytes] = {}
        self._ended_at: dict[str, Milliseconds] = {}
        self._ring: list[Member] | None = None

    def get_member(self, daemon_id: str) -> Member | None:
        """Return the record of a daemon in any state, None if unknown.

        :param daemon_id: identity of the daemon.
        """
        return self._members.get(daemon_id)

    def list_members(self) -> list[Member]:
        """Return all records, including members that died or left."""
        return list(self._members.values())

    def list_ring(self) -> list[Member]:
        """Return the living members in ring order."""
        if self._ring is None:
            living = [
                member for member in self._members.values() if member.is_living
            ]
            living.sort(key=self._get_position)
            self._ring = living
        return self._ring

    def list_neighbours(self, daemon_id: str) -> list[Member]:
        """Return the living members at ring distances 1, 2, 4 and so on.

        All living members are returned if the daemon is not one of them.

        :param daemon_id: daemon from which the distance is counted.
        """
        ring = self.list_ring()
        known = self._members.get(daemon_id)
        if known is None or not known.is_living:
            return ring
        place = ring.index(known)
        distances = [1 << power for power in range(len(ring).bit_length())]
        return [
            ring[(place + distance) % len(ring)]
            for distance in distances
            if distance < len(ring)
        ]

    def merge(self, member: Member, now: Milliseconds) -> bool:
        """Store a record if it is newer and return whether it was stored.

        A record of an unknown member that died or left is ignored: the member
        may have been removed from the table before.

        :param member: record from another daemon or this one.
        :param now: current time on the clock of the process.
        """
        known = self._members.get(member.daemon_id)
        if known is None and not member.is_living:
            return False
        if known is not None and known.rank >= member.rank:
            return False
        self._members[member.daemon_id] = member
        self._positions[member.daemon_id] = get_position(member.daemon_id)
        self._ended_at.pop(member.daemon_id, None)
        if not member.is_living:
            self._ended_at[member.daemon_id] = now
        self._ring = None
        return True

    def remove_ended(self, before: Milliseconds) -> list[Member]:
        """Remove and return the members that died or left before a time.

        :param before: time on the clock of the process.
        """
        old = [
            self._members[daemon_id]
            for daemon_id, ended in self._ended_at.items()
            if ended < before
        ]
        for member in old:
            self._ended_at.pop(member.daemon_id)
            self._positions.pop(member.daemon_id)
            self._members.pop(member.daemon_id)
        return old

    def compute_digests(self) -> tuple[int, ...]:
        """Return the digest of the living members per bucket."""
        return compute_digests(
            (member.daemon_id, member.incarnation)
            for member in self.list_ring()
        )

    def list_buckets(self, buckets: Iterable[int]) -> tuple[Member, ...]:
        """Return the records of the given buckets, in any state.

        :param buckets: bucket numbers.
        """
        wanted = set(buckets)
        return tuple(
            member
            for member in self._members.values()
            if get_bucket(member.daemon_id) in wanted
        )

    def _get_position(self, member: Member) -> bytes:
        return self._positions[member.daemon_id]


def get_bucket(daemon_id: str) -> int:
    """Return the bucket number of a daemon, less than ``BUCKETS``.

    :param daemon_id: identity of the daemon.
    """
    return get_position(daemon_id)[0] % BUCKETS


def compute_digests(entries: Iterable[tuple[str, int]]) -> tuple[int, ...]:
    """Return a digest per bucket, independent of the order of entries.

    :param entries: daemon identities, each with an incarnation or version.
    """
    digests = [0 for _ in range(BUCKETS)]
    for daemon_id, number in entries:
        entry = f'{daemon_id} {number}'.encode()
        digests[get_bucket(daemon_id)] ^= zlib.crc32(entry)
    return tuple(digests)


def list_differing_buckets(
    own: Sequence[int], others: Sequence[int]
) -> tuple[int, ...]:
    """Return the numbers of the buckets whose digests differ.

    :param own: digests of this daemon per bucket.
    :param others: digests of another daemon per bucket.
    """
    pairs = zip(own, others, strict=False)
    return tuple(
        bucket for bucket, pair in enumerate(pairs) if pair[0] != pair[1]
    )
