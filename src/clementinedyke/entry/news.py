"""What daemons tell one another of their work, many times a second."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from clementinedyke.clock import Milliseconds

#: News that are older than this many intervals of their sender count no more.
_LIFETIME_INTERVALS = 4
_MIN_LIFETIME: Milliseconds = 400
#: A daemon that was heard within the window of the retry budget shares it.
_SHARE_TIME: Milliseconds = 10000


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """One datagram: the sender's work and what it knows of the store.

    ``configuration_age`` is the time in ms since the store has confirmed the
    version, -1 if it never has. ``endpoints_revision`` is the revision of the
    last change of the endpoints that it knows. ``interval`` is the time in ms
    until the next datagram at the latest. ``work`` has running requests and
    unread prompt tokens by id of the endpoint. ``read_parts`` has the prompt
    parts that engines have read since the last datagram, by id of the endpoint.
    """

    host: str
    run_id: str
    sequence: int
    version: int
    configuration_age: int
    endpoints_revision: int
    interval: int
    work: dict[str, tuple[int, int]]
    read_parts: dict[str, list[str]]


@dataclass(frozen=True, slots=True)
class _Heard:
    news: PeerUpdate
    heard_at: Milliseconds


class PeerTable:
    """The last news of each other daemon, and sums over them."""

    def __init__(self, host: str) -> None:
        """Create an empty board.

        :param host: name of this host.
        """
        self._host = host
        self._heard: dict[str, _Heard] = {}
        self._active: set[str] = set()
        self._running: dict[str, int] = {}
        self._tokens: dict[str, int] = {}

    @property
    def running(self) -> Mapping[str, int]:
        """Requests of other daemons by id of the endpoint."""
        return self._running

    @property
    def tokens(self) -> Mapping[str, int]:
        """Unread prompt tokens of other daemons by id of the endpoint."""
        return self._tokens

    def apply_update(self, news: PeerUpdate, now: Milliseconds) -> bool:
        """Take news; tell whether they are newer than the last ones.

        :param news: decoded datagram.
        :param now: current instant.
        """
        if news.host == self._host:
            return False
        known = self._heard.get(news.host)
        if known is not None and known.news.run_id == news.run_id:
            if known.news.sequence >= news.sequence:
                return False
        self._deactivate(news.host)
        self._heard[news.host] = _Heard(news, now)
        self._activate(news)
        return True

    def expire(self, now: Milliseconds) -> None:
        """Drop the work of daemons that have fallen silent.

        :param now: current instant.
        """
        for host in tuple(self._active):
            heard = self._heard[host]
            if now - heard.heard_at > _get_lifetime(heard.news):
                self._deactivate(host)

    def count_daemons(self, now: Milliseconds) -> int:
        """Return how many daemons share the retry budget, this one included.

        :param now: current instant.
        """
        return 1 + sum(
            1
            for heard in self._heard.values()
            if now - heard.heard_at < _SHARE_TIME
        )

    def list_hosts(
        self, age: Milliseconds, now: Milliseconds
    ) -> frozenset[str]:
        """Return the hosts heard of in the last time, own included.

        :param age: how long ago the time begins.
        :param now: current instant.
        """
        heard = {
            host
            for host, item in self._heard.items()
            if now - item.heard_at <= age
        }
        return frozenset(heard | {self._host})

    def get_confirmation_time(
        self, version: int, now: Milliseconds
    ) -> Milliseconds | None:
        """Return the latest instant at which a version was the newest.

        :param version: version that is in force here.
        :param now: current instant.
        """
        instants = [
            heard.heard_at - heard.news.configuration_age
            for heard in self._heard.values()
            if heard.news.version == version
            and heard.news.configuration_age >= 0
        ]
        return max(instants, default=None)

    def select_newer_peer(
        self, version: int, revision: int, now: Milliseconds
    ) -> str | None:
        """Return a host that knows more of the store, None if there is none.

        :param version: version of the configuration that is in force here.
        :param revision: revision up to which this daemon knows the endpoints.
        :param now: current instant.
        """
        ahead = {
            host: (item.news.version, item.news.endpoints_revision)
            for host, item in self._heard.items()
            if now - item.heard_at <= _get_lifetime(item.news)
            and _is_ahead(item.news, version, revision)
        }
        return max(ahead, key=ahead.__getitem__, default=None)

    def _activate(self, news: PeerUpdate) -> None:
        self._active.add(news.host)
        for endpoint_id, (running, tokens) in news.work.items():
            self._add(endpoint_id, running, tokens)

    def _deactivate(self, host: str) -> None:
        if host not in self._active:
            return
        self._active.discard(host)
        news = self._heard[host].news
        for endpoint_id, counts in news.work.items():
            running, tokens = counts
            self._add(endpoint_id, -running, -tokens)

    def _add(self, endpoint_id: str, running: int, tokens: int) -> None:
        sums = ((self._running, running), (self._tokens, tokens))
        for totals, amount in sums:
            total = totals.get(endpoint_id, 0) + amount
            if total > 0:
                totals[endpoint_id] = total
            else:
                totals.pop(endpoint_id, None)


def _is_ahead(news: PeerUpdate, version: int, revision: int) -> bool:
    return news.version > version or news.endpoints_revision > revision


def _get_lifetime(news: PeerUpdate) -> Milliseconds:
    return max(_MIN_LIFETIME, _LIFETIME_INTERVALS * news.interval)
