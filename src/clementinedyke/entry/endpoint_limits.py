"""Request rates to which endpoints limit all daemons together."""

import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.entry.catalog import EntryEndpoint
from clementinedyke.entry.journal import Journal
from clementinedyke.entry.news import select_told

_MILLISECONDS_PER_SECOND = 1000
_HASH_BYTES = 8
#: Requests that a daemon may send at once after a pause.
_BURST = 1.0
#: Daemons that use a limited endpoint, for each request a second and besides.
#: Each may send a burst, so their number bounds what arrives in a moment.
_DAEMONS_PER_RATE = 2
_MIN_DAEMONS = 4
#: Lowest rate in requests a second at which an endpoint is used, so that an
#: answer tells when its limit is lifted.
_MIN_RATE = 0.1
#: Time after which a limit is forgotten that no answer has named again.
_LIFETIME: Milliseconds = 600000
#: Time for which the share of a limit is not computed again.
_SHARE_LIFETIME: Milliseconds = 500
#: Relative change of a limit that the other daemons learn at once.
_MIN_CHANGE = 0.1
#: Rate that stands for a limit that was lifted.
_LIFTED = -1.0

#: Run id of an endpoint, rate in requests a second, and age in ms.
LimitNews = tuple[str, float, int]


@dataclass(slots=True)
class _Limit:
    """Limit of a run of an endpoint, and what this daemon may send there.

    ``rate`` is in requests a second, None if the limit was lifted.
    ``named_at`` is the instant of the answer that tells it, and ``is_own``
    whether this daemon got that answer. ``tokens`` are the requests that this
    daemon may send now, and ``share`` is its part of the rate, computed at
    ``share_computed_at``.
    """

    rate: float | None
    named_at: Milliseconds
    is_own: bool
    updated_at: Milliseconds
    tokens: float = 0
    share: float = 0
    share_computed_at: Milliseconds | None = None

    def advance(self, now: Milliseconds) -> None:
        """Add the tokens of the time since the last call.

        :param now: current instant.
        """
        passed = now - self.updated_at
        self.updated_at = now
        rate = max(_MIN_RATE, self.rate or 0)
        gained = self.share * rate * passed / _MILLISECONDS_PER_SECOND
        self.tokens = min(_BURST, self.tokens + gained)


class EndpointLimits:
    """Keeps the requests of this daemon within its share of each limit."""

    def __init__(self, host: str, journal: Journal) -> None:
        """Create a table without limits.

        :param host: name of this host.
        :param journal: log of limits.
        """
        self._host = host
        self._journal = journal
        self._limits: dict[str, _Limit] = {}
        #: Returns the hosts of the daemons that send requests.
        self.list_hosts: Callable[[], Iterable[str]] = tuple
        #: Called with a limit that the other daemons have to know at once.
        self.urgent_observers: list[Callable[[], None]] = []

    def record_answer(
        self,
        endpoint: EntryEndpoint,
        rate: float | None,
        sent_at: Milliseconds,
        now: Milliseconds,
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        :param endpoint: endpoint that answered.
        :param rate: requests a second, None without a limit.
        :param sent_at: instant at which the request was sent. An answer to an
            earlier request may be older than the limit.
        :param now: current instant.
        """
        known = self._limits.get(endpoint.run_id)
        former = known.rate if known else None
        if rate is None and (
            known is None or former is None or sent_at <= known.named_at
        ):
            return
        self._set_limit(endpoint.run_id, rate, now, now, is_own=True)
        if _is_changed(former, rate):
            self._journal.write(
                'endpoint_limited',
                endpoint=endpoint.endpoint_id,
                former=former,
                rate=rate,
                share=round(self._limits[endpoint.run_id].share, 3),
            )
            for observer in self.urgent_observers:
                observer()

    def list_news(self, now: Milliseconds) -> list[LimitNews]:
        """Return what this daemon was told lately, the newest first.

        :param now: current instant.
        """
        self._remove_expired(now)
        named_at = {
            run_id: limit.named_at
            for run_id, limit in self._limits.items()
            if limit.is_own
        }
        return [
            (run_id, _encode_rate(self._limits[run_id].rate), age)
            for run_id, age in select_told(named_at, now)
        ]

    def receive_news(
        self, news: Sequence[LimitNews], now: Milliseconds
    ) -> None:
        """Apply limits that another daemon was told.

        :param news: items of the other daemon.
        :param now: current instant.
        """
        for run_id, rate, age in news:
            known = self._limits.get(run_id)
            named_at = now - max(0, age)
            if known is None or named_at > known.named_at:
                decoded = None if rate < 0 else rate
                self._set_limit(run_id, decoded, named_at, now, is_own=False)

    def may_send(self, endpoint: EntryEndpoint, now: Milliseconds) -> bool:
        """Return whether a request may be sent to an endpoint now.

        :param endpoint: any endpoint.
        :param now: current instant.
        """
        limit = self._limits.get(endpoint.run_id)
        if limit is None or limit.rate is None:
            return True
        self._advance(endpoint.run_id, limit, now)
        return limit.tokens >= _BURST

    def record_send(self, endpoint: EntryEndpoint, now: Milliseconds) -> None:
        """Record a request that is sent to an endpoint.

        :param endpoint: any endpoint.
        :param now: current instant.
        """
        limit = self._limits.get(endpoint.run_id)
        if limit is not None and limit.rate is not None:
            self._advance(endpoint.run_id, limit, now)
            limit.tokens -= 1

    def _set_limit(
        self,
        run_id: str,
        rate: float | None,
        named_at: Milliseconds,
        now: Milliseconds,
        *,
        is_own: bool,
    ) -> None:
        known = self._limits.get(run_id)
        if known is None or known.rate is None:
            # The daemons begin at different times, so that the endpoint gets
            # requests from the start and not all at once.
            weight = int.from_bytes(_get_weight(self._host, run_id), 'big')
            tokens = _BURST * weight / (1 << 8 * _HASH_BYTES)
            added = _Limit(rate, named_at, is_own, now, tokens)
            self._limits[run_id] = added
            self._advance(run_id, added, now)
            return
        self._advance(run_id, known, now)
        known.rate = rate
        known.named_at = named_at
        known.is_own = is_own

    def _advance(self, run_id: str, limit: _Limit, now: Milliseconds) -> None:
        limit.advance(now)
        computed_at = limit.share_computed_at
        if computed_at is None or now - computed_at >= _SHARE_LIFETIME:
            limit.share = self._compute_share(run_id, limit)
            limit.share_computed_at = now

    def _compute_share(self, run_id: str, limit: _Limit) -> float:
        """Return this daemon's share of a limit, 0 if others use it up.

        All daemons compute the same shares without coordination.
        """
        hosts = {*self.list_hosts(), self._host}
        count = _MIN_DAEMONS + int(_DAEMONS_PER_RATE * (limit.rate or 0))
        if len(hosts) > count:
            ranked = sorted(
                hosts, key=lambda host: _get_weight(host, run_id), reverse=True
            )
            if self._host not in ranked[:count]:
                return 0
        return 1 / min(count, len(hosts))

    def _remove_expired(self, now: Milliseconds) -> None:
        for run_id, limit in tuple(self._limits.items()):
            if now - limit.named_at >= _LIFETIME:
                self._limits.pop(run_id)


def _is_changed(former: float | None, rate: float | None) -> bool:
    if former is None or rate is None:
        return former is not rate
    return abs(rate - former) > _MIN_CHANGE * former


def _encode_rate(rate: float | None) -> float:
    return _LIFTED if rate is None else rate


def _get_weight(host: str, run_id: str) -> bytes:
    text = f'{host} {run_id}'
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
