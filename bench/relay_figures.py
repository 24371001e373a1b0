"""Figures of the relay benchmark and the rows that show them."""

import statistics
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Figures:
    """What one load measured; times in milliseconds."""

    chunk_rate: float
    answer_rate: float
    median: float
    percentile: float
    processor: float
    resident: float
    open_streams: int


@dataclass(frozen=True, slots=True)
class TargetRuns:
    """The figures of one target in all runs; ``idle`` is its memory before."""

    name: str
    idle_memory: float
    runs: list[Figures]

    def format(self, field: str, digits: int = 0) -> str:
        """Return the median of a figure with its spread."""
        return format_spread(
            [getattr(figures, field) for figures in self.runs], digits
        )


def format_spread(values: list[float], digits: int) -> str:
    """Return the median with the least and the greatest value."""
    median, least, greatest = (
        f'{number:.{digits}f}'
        for number in (statistics.median(values), min(values), max(values))
    )
    return f'{median} ({least} to {greatest})'


def compile_figures(
    results: list[dict[str, Any]], used: float, resident: float
) -> Figures:
    """Return the figures of what the clients of one load measured."""
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
    """Return the row of the engines without a relay."""
    return (
        f'| {size} | direct | {direct.format("open_streams")} '
        f'| {direct.format("chunk_rate")} | {direct.format("median", 2)} '
        f'| {direct.format("percentile", 2)} | | | |'
    )


def format_paced(size: int, direct: TargetRuns, relay: TargetRuns) -> str:
    """Return a row whose first byte times are those added to direct ones."""
    pairs = list(zip(relay.runs, direct.runs, strict=True))
    added = [relayed.median - base.median for relayed, base in pairs]
    tail = [relayed.percentile - base.percentile for relayed, base in pairs]
    memory = [
        1024 * (figures.resident - relay.idle_memory) / size
        for figures in relay.runs
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
    """Return a row with the ratio to the bare relay's chunks."""
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
