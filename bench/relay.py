"""Compares the daemon's relay with a bare byte relay on the same machine.

Run by ``make bench-relay``. Starts engine stand-ins, a platform stand-in, the
daemon and the bare relay as processes, and drives them with client processes
in one run. Writes the table of docs/bench-relay.md.
"""

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from bench.relay_worker import Load
from clementinedyke.records import get_digest

_HOST = '127.0.0.1'
_KEY = 'bench-key'
_ENGINES = 4
_WORKERS = 4
_SIZES = (1, 100, 1000)
#: Seconds between the tokens of a paced stream. 1,000 streams send as many
#: tokens a second as 200 streams at the required 75 ms and twice the mean of
#: one daemon at the peak of the design page.
_PACES = {1: 0.05, 100: 0.05, 1000: 0.2}
_WARM_UP = 2.0
_DURATION = 4.0
_PAGE = Path('docs/bench-relay.md')
_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
_CLI = ('-m', 'clementinedyke')


@dataclass(frozen=True, slots=True)
class Target:
    """A process under test; the engine itself has no relay process."""

    name: str
    port: int
    pid: int | None


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
        Target('engine', engines[0], None),
        Target('bare relay', *bare),
        Target('daemon', *daemon),
    ]


def _start_daemon(stack: ExitStack, engines: list[int]) -> tuple[int, int]:
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    state = Path(folder, 'state.json')
    state.write_text(json.dumps(_compile_state(engines)))
    platform, _ = start_process(
        stack, *_CLI, 'standin', 'platform', '--state', str(state)
    )
    return start_process(
        stack, '-m', 'bench.daemon_process', f'{_HOST}:{platform}'
    )


def _compile_state(engines: list[int]) -> dict[str, Any]:
    records = [
        {
            'kind': 'service',
            'name': 'bench',
            'backend': 'model',
            'models': ['bench'],
        },
        {'kind': 'customer', 'name': 'caller', 'services': ['bench']},
        {
            'kind': 'key',
            'name': 'key',
            'customer': 'caller',
            'digest': get_digest(_KEY),
        },
    ]
    endpoints = [
        {
            'endpoint_id': f'engine-{port}',
            'service': 'bench',
            'availability_zone': 'zone-a',
            'address': f'{_HOST}:{port}',
        }
        for port in engines
    ]
    writes = [
        {
            'table': 'records',
            'key': f'{record["kind"]}/{record["name"]}',
            'value': record,
        }
        for record in records
    ]
    return {'endpoints': endpoints, 'writes': writes}


def measure(target: Target, size: int, **shape: Any) -> Figures:
    """Drive a target with client processes and collect their figures."""
    workers = min(_WORKERS, size)
    load = Load(
        port=target.port,
        key=_KEY,
        streams=size // workers,
        warm_up=_WARM_UP,
        duration=_DURATION,
        **shape,
    )
    clients = [_start_worker(load) for _ in range(workers)]
    for client in clients:
        client.stdout.readline()
    before = _read_processor_time(target.pid)
    for client in clients:
        client.stdout.readline()
    used = _read_processor_time(target.pid) - before
    resident = _read_resident(target.pid)
    for client in clients:
        client.stdin.write('\n')
        client.stdin.flush()
    results = [json.loads(client.stdout.readline()) for client in clients]
    for client in clients:
        client.wait()
    return _compile_figures(results, used, resident)


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


def _read_processor_time(pid: int | None) -> float:
    if pid is None:
        return 0
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def _read_resident(pid: int | None) -> float:
    """Return the resident memory in megabytes."""
    if pid is None:
        return 0
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0


def run_paced(size: int) -> list[str]:
    """Measure latency, processor time and memory at a fixed pace."""
    pace = _PACES[size]
    with ExitStack() as stack:
        direct, *relays = start_targets(stack, pace)
        idle = {target.name: _read_resident(target.pid) for target in relays}
        shape = {'tokens': 20, 'interval': pace, 'is_streamed': True}
        base = measure(direct, min(size, 250), **shape)
        lines = []
        for target in relays:
            seen = measure(target, size, **shape)
            per_stream = 1024 * (seen.resident - idle[target.name]) / size
            lines.append(
                f'| {size} | {target.name} | {seen.chunk_rate:.0f} '
                f'| {seen.median - base.median:.2f} '
                f'| {seen.percentile - base.percentile:.2f} '
                f'| {seen.processor:.3f} | {seen.resident:.1f} '
                f'| {per_stream:.1f} |'
            )
    return lines


def run_saturated(size: int) -> list[str]:
    """Measure the most chunks and whole answers a second."""
    lines = []
    with ExitStack() as stack:
        _, *relays = start_targets(stack, 0)
        rates = []
        for target in relays:
            streams = measure(
                target, size, tokens=500, interval=0, is_streamed=True
            )
            answers = measure(
                target, size, tokens=1, interval=0, is_streamed=False
            )
            rates.append(streams.chunk_rate)
            lines.append(
                f'| {size} | {target.name} | {streams.chunk_rate:.0f} '
                f'| {streams.chunk_rate / rates[0]:.2f} '
                f'| {streams.processor:.3f} | {answers.answer_rate:.0f} '
                f'| {answers.median:.2f} | {answers.percentile:.2f} |'
            )
    return lines


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
            '| processor s per 1,000 chunks | whole answers/s '
            '| median ms | 95th percentile ms |',
            '| --- | --- | --- | --- | --- | --- | --- | --- |',
            *full,
        )
    )
    sys.stdout.write(f'{tables}\n')
    if not chosen.skip_page:
        _write_page(tables)


def _write_page(tables: str) -> None:
    commit = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    text = _PAGE.read_text() if _PAGE.exists() else '# Relay benchmark\n'
    head, _, rest = text.partition('<!-- begin -->')
    _, _, tail = rest.partition('<!-- end -->')
    stamp = f'Commit {commit}; no random choices, so no seed.'
    _PAGE.write_text(
        f'{head}<!-- begin -->\n{stamp}\n\n{tables}\n<!-- end -->{tail}'
    )


if __name__ == '__main__':
    main()
