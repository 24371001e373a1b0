"""Compares the daemon as a relay with a bare byte relay, side by side.

Run by ``make bench-relay``. Starts engine stand-ins, a platform stand-in, the
daemon and the bare relay as processes, puts load on them from client processes
and writes the tables of docs/bench-relay.md.
"""

import argparse
import itertools
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from bench.page import write_page
from bench.process_figures import read_processor_time, read_resident_memory
from bench.relay_figures import (
    Figures,
    TargetRuns,
    compile_figures,
    format_direct,
    format_paced,
    format_saturated,
)
from bench.relay_state import HOST, KEY, compile_state
from bench.relay_worker import Load

_ENGINES = 4
_WORKERS = 4
_RUNS = 3
#: Seconds after which no further row is started, since processes start slowly
#: under high load.
_TIME_LIMIT = 150
#: Streams of the paced rows, with seconds between the tokens of a stream. 75 ms
#: is the required interval. 1,000 streams send 2,500 tokens/s in total: the
#: peak that the design page gives for one daemon of 330.
_TOKEN_INTERVALS = {100: 0.075, 1000: 0.4}
_PACED_TOKENS = 40
#: Seconds of warm-up and measurement. 1,000 streams start at 200 per second, so
#: answers begin and end throughout the measurement, though one takes 16 s.
_PACED_TIMES = {100: (1, 3), 1000: (5, 3)}
#: Streams of the saturated rows.
_SATURATED_SIZES = (100, 1000)
#: Seconds of warm-up and measurement of the saturated rows.
_SATURATED_TIMES = (0.8, 1)
#: Capacity reported by each engine, high enough that no stream is refused.
_MAX_STREAMS = '1000'
_MAX_PROMPT_TOKENS = '1000000'
_PAGE = Path('docs/bench-relay.md')
_CLI = ('-m', 'clementinedyke')


@dataclass(frozen=True, slots=True)
class Target:
    """A relay under test, or the engines themselves, which have no ``pid``.

    Clients are distributed over the ports in turn.
    """

    name: str
    ports: tuple[int, ...]
    pid: int | None = None


def start_process(stack: ExitStack, *arguments: str) -> tuple[int, int]:
    """Start a Python process and return its port and process number.

    :param stack: terminates the process when it closes.
    :param arguments: command line after the interpreter.
    """
    process = subprocess.Popen(
        [sys.executable, *arguments], stdout=subprocess.PIPE, text=True
    )
    stack.callback(process.wait)
    stack.callback(process.terminate)
    assert process.stdout is not None
    return json.loads(process.stdout.readline())['port'], process.pid


def start_targets(stack: ExitStack, interval: float) -> list[Target]:
    """Start the engines, the bare relay and the daemon.

    :param interval: seconds between the tokens of a stream.
    """
    command = (*_CLI, 'standin', 'engine', '--model', 'bench')
    options = (
        *('--token-interval', str(interval)),
        *('--capacity.max-streams', _MAX_STREAMS),
        *('--capacity.max-prompt-tokens', _MAX_PROMPT_TOKENS),
        '--capacity.no-honours-priority',
    )
    engines = [
        start_process(stack, *command, *options)[0] for _ in range(_ENGINES)
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


def measure(
    target: Target, size: int, times: tuple[float, float], **shape: Any
) -> Figures:
    """Put load on a target from client processes and collect their figures.

    :param size: number of streams of all clients.
    :param times: seconds of warm-up and measurement.
    :param shape: remaining fields of ``Load``.
    :raises RuntimeError: if a client fails, for example on a refusal.
    """
    workers = min(_WORKERS, size)
    load = Load(
        port=0,
        key=KEY,
        streams=size // workers,
        warm_up=times[0],
        duration=times[1],
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
    resident = read_resident_memory(target.pid)
    for client in clients:
        client.stdin.write('\n')
        client.stdin.flush()
    results = _read_lines(clients)
    for ended in clients:
        ended.wait()
    return compile_figures(results, used, resident)


def _read_lines(clients: list[subprocess.Popen[str]]) -> list[Any]:
    lines = [client.stdout.readline() for client in clients]
    if not all(lines):
        raise RuntimeError(
            'a client process exited without figures; see its error output'
        )
    return [json.loads(line) for line in lines]


def _start_worker(load: Load) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, '-m', 'bench.relay_worker', json.dumps(asdict(load))],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def run_rounds(
    targets: list[Target], size: int, times: tuple[float, float], **shape: Any
) -> list[TargetRuns]:
    """Measure the targets in turn, in several rounds.

    :param times: seconds of warm-up and measurement.
    :param shape: remaining fields of ``Load``.
    """
    rounds = [
        TargetRuns(target.name, read_resident_memory(target.pid), [])
        for target in targets
    ]
    for _ in range(_RUNS):
        for target, target_runs in zip(targets, rounds, strict=True):
            target_runs.runs.append(measure(target, size, times, **shape))
    return rounds


def run_paced(size: int) -> list[str]:
    """Return the rows for streams at a fixed token rate.

    They show latency, processor time and memory.
    """
    token_interval = _TOKEN_INTERVALS[size]
    with ExitStack() as stack:
        direct, *relays = run_rounds(
            start_targets(stack, token_interval),
            size,
            _PACED_TIMES[size],
            tokens=_PACED_TOKENS,
            interval=token_interval,
            is_streamed=True,
        )
    return [
        format_direct(size, direct),
        *(format_paced(size, direct, relay) for relay in relays),
    ]


def run_saturated(size: int) -> list[str]:
    """Return the rows with the highest rates of chunks and whole answers."""
    with ExitStack() as stack:
        _, *relays = start_targets(stack, 0)
        streams = run_rounds(
            relays,
            size,
            _SATURATED_TIMES,
            tokens=500,
            interval=0,
            is_streamed=True,
        )
        answers = run_rounds(
            relays,
            size,
            _SATURATED_TIMES,
            tokens=1,
            interval=0,
            is_streamed=False,
        )
    return [
        format_saturated(size, streams[0], stream_runs, answer_runs)
        for stream_runs, answer_runs in zip(streams, answers, strict=True)
    ]


def _run_rows(
    run: Callable[[int], list[str]], sizes: list[int], started: float
) -> list[str]:
    lines: list[str] = []
    for size in sizes:
        if time.monotonic() - started > _TIME_LIMIT:
            lines.append(f'| {size} | not run: the time was used up |')
        else:
            lines.extend(run(size))
    return lines


def _format_load() -> str:
    return ', '.join(f'{load:.1f}' for load in os.getloadavg())


def main() -> None:
    """Run all measurements, print the tables and write the page."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        '--paced', type=int, nargs='*', default=list(_TOKEN_INTERVALS)
    )
    parser.add_argument(
        '--full', type=int, nargs='*', default=list(_SATURATED_SIZES)
    )
    parser.add_argument('--skip-page', action='store_true')
    chosen = parser.parse_args()
    started = time.monotonic()
    before = _format_load()
    paced = _run_rows(run_paced, chosen.paced, started)
    full = _run_rows(run_saturated, chosen.full, started)
    tables = '\n'.join(
        (
            f'Each figure is the median of {_RUNS} runs (least to greatest). '
            f'Load of the machine over 1, 5 and 15 minutes: {before} before, '
            f'{_format_load()} after '
            f'{time.monotonic() - started:.0f} s of benchmark.',
            '',
            '| streams | relay | answering at the end | chunks/s '
            '| first byte, median ms | first byte, 95th percentile ms '
            '| processor s per 1,000 chunks | resident MB | KB per stream |',
            f'|{" --- |" * 9}',
            *paced,
            '',
            '| streams | relay | chunks/s | ratio '
            '| processor s per 1,000 chunks | resident MB | whole answers/s '
            '| whole answer, median ms |',
            f'|{" --- |" * 8}',
            *full,
        )
    )
    sys.stdout.write(f'{tables}\n')
    if not chosen.skip_page:
        write_page(_PAGE, tables)


if __name__ == '__main__':
    main()
