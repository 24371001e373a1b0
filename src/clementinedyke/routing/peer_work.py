"""Work in flight reported by the other daemons that use a service."""

from collections.abc import Iterable
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.routing.load import Load

#: Older reports of a peer are no more accurate than load reports of engines.
_MAX_REPORT_AGE: Milliseconds = 1000
#: A peer that has not reported for this long is assumed to have stopped.
_PEER_TIMEOUT: Milliseconds = 5000


@dataclass(frozen=True, slots=True)
class EndpointWork:
    """Work in flight of one daemon at one endpoint."""

    endpoint_id: str
    streams: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class _PeerReport:
    at: Milliseconds
    work: tuple[EndpointWork, ...]


class PeerWork:
    """Sum of the other daemons' work per endpoint of a service."""

    def __init__(self) -> None:
        """Create empty sums for a service without reports."""
        self._reports: dict[str, _PeerReport] = {}
        self._streams: dict[str, int] = {}
        self._prompt_tokens: dict[str, int] = {}
        self._fresh_until: Milliseconds = -1

    def apply(
        self, peer: str, work: Iterable[EndpointWork], now: Milliseconds
    ) -> None:
        """Replace the work of a peer by its latest report.

        :param peer: id of the other daemon.
        :param work: its current work; endpoints without work may be omitted.
        :param now: time at which the report arrived.
        """
        self._remove_silent_peers(now)
        self._remove_peer(peer)
        report = _PeerReport(now, tuple(work))
        self._reports[peer] = report
        self._add_work(report, 1)
        oldest = min(stored.at for stored in self._reports.values())
        self._fresh_until = oldest + _MAX_REPORT_AGE

    def get_load(self, endpoint_id: str, now: Milliseconds) -> Load | None:
        """Return the work of the peers, or None if a report is too old.

        None is also returned while no peer has reported.

        :param endpoint_id: endpoint of the service.
        :param now: current time.
        """
        if now > self._fresh_until:
            return None
        return Load(
            self._streams.get(endpoint_id, 0),
            self._prompt_tokens.get(endpoint_id, 0),
        )

    def _remove_silent_peers(self, now: Milliseconds) -> None:
        silent = [
            peer
            for peer, report in self._reports.items()
            if now - report.at > _PEER_TIMEOUT
        ]
        for peer in silent:
            self._remove_peer(peer)

    def _remove_peer(self, peer: str) -> None:
        report = self._reports.pop(peer, None)
        if report is not None:
            self._add_work(report, -1)

    def _add_work(self, report: _PeerReport, sign: int) -> None:
        for item in report.work:
            name = item.endpoint_id
            streams = self._streams.pop(name, 0) + sign * item.streams
            tokens = self._prompt_tokens.pop(name, 0)
            tokens += sign * item.prompt_tokens
            if streams:
                self._streams[name] = streams
            if tokens:
                self._prompt_tokens[name] = tokens
