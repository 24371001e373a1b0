"""Outcome of each request and the figures of a run."""

import enum
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from bench.policy_load import TOKEN_INTERVAL, Request

LATE_REFUSAL = 250


class Ending(enum.Enum):
    """How a request ended for its caller."""

    OPEN = 'open'
    WHOLE = 'whole'
    REFUSED = 'refused'
    BROKEN = 'broken'


@dataclass(slots=True, eq=False)
class Outcome:
    """What the caller saw of one request."""

    request: Request
    ending: Ending = Ending.OPEN
    first_at: float = 0
    ended_at: float = 0
    attempts: int = 0
    on_cheap: bool = False
    harmed_by_cheap: bool = False
    lost: bool = False
    had_free_capacity: bool = False

    @property
    def is_good(self) -> bool:
        """Whether the answer was whole and timely."""
        if self.ending is not Ending.WHOLE:
            return False
        request = self.request
        if request.service == 'plain':
            return self.ended_at - request.at <= request.first_token_limit
        if self.first_at - request.at > request.first_token_limit:
            return False
        gaps = max(1, request.output_tokens - 1)
        return (self.ended_at - self.first_at) / gaps <= TOKEN_INTERVAL


@dataclass(slots=True)
class Figures:
    """Figures of one run; shares are between 0 and 1."""

    goodput: float = 0
    bound: float = 1
    worst: float = 0
    mean: float = 0
    flooder: float = 0
    short: float = 0
    plain: float = 0
    changes: int = 0
    most_changes: int = 0
    spending: float = 0
    cheap_share: float = 0
    cheap_harm: int = 0
    retries: int = 0
    late_refusals: int = 0
    wrong_refusals: int = 0
    refusals: int = 0
    broken: int = 0
    lost: int = 0
    requests: int = 0
    kills: float = 0
    series: list[float] = field(default_factory=list)


def compile_figures(
    outcomes: Iterable[Outcome], start: float, end: float, *, flooded: bool
) -> Figures:
    """Return the figures of the requests that arrived in a window."""
    counted = [
        item
        for item in outcomes
        if start <= item.request.at < end and not item.request.killer
    ]
    chat = [item for item in counted if item.request.service == 'chat']
    plain = [item for item in counted if item.request.service == 'plain']
    figures = Figures(requests=len(chat))
    figures.goodput = get_share(chat)
    figures.plain = get_share(plain)
    figures.short = get_share(
        [item for item in chat if item.request.kind == 'look-up']
    )
    _add_customers(figures, chat, flooded=flooded)
    _add_counts(figures, counted)
    return figures


def get_share(outcomes: list[Outcome]) -> float:
    """Return the share of timely and whole answers."""
    if not outcomes:
        return 0
    return sum(item.is_good for item in outcomes) / len(outcomes)


def compile_series(
    outcomes: Iterable[Outcome], end: int, step: int
) -> list[float]:
    """Return the goodput share of chat requests per step of time."""
    groups: dict[int, list[Outcome]] = defaultdict(list)
    for item in outcomes:
        if item.request.service == 'chat':
            groups[int(item.request.at // step)].append(item)
    return [get_share(groups[index]) for index in range(end // step)]


def _add_customers(
    figures: Figures, chat: list[Outcome], *, flooded: bool
) -> None:
    groups: dict[str, list[Outcome]] = defaultdict(list)
    for item in chat:
        groups[item.request.customer].append(item)
    figures.flooder = get_share(groups['c0'])
    if flooded:
        groups.pop('c0')
    shares = [get_share(group) for group in groups.values()]
    figures.worst = min(shares, default=0)
    figures.mean = sum(shares) / max(1, len(shares))


def _add_counts(figures: Figures, counted: list[Outcome]) -> None:
    refused = [item for item in counted if item.ending is Ending.REFUSED]
    figures.refusals = len(refused)
    figures.late_refusals = sum(
        item.ended_at - item.request.at > LATE_REFUSAL for item in refused
    )
    figures.wrong_refusals = sum(item.had_free_capacity for item in refused)
    figures.broken = sum(item.ending is Ending.BROKEN for item in counted)
    figures.retries = sum(max(0, item.attempts - 1) for item in counted)
    figures.lost = sum(item.lost for item in counted)
    figures.cheap_harm = sum(item.harmed_by_cheap for item in counted)
    cheap = sum(item.on_cheap for item in counted)
    figures.cheap_share = cheap / max(1, len(counted))
