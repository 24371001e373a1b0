"""Work in flight that the other daemons of a service tell of."""

from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.load import Load

#: News of a peer that are older than this are no better than load reports.
_FRESH_TIME: Milliseconds = 1000
#: A peer that is silent for this long has stopped.
_FORGET_TIME: Milliseconds = 5000


@dataclass(frozen=True, slots=True)
class EndpointWork:
    """Work of one daemon in flight at one endpoint."""

    endpoint_id: str
    streams: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class _News:
    at: Milliseconds
    work: tuple[EndpointWork, ...]


class PeerWork:
    """Sums of the other daemons' work per endpoint of a service."""

    def __init__(self) -> None:
        """Create the sums of a service without news."""
        self._news: dict[str, _News] = {}
        self._streams: dict[str, int] = {}
        self._prompt_tokens: dict[str, int] = {}
        self._fresh_until: Milliseconds = -1

    def apply(
        self, peer: str, work: Iterable[EndpointWork], now: Milliseconds
    ) -> None:
        """Take the present work of a peer in place of the former.

        :param peer: identity of the other daemon.
        :param work: its work; endpoints without work may be left out.
        :param now: time of arrival.
        """
        self._forget_silent(now)
        self._forget(peer)
        news = _News(now, tuple(work))
        self._news[peer] = news
        self._count(news, 1)
        oldest = min(known.at for known in self._news.values())
        self._fresh_until = oldest + _FRESH_TIME

    def get_load(self, endpoint_id: str, now: Milliseconds) -> Load | None:
        """Return the peers' work, or None unless all their news are fresh.

        :param endpoint_id: endpoint of the service.
        :param now: current time.
        """
        if now > self._fresh_until:
            return None
        return Load(
            self._streams.get(endpoint_id, 0),
            self._prompt_tokens.get(endpoint_id, 0),
        )

    def _forget_silent(self, now: Milliseconds) -> None:
        silent = [
            peer
            for peer, news in self._news.items()
            if now - news.at > _FORGET_TIME
        ]
        for peer in silent:
            self._forget(peer)

    def _forget(self, peer: str) -> None:
        news = self._news.pop(peer, None)
        if news is not None:
            self._count(news, -1)

    def _count(self, news: _News, sign: int) -> None:
        for item in news.work:
            name = item.endpoint_id
            streams = self._streams.pop(name, 0) + sign * item.streams
            tokens = self._prompt_tokens.pop(name, 0)
            tokens += sign * item.prompt_tokens
            if streams:
                self._streams[name] = streams
            if tokens:
                self._prompt_tokens[name] = tokens
