"""Estimates endpoint load from reports and this daemon's own requests."""

from collections import deque
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds

#: An older report is ignored; the estimate then covers own work only.
_MAX_REPORT_AGE: Milliseconds = 10_000
#: Weight of a new report in the moving average of the prompt backlog. Reports
#: lag by more than the waiting time of a prompt, so a single one is mostly
#: noise.
_BACKLOG_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load reported by an endpoint.

    ``streams`` is the number of running requests, ``prompt_tokens`` the number
    of prompt tokens that are not yet processed.
    """

    streams: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class Load:
    """Estimated current load of an endpoint."""

    streams: float
    prompt_tokens: float


@dataclass(frozen=True, slots=True)
class _OwnChange:
    time: Milliseconds
    streams: int
    prompt_tokens: int


class LoadEstimate:
    """Estimates the load of one endpoint between its delayed reports."""

    __slots__ = (
        '_backlog',
        '_changed_prompt_tokens',
        '_changed_streams',
        '_changes',
        '_measured_at',
        '_report',
        'own_prompt_tokens',
        'own_streams',
    )

    def __init__(self) -> None:
        """Create the estimate for an endpoint without a report."""
        self.own_streams = 0
        self.own_prompt_tokens = 0
        self._report: LoadReport | None = None
        self._measured_at: Milliseconds = 0
        self._backlog = float(0)
        self._changes: deque[_OwnChange] = deque()
        self._changed_streams = 0
        self._changed_prompt_tokens = 0

    def apply_report(
        self, report: LoadReport, measured_at: Milliseconds
    ) -> None:
        """Apply a report unless a more recent one was already applied.

        :param report: load reported by the endpoint.
        :param measured_at: time of measurement by this daemon's clock.
        """
        if self._report is not None and measured_at < self._measured_at:
            return
        previous = self._backlog if self._report else report.prompt_tokens
        self._backlog = (
            _BACKLOG_WEIGHT * report.prompt_tokens
            + (1 - _BACKLOG_WEIGHT) * previous
        )
        self._report = report
        self._measured_at = measured_at
        while self._changes and self._changes[0].time <= measured_at:
            change = self._changes.popleft()
            self._changed_streams -= change.streams
            self._changed_prompt_tokens -= change.prompt_tokens

    def apply_own(
        self, streams: int, prompt_tokens: int, now: Milliseconds
    ) -> None:
        """Apply a change of this daemon's own work.

        :param streams: number of requests started (positive) or ended
            (negative).
        :param prompt_tokens: prompt tokens added (positive) or processed
            (negative).
        :param now: time of the change.
        """
        self.own_streams += streams
        self.own_prompt_tokens += prompt_tokens
        if self._is_stale(now):
            self._changes.clear()
            self._changed_streams = 0
            self._changed_prompt_tokens = 0
            return
        self._changes.append(_OwnChange(now, streams, prompt_tokens))
        self._changed_streams += streams
        self._changed_prompt_tokens += prompt_tokens

    def get_load(self, now: Milliseconds) -> Load:
        """Return the estimated load, which is at least this daemon's own work.

        :param now: current time.
        """
        report = self._report
        if report is None or self._is_stale(now):
            return Load(self.own_streams, self.own_prompt_tokens)
        streams = report.streams + self._changed_streams
        prompt_tokens = self._backlog + self._changed_prompt_tokens
        return Load(
            max(streams, self.own_streams),
            max(prompt_tokens, self.own_prompt_tokens),
        )

    def _is_stale(self, now: Milliseconds) -> bool:
        return self._report is None or now - self._measured_at > _MAX_REPORT_AGE
