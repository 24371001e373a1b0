"""Measures the cost of a daemon without callers by size of its state.

A daemon process runs against a process with stand-ins of its peers. Each row
is a separate run; all runs are concurrent. Relays count the bytes of both
directions, without IP and TCP headers.
"""

import json
import random
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import Any

from bench.process_figures import read_processor_time, read_resident_memory
from clementinedyke.routing.core import RouterCore
from clementinedyke.routing.events import EndpointsChanged
from clementinedyke.routing.selection import RouterSettings
from clementinedyke.routing.subset import (
    RingEntry,
    RingPosition,
    find_position,
    select_subset,
)
from clementinedyke.routing.types import RoutedEndpoint

#: Shorter than a polling round of the largest subset (125 s), which opens the
#: connections, so that some are still opened during the measurement.
SETTLE_SECONDS = 40
WINDOW_SECONDS = 20
CHANGE_COUNT = 9
CHANGE_INTERVAL_SECONDS = 0.37
#: Calls over which processor time is averaged.
ROUNDS = 200
LIST_PATHS = ('/v1/endpoints', '/v1/hosts')
BASE_SHAPE = {
    'members': 6,
    'endpoints': 10,
    'services': 2,
    'customers': 8,
    'keys': 8,
}
#: Sizes in which each row differs from the base shape.
SHAPES: tuple[dict[str, int], ...] = (
    {},
    {'members': 109},
    {'members': 329},
    {'endpoints': 100},
    {'endpoints': 600},
    {'customers': 100, 'keys': 100},
    {'customers': 710, 'keys': 2000},
    {'services': 26},
    {
        'members': 329,
        'endpoints': 600,
        'services': 26,
        'customers': 710,
        'keys': 2000,
    },
)


class DaemonRun:
    """Run of a daemon process and a process with its peers."""

    def __init__(self, stack: ExitStack, shape: dict[str, int]) -> None:
        """Start both processes.

        :param stack: terminates the processes when it closes.
        :param shape: number of objects by kind.
        """
        self._stack = stack
        self._peers = self._start('bench.sizing_peers', json.dumps(shape))
        platform = self._read(self._peers)['platform']
        self._daemon = self._start('bench.sizing_daemon', platform)

    def measure(self) -> str:
        """Return the cells of a row, joined by separators."""
        time.sleep(SETTLE_SECONDS)
        pid = self._daemon.pid
        before, started = self._send_command('count'), read_processor_time(pid)
        time.sleep(WINDOW_SECONDS)
        after, ended = self._send_command('count'), read_processor_time(pid)
        seconds = after['instant'] - before['instant']
        kinds = ('state', 'members', 'platform')
        rates = [(after[kind] - before[kind]) / seconds for kind in kinds]
        cells = [
            f'{read_resident_memory(pid):.1f}',
            f'{100 * (ended - started) / seconds:.2f}',
            f'{(after["asked"] - before["asked"]) / seconds:.1f}',
            *(f'{rate:.0f}' for rate in rates),
            str(count_list_reads(after) - count_list_reads(before)),
            *self._measure_changes(),
        ]
        return ' | '.join(cells)

    def _measure_changes(self) -> list[str]:
        delays: list[float] = []
        processor_times: list[float] = []
        for _ in range(CHANGE_COUNT):
            written = self._send_command('change')
            seen = self._read(self._daemon)
            while seen['version'] < written['version']:
                seen = self._read(self._daemon)
            delays.append(seen['instant'] - written['instant'])
            processor_times.append(seen['spent'])
            time.sleep(CHANGE_INTERVAL_SECONDS)
        return [
            f'{statistics.median(delays):.2f}',
            f'{max(delays):.2f}',
            f'{1000 * statistics.median(processor_times):.2f}',
        ]

    def _start(self, module: str, argument: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, '-m', module, argument],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.terminate)
        return process

    def _send_command(self, command: str) -> dict[str, Any]:
        assert self._peers.stdin is not None
        self._peers.stdin.write(f'{command}\n')
        self._peers.stdin.flush()
        return self._read(self._peers)

    def _read(self, process: subprocess.Popen[str]) -> dict[str, Any]:
        assert process.stdout is not None
        answer: dict[str, Any] = json.loads(process.stdout.readline())
        return answer


def run_shape(overrides: dict[str, int]) -> str:
    """Return the table row of a shape.

    :param overrides: sizes that differ from the base shape.
    """
    shape = BASE_SHAPE | overrides
    with ExitStack() as stack:
        cells = DaemonRun(stack, shape).measure()
    sizes = ' | '.join(str(size) for size in shape.values())
    return f'| {sizes} | {cells} |'


def count_list_reads(counts: dict[str, Any]) -> int:
    """Return the number of reads of platform lists.

    :param counts: answer of the peers to ``count``.
    """
    calls: dict[str, int] = counts['calls']
    return sum(calls.get(f'GET {path}', 0) for path in LIST_PATHS)


def time_calls(step: Callable[[], object]) -> float:
    """Return the mean processor milliseconds of a call."""
    started = time.process_time()
    for _ in range(ROUNDS):
        step()
    return 1000 * (time.process_time() - started) / ROUNDS


def measure_ring_position(daemons: int) -> float:
    """Return the milliseconds to find a daemon's position on the ring.

    The daemon does this after each batch of member changes.
    """
    entries = [
        RingEntry(f'd-{number}', f'z-{number % 5}') for number in range(daemons)
    ]
    return time_calls(lambda: find_position(entries[0], entries))


def measure_subset(endpoints: int) -> float:
    """Return the milliseconds to select the subsets of 26 services.

    The daemon does this after a change.
    """
    services = [
        [
            RingEntry(f'e-{service}-{number}', f'z-{number % 5}')
            for number in range(endpoints // 26)
        ]
        for service in range(26)
    ]
    position = RingPosition(7, 330)
    return time_calls(
        lambda: [select_subset(position, service) for service in services]
    )


def measure_free_capacity(services: int) -> float:
    """Return the milliseconds to get the free capacity of all services.

    Each service has 6 endpoints.
    """
    core = RouterCore(RouterSettings(availability_zone='z'), random.Random(1))
    routed = tuple(
        RoutedEndpoint(f'e-{number}', f's-{number % services}', 'z')
        for number in range(6 * services)
    )
    core.handle(EndpointsChanged(routed), 0)
    names = [f's-{number}' for number in range(services)]
    return time_calls(
        lambda: [core.get_free_capacity(name, 0) for name in names]
    )


def print_core_times() -> None:
    """Print the processor time of steps that the rows do not measure."""
    for daemons in (7, 110, 330):
        print(
            f'place among {daemons} daemons: '
            f'{measure_ring_position(daemons):.2f} ms'
        )
    print(f'subset of 600 endpoints: {measure_subset(600):.2f} ms')
    for services in (2, 26):
        print(
            f'room of {services} services: '
            f'{measure_free_capacity(services):.3f} ms'
        )


def main() -> None:
    """Print a table with a row per shape."""
    print(
        '| other members | endpoints | services | customers | keys'
        ' | resident MB | % of a core | /state calls/s | /state B/s'
        ' | members B/s | platform B/s | list reads in the window'
        ' | change s, median | change s, most'
        ' | change, processor ms |'
    )
    print('|', ' --- |' * 15, sep='')
    with ThreadPoolExecutor(len(SHAPES)) as pool:
        for row in pool.map(run_shape, SHAPES):
            print(row, flush=True)
    print_core_times()


if __name__ == '__main__':
    main()
