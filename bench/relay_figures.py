"""Figures of the relay benchmark and their table rows."""

import statistics
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run.

    Rates are per second, ``median`` and ``percentile`` (the 95th) are first
    byte times in milliseconds, ``processor`` is in seconds per 1,000 chunks
    and ``resident`` in MB.
    """

    chunk_rate: float
    answer_rate: float
    median: float
    percentile: float
    processor: float
    resident: float
    open_streams: int


@dataclass(frozen=True, slots=True)
class TargetRuns:
    """Figures of all runs of a target.

    ``idle_memory`` is the resident memory in MB before the first run.
    """

    name: str
    idle_memory: float
    runs: list[Figures]

    def format(self, field: str, digits: int = 0) -> str:
        """Return the median and range of a figure.

        :param field: name of a field of ``Figures``.
        :param digits: decimal places.
        """
        return format_spread(
            [getattr(figures, field) for figures in self.runs], digits
        )


def format_spread(values: list[float], digits: int) -> str:
    """Return the median, followed by minimum and maximum."""
    median, least, greatest = (
        f'{number:.{digits}f}'
        for number in (statistics.median(values), min(values), max(values))
    )
    return f'{median} ({least} to {greatest})'


def compile_figures(
    results: list[dict[str, Any]], used: float, resident: float
) -> Figures:
    """Return the figures of one run from the results of its clients.

    :param results: output of each client.
    :param used: processor seconds of the target.
    :param resident: resident memory of the target in MB.
    """
    chunks = sum(result['chunks'] for result in results)
    times = [
        1000 * seconds
        for result in results
        for seconds in result['first_bytes']
    ]
    ranks = statistics.quantiles(times, n=20) if len(times) > 1 else times * 19
    return Figures(
        chunk_rate=sum(
            result['chunks'] / result['elapsed'] for result in results
        ),
        answer_rate=sum(
            result['answers'] / result['elapsed'] for result in results
        ),
        median=statistics.median(times) if times else float('nan'),
        percentile=ranks[-1] if ranks else float('nan'),
        processor=1000 * used / chunks if chunks else 0,
        resident=resident,
        open_streams=sum(result['open'] for result in results),
    )


def format_direct(size: int, direct: TargetRuns) -> str:
    """Return the row of the engines called without a relay."""
    return (
        f'| {size} | direct | {direct.format("open_streams")} '
        f'| {direct.format("chunk_rate")} | {direct.format("median", 2)} '
        f'| {direct.format("percentile", 2)} | | | |'
    )


def format_paced(size: int, direct: TargetRuns, relay: TargetRuns) -> str:
    """Return a row with the first byte times that a relay adds.

    :param size: number of streams.
    :param direct: runs without a relay, subtracted from those of the relay.
    :param relay: runs of the relay.
    """
    pairs = list(zip(relay.runs, direct.runs, strict=True))
    added = [relayed.median - base.median for relayed, base in pairs]
    tail = [relayed.percentile - base.percentile for relayed, base in pairs]
    memory = [
        1024 * (run.resident - relay.idle_memory) / size for run in relay.runs
    ]
    return (
        f'| {size} | {relay.name} | {relay.format("open_streams")} '
        f'| {relay.format("chunk_rate")} | +{format_spread(added, 2)} '
        f'| +{format_spread(tail, 2)} | {relay.format("processor", 3)} '
        f'| {relay.format("resident", 1)} | {format_spread(memory, 1)} |'
    )


def format_saturated(
    size: int, baseline: TargetRuns, streams: TargetRuns, answers: TargetRuns
) -> str:
    """Return a row with the chunk rate as a ratio to the baseline.

    :param size: number of streams.
    :param baseline: streamed runs of the bare relay.
    :param streams: streamed runs of the relay in the row.
    :param answers: runs of the same relay with whole answers.
    """
    ratios = [
        figures.chunk_rate / bare.chunk_rate
        for figures, bare in zip(streams.runs, baseline.runs, strict=True)
    ]
    return (
        f'| {size} | {streams.name} | {streams.format("chunk_rate")} '
        f'| {format_spread(ratios, 2)} | {streams.format("processor", 3)} '
        f'| {streams.format("resident", 1)} | {answers.format("answer_rate")} '
        f'| {answers.format("median", 2)} |'
    )
