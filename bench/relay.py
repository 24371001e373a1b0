"""Compares the daemon's relay with a bare byte relay on the same machine.

Run by ``make bench-relay``. Starts engine stand-ins, a platform stand-in, the
daemon and the bare relay as processes, and drives them with client processes
in one run. Writes the table of docs/bench-relay.md.
"""

import argparse
import itertools
import json
import statistics
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from bench.page import write_page
from bench.process_figures import read_processor_time, read_resident
from bench.relay_state import HOST, KEY, compile_state
from bench.relay_worker import Load

_ENGINES = 4
_WORKERS = 4
_SIZES = (1, 100, 1000)
#: Seconds between the tokens of a paced stream: 75 ms is the required pace.
#: 1,000 streams together send the 2,500 tokens/s that one daemon of 330
#: relays at the peak of the design page.
_PACES = {1: 0.02, 100: 0.075, 1000: 0.4}
_WARM_UP = 2.0
_DURATION = 3.0
_PAGE = Path('docs/bench-relay.md')
_CLI = ('-m', 'clementinedyke')


@dataclass(frozen=True, slots=True)
class Target:
    """A process under test; the engines themselves have no relay process.

    Clients are spread over the ports.
    """

    name: str
    ports: tuple[int, ...]
    pid: int | None = None


@dataclass(frozen=True, slots=True)
class Figures:
    """What one load measured; times in milliseconds."""

    chunk_rate: float
    answer_rate: float
    median: float
    percentile: float
    processor: float
    resident: float


def start_process(stack: ExitStack, *arguments: str) -> tuple[int, int]:
    """Start a Python process; return its port and process number."""
    process = subprocess.Popen(
        [sys.executable, *arguments], stdout=subprocess.PIPE, text=True
    )
    stack.callback(process.wait)
    stack.callback(process.terminate)
    assert process.stdout is not None
    return json.loads(process.stdout.readline())['port'], process.pid


def start_targets(stack: ExitStack, interval: float) -> list[Target]:
    """Start engines with a pace, and what relays to them."""
    command = (*_CLI, 'standin', 'engine', '--model', 'bench')
    engines = [
        start_process(stack, *command, '--token-interval', str(interval))[0]
        for _ in range(_ENGINES)
    ]
    bare = start_process(stack, '-m', 'bench.bare_relay', *map(str, engines))
    daemon = _start_daemon(stack, engines)
    return [
        Target('direct', tuple(engines)),
        Target('bare relay', bare[:1], bare[1]),
        Target('daemon', daemon[:1], daemon[1]),
    ]


def _start_daemon(stack: ExitStack, engines: list[int]) -> tuple[int, int]:
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    state = Path(folder, 'state.json')
    state.write_text(json.dumps(compile_state(engines)))
    platform, _ = start_process(
        stack, *_CLI, 'standin', 'platform', '--state', str(state)
    )
    return start_process(
        stack, '-m', 'bench.daemon_process', f'{HOST}:{platform}'
    )


def measure(target: Target, size: int, **shape: Any) -> Figures:
    """Drive a target with client processes and collect their figures."""
    workers = min(_WORKERS, size)
    load = Load(
        port=0,
        key=KEY,
        streams=size // workers,
        warm_up=_WARM_UP,
        duration=_DURATION,
        **shape,
    )
    ports = itertools.cycle(target.ports)
    clients = [
        _start_worker(replace(load, port=next(ports))) for _ in range(workers)
    ]
    _read_lines(clients)
    before = read_processor_time(target.pid)
    _read_lines(clients)
    used = read_processor_time(target.pid) - before
    resident = read_resident(target.pid)
    for client in clients:
        client.stdin.write('\n')
        client.stdin.flush()
    results = _read_lines(clients)
    for ended in clients:
        ended.wait()
    return _compile_figures(results, used, resident)


def _read_lines(clients: list[subprocess.Popen[str]]) -> list[Any]:
    return [json.loads(client.stdout.readline()) for client in clients]


def _start_worker(load: Load) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, '-m', 'bench.relay_worker', json.dumps(asdict(load))],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def _compile_figures(
    results: list[dict[str, Any]], used: float, resident: float
) -> Figures:
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
    )


def run_paced(size: int) -> list[str]:
    """Measure latency, processor time and memory at a fixed pace."""
    pace = _PACES[size]
    with ExitStack() as stack:
        direct, *relays = start_targets(stack, pace)
        idle = {target.name: read_resident(target.pid) for target in relays}
        shape = {'tokens': 40, 'interval': pace, 'is_streamed': True}
        base = measure(direct, size, **shape)
        lines = [
            f'| {size} | direct | {base.chunk_rate:.0f} '
            f'| ({base.median:.2f}) | ({base.percentile:.2f}) | | | |'
        ]
        for target in relays:
            seen = measure(target, size, **shape)
            lines.append(
                _format_paced(size, target.name, idle[target.name], base, seen)
            )
    return lines


def _format_paced(
    size: int, name: str, idle: float, base: Figures, seen: Figures
) -> str:
    per_stream = 1024 * (seen.resident - idle) / size
    return (
        f'| {size} | {name} | {seen.chunk_rate:.0f} '
        f'| {seen.median - base.median:.2f} '
        f'| {seen.percentile - base.percentile:.2f} '
        f'| {seen.processor:.3f} | {seen.resident:.1f} '
        f'| {per_stream:.1f} |'
    )


def run_saturated(size: int) -> list[str]:
    """Measure the most chunks and whole answers a second."""
    with ExitStack() as stack:
        _, bare, daemon = start_targets(stack, 0)
        yardstick = _measure_full(bare, size)
        measured = _measure_full(daemon, size)
    base = yardstick[0].chunk_rate
    return [
        _format_full(size, bare.name, base, *yardstick),
        _format_full(size, daemon.name, base, *measured),
    ]


def _measure_full(target: Target, size: int) -> tuple[Figures, Figures]:
    streams = measure(target, size, tokens=500, interval=0, is_streamed=True)
    answers = measure(target, size, tokens=1, interval=0, is_streamed=False)
    return streams, answers


def _format_full(
    size: int, name: str, base: float, streams: Figures, answers: Figures
) -> str:
    return (
        f'| {size} | {name} | {streams.chunk_rate:.0f} '
        f'| {streams.chunk_rate / base:.2f} '
        f'| {streams.processor:.3f} | {streams.resident:.1f} '
        f'| {answers.answer_rate:.0f} '
        f'| {answers.median:.2f} | {answers.percentile:.2f} |'
    )


def main() -> None:
    """Run all loads, print the tables and write the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', type=int, nargs='+', default=list(_SIZES))
    parser.add_argument('--skip-page', action='store_true')
    chosen = parser.parse_args()
    paced = [line for size in chosen.sizes for line in run_paced(size)]
    full = [line for size in chosen.sizes for line in run_saturated(size)]
    tables = '\n'.join(
        (
            '| streams | relay | chunks/s | added first byte, median ms '
            '| added, 95th percentile ms | processor s per 1,000 chunks '
            '| resident MB | KB per stream |',
            '| --- | --- | --- | --- | --- | --- | --- | --- |',
            *paced,
            '',
            '| streams | relay | chunks/s | ratio '
            '| processor s per 1,000 chunks | resident MB | whole answers/s '
            '| median ms | 95th percentile ms |',
            '| --- | --- | --- | --- | --- | --- | --- | --- | --- |',
            *full,
        )
    )
    sys.stdout.write(f'{tables}\n')
    if not chosen.skip_page:
        write_page(_PAGE, tables)


if __name__ == '__main__':
    main()
