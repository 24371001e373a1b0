"""Load of an endpoint: its last report corrected by this daemon's own work."""

from collections import deque
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds

#: A report older than this says nothing; only own work is counted then.
_STALE_AFTER: Milliseconds = 10_000
#: Weight of a new backlog report. Reports lag by more than a prompt waits, so
#: a single report of the backlog is mostly noise.
_BACKLOG_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports.

    ``streams`` counts requests that run; ``prompt_tokens`` counts tokens of
    prompts that are not processed yet.
    """

    streams: int
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class Load:
    """Estimated load of an endpoint now."""

    streams: float
    prompt_tokens: float


@dataclass(frozen=True, slots=True)
class _OwnChange:
    at: Milliseconds
    streams: int
    prompt_tokens: int


class LoadEstimate:
    """Estimates the load of one endpoint between its lagging reports."""

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
        """Create the estimate of an endpoint that has not reported."""
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
        """Take a report; older ones than the last are ignored.

        :param report: load that the endpoint reports.
        :param measured_at: when it was measured, on this daemon's clock.
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
        while self._changes and self._changes[0].at <= measured_at:
            change = self._changes.popleft()
            self._changed_streams -= change.streams
            self._changed_prompt_tokens -= change.prompt_tokens

    def apply_own(
        self, streams: int, prompt_tokens: int, now: Milliseconds
    ) -> None:
        """Count a change of this daemon's own work.

        :param streams: requests started (positive) or ended (negative).
        :param prompt_tokens: prompt tokens added or processed.
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
        """Return the estimated load, never below this daemon's own work.

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
        return self._report is None or now - self._measured_at > _STALE_AFTER
