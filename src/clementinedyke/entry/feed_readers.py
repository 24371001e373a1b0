"""Selects the daemons of a zone that read the store for the others."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds

#: Interval of a reader's messages without changes. Three of them may be lost
#: before the others of its zone read for themselves, which takes less than half
#: of the shortest drain delay, 2 s.
HEARTBEAT: Milliseconds = 250
_SILENCE: Milliseconds = 850
#: Fewer daemons read for themselves: a few calls are saved, and messages cost
#: processor time.
_MIN_DAEMONS = 12
#: A zone with this many daemons has a second reader, so that the loss of one
#: does not make all others read for a moment.
_MIN_MEMBERS_FOR_SECOND = 8
#: Delay, for each daemon with a better rank, before a daemon takes over.
_TAKEOVER_STEP: Milliseconds = 60
_MAX_STEPS = 15
_HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class _Reader:
    zone: str
    heard_at: Milliseconds


class ReaderElection:
    """Decides whether this daemon reads for its zone, and who else does.

    Daemons rank themselves by a hash of their hosts. Those that hear too few
    readers of their zone take over one after the other, best rank first, and a
    reader that hears enough better ones stops.
    """

    def __init__(self, host: str, zone: str) -> None:
        """Create an election in which this daemon does not read for others.

        :param host: name of this host.
        :param zone: availability zone of this host.
        """
        self._host = host
        self._zone = zone
        #: Other readers by host, as last heard.
        self._readers: dict[str, _Reader] = {}
        self._short_since: Milliseconds | None = None
        self._is_reader = False

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads for the others of its zone."""
        return self._is_reader

    def record_reader(self, host: str, zone: str, now: Milliseconds) -> None:
        """Record a message of a reader.

        :param host: host of the reader.
        :param zone: its availability zone.
        :param now: current instant.
        """
        self._readers[host] = _Reader(zone, now)

    def record_end(self, host: str) -> None:
        """Record that a daemon no longer reads for others.

        :param host: host of the daemon.
        """
        self._readers.pop(host, None)

    def list_readers(self, now: Milliseconds) -> set[str]:
        """Return the hosts of all other readers, of any zone.

        :param now: current instant.
        """
        return {
            host
            for host, reader in self._readers.items()
            if now - reader.heard_at < _SILENCE
        }

    def has_reader(self, now: Milliseconds) -> bool:
        """Return whether another daemon reads for the zone of this one.

        :param now: current instant.
        """
        return bool(self._list_zone_readers(now))

    def select_first(self, now: Milliseconds) -> str | None:
        """Return the reader of this zone with the best rank, None without one.

        :param now: current instant.
        """
        readers = self._list_zone_readers(now)
        if self._is_reader:
            readers.add(self._host)
        return min(readers, key=_get_rank, default=None)

    def select_expected(self, zones: dict[str, list[str]]) -> set[str]:
        """Return the daemons that are readers if no daemon has ended.

        They have to be told of this reader before they are heard from.

        :param zones: hosts of the daemons by availability zone.
        """
        expected: set[str] = set()
        for hosts in zones.values():
            ranked = sorted(hosts, key=_get_rank)
            expected.update(ranked[: _count_wanted(len(hosts))])
        return expected - {self._host}

    def update(
        self,
        members: Iterable[str],
        daemons: int,
        now: Milliseconds,
        *,
        may_read: bool,
    ) -> bool:
        """Decide again; return whether this daemon reads for its zone.

        :param members: hosts of the daemons of the zone.
        :param daemons: number of daemons of all zones.
        :param now: current instant.
        :param may_read: whether the store answers this daemon and it stays.
        """
        others = set(members) - {self._host}
        live = self._list_zone_readers(now)
        if not may_read or not others or daemons < _MIN_DAEMONS:
            self._is_reader = False
            self._short_since = None
            return False
        wanted = _count_wanted(len(others) + 1)
        own_rank = _get_rank(self._host)
        better = {host for host in live if _get_rank(host) < own_rank}
        if self._is_reader:
            self._is_reader = len(better) < wanted
        elif len(live) >= wanted:
            self._short_since = None
        else:
            self._is_reader = self._may_take_over(others - live, now)
        return self._is_reader

    def _list_zone_readers(self, now: Milliseconds) -> set[str]:
        """Return the hosts of the other readers of this zone."""
        return {
            host
            for host in self.list_readers(now)
            if self._readers[host].zone == self._zone
        }

    def _may_take_over(self, others: set[str], now: Milliseconds) -> bool:
        if self._short_since is None:
            self._short_since = now
        own_rank = _get_rank(self._host)
        before = sum(_get_rank(host) < own_rank for host in others)
        delay = min(before, _MAX_STEPS) * _TAKEOVER_STEP
        if now - self._short_since < delay:
            return False
        self._short_since = None
        return True


def _count_wanted(members: int) -> int:
    return 1 if members < _MIN_MEMBERS_FOR_SECOND else 2


def _get_rank(host: str) -> bytes:
    return hashlib.blake2b(host.encode(), digest_size=_HASH_BYTES).digest()
