"""Software versions that began streams, and the daemons that keep them."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint

#: Daemons that keep the version of a stream beside the one that began it.
KEEPER_COUNT = 3
#: Daemons asked in each availability zone. The second one is the keeper if the
#: first has started meanwhile.
_ASKED_PER_ZONE = 2
#: Up to this number of other daemons, all of them are asked.
_MAX_ASKED_EACH = 16
#: Streams that a daemon remembers. The busiest one learns of some tens of
#: streams a second, each for less than a minute.
_MAX_STREAMS = 20000
#: A version that no endpoint has any more is remembered for this time.
_MAX_HISTORY: Milliseconds = 600000
_ID_BYTES = 8


def compute_id(text: str) -> int:
    """Return the id of a stream or a host, an unsigned number of 64 bits.

    :param text: id of the request that began the stream, or name of the host.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=_ID_BYTES).digest()
    return int.from_bytes(digest, 'big')


class KeeperSelection:
    """Selects the daemons that keep the version of a stream.

    The daemons closest to the stream by the XOR of their ids keep it, so that
    any daemon finds them without a list of streams. They are in different
    availability zones as far as possible, and one is in the zone of the daemon
    that began the stream, which others may not reach.
    """

    def __init__(self) -> None:
        """Create a selection; ids of hosts are computed once."""
        self._host_ids: dict[str, int] = {}

    def list_keepers(
        self, stream: int, zones: Mapping[str, str], own_zone: str
    ) -> list[str]:
        """Return the hosts that keep the version of a stream.

        :param stream: id of the stream.
        :param zones: availability zones of the other daemons by host.
        :param own_zone: availability zone of the daemon that began it.
        """
        ranked = self._rank_by_zone(stream, zones)
        # The zones are in the order of their closest hosts.
        groups = [ranked.pop(own_zone, []), *ranked.values()]
        first = [hosts[0] for hosts in groups if hosts]
        second = [hosts[1] for hosts in groups if len(hosts) > 1]
        return [*first, *second][:KEEPER_COUNT]

    def list_kept(
        self,
        host: str,
        streams: Iterable[int],
        zones: Mapping[str, str],
        own_zone: str,
    ) -> list[int]:
        """Return the streams whose versions a host keeps.

        :param host: one of the hosts in ``zones``.
        :param streams: ids of streams.
        :param zones: availability zones of the other daemons by host.
        :param own_zone: availability zone of this daemon.
        """
        neighbours = [
            item for item, zone in zones.items() if zone == zones[host]
        ]
        return [
            stream
            for stream in streams
            # The cheaper condition comes first: it spares the ranking of all
            # hosts for most streams.
            if self._is_among_closest(stream, host, neighbours)
            and host in self.list_keepers(stream, zones, own_zone)
        ]

    def list_asked(self, stream: int, zones: Mapping[str, str]) -> list[str]:
        """Return the hosts that may know the version of a stream.

        :param stream: id of the stream.
        :param zones: availability zones of the other daemons by host.
        """
        if len(zones) <= _MAX_ASKED_EACH:
            return list(zones)
        return [
            host
            for hosts in self._rank_by_zone(stream, zones).values()
            for host in hosts[:_ASKED_PER_ZONE]
        ]

    def _is_among_closest(
        self, stream: int, host: str, neighbours: Iterable[str]
    ) -> bool:
        """Return whether a host is first or second in its zone."""
        distance = self._get_distance(stream, host)
        closer = sum(
            self._get_distance(stream, item) < distance for item in neighbours
        )
        return closer < _ASKED_PER_ZONE

    def _rank_by_zone(
        self, stream: int, zones: Mapping[str, str]
    ) -> dict[str, list[str]]:
        """Return the hosts of each zone, the closest ones first."""
        ranked: dict[str, list[str]] = {}
        for host in sorted(zones, key=partial(self._get_distance, stream)):
            ranked.setdefault(zones[host], []).append(host)
        return ranked

    def _get_distance(self, stream: int, host: str) -> int:
        known = self._host_ids.get(host)
        if known is None:
            known = compute_id(host)
            self._host_ids[host] = known
        return stream ^ known


class StreamVersions:
    """Versions of streams that this daemon began or keeps."""

    def __init__(self) -> None:
        """Create an empty table."""
        #: Version and instant of expiry by stream, in the order of recording.
        self._streams: dict[int, tuple[str, Milliseconds]] = {}

    def __len__(self) -> int:
        """Return the number of streams that are remembered."""
        return len(self._streams)

    def record(
        self,
        stream: int,
        version: str,
        lifetime: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Remember the version of a stream.

        :param stream: id of the stream.
        :param version: software version of the engine that began it.
        :param lifetime: time in ms after which no caller takes it up again.
        :param now: current instant.
        """
        self._streams.pop(stream, None)
        self._streams[stream] = (version, now + lifetime)
        self._remove_expired(now)

    def get_version(self, stream: int, now: Milliseconds) -> str | None:
        """Return the version of a stream, None if it is not known.

        :param stream: id of the stream.
        :param now: current instant.
        """
        self._remove_expired(now)
        version, expires_at = self._streams.get(stream, (None, now))
        return version if now < expires_at else None

    def list_streams(
        self, now: Milliseconds
    ) -> dict[int, tuple[str, Milliseconds]]:
        """Return the version and the remaining lifetime in ms by stream.

        :param now: current instant.
        """
        self._remove_expired(now)
        return {
            stream: (version, expires_at - now)
            for stream, (version, expires_at) in self._streams.items()
            if expires_at > now
        }

    def _remove_expired(self, now: Milliseconds) -> None:
        """Remove expired streams from the start, and the oldest if too many.

        One with a long lifetime delays the removal of those behind it.
        """
        while self._streams:
            oldest = next(iter(self._streams))
            is_expired = self._streams[oldest][1] <= now
            if not is_expired and len(self._streams) <= _MAX_STREAMS:
                return
            self._streams.pop(oldest)


@dataclass(slots=True)
class _ServiceVersions:
    """Versions with endpoints, and when others lost their last endpoint."""

    current: set[str] = field(default_factory=set)
    gone_at: dict[str, Milliseconds] = field(default_factory=dict)

    def replace_current(self, present: set[str], now: Milliseconds) -> None:
        gone = dict.fromkeys(self.current - present, now)
        self.gone_at = {
            version: gone_at
            for version, gone_at in {**self.gone_at, **gone}.items()
            if now - gone_at < _MAX_HISTORY
        }
        self.current = present


class VersionHistory:
    """Versions that the endpoints of each service had of late.

    If a service had endpoints of one version only, this one began each of its
    streams.
    """

    def __init__(self) -> None:
        """Create a history that reaches back to no instant yet."""
        self._services: dict[str, _ServiceVersions] = {}
        self._known_since: Milliseconds | None = None

    def record_endpoints(
        self, endpoints: Iterable[EntryEndpoint], now: Milliseconds
    ) -> None:
        """Record the endpoints that are registered from now on.

        :param endpoints: all endpoints, leaving ones included.
        :param now: current instant.
        """
        if self._known_since is None:
            self._known_since = now
        current: dict[str, set[str]] = {}
        for endpoint in endpoints:
            current.setdefault(endpoint.service, set()).add(endpoint.version)
        for service in self._services.keys() | current.keys():
            known = self._services.setdefault(service, _ServiceVersions())
            present = current.get(service, set())
            known.replace_current(present, now)

    def list_current(self, service: str) -> frozenset[str]:
        """Return the versions that a service has endpoints of now.

        :param service: name of the service.
        """
        return frozenset(self._get_service(service).current)

    def list_versions(
        self, service: str, since: Milliseconds
    ) -> frozenset[str]:
        """Return the known versions of a service since an instant.

        :param service: name of the service.
        :param since: instant on the clock of this host.
        """
        known = self._get_service(service)
        recent = (
            version
            for version, gone_at in known.gone_at.items()
            if gone_at >= since
        )
        return frozenset(known.current).union(recent)

    def _get_service(self, service: str) -> _ServiceVersions:
        return self._services.get(service, _ServiceVersions())

    def reaches_back(self, since: Milliseconds) -> bool:
        """Return whether all versions since an instant are known.

        :param since: instant on the clock of this host.
        """
        return self._known_since is not None and self._known_since <= since
