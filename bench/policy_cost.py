"""Measures processor time per decision and memory of the decision cores."""

import statistics
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from pathlib import Path

from bench.policy import get_commit
from bench.policy_cost_cases import (
    admit,
    build_admission,
    build_cached_router,
    build_loaded_router,
    build_planner,
    build_router,
    plan_capacity,
    plan_roles,
    report_peer_work,
    run_request,
)

#: The result is the median of REPEATS measurements of CALLS calls each.
REPEATS = 3
CALLS = 20
#: Sizes for which the costs are measured.
ENDPOINTS = (10, 50, 150, 300, 600)
CUSTOMERS = (8, 100, 350, 710)
IN_FLIGHT = (100, 1000, 2000)
BLOCKS = (1000, 10_000, 100_000)
DOCS = Path(__file__).parent.parent / 'docs'


def measure_time(call: Callable[[int], object]) -> float:
    """Return the median processor time of a call in microseconds.

    :param call: function that takes the number of the call.
    """
    times = []
    for repeat in range(REPEATS):
        started = time.process_time_ns()
        for index in range(CALLS):
            call(repeat * CALLS + index)
        times.append((time.process_time_ns() - started) / CALLS / 1000)
    return statistics.median(times)


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory allocated for an object in KB.

    :param build: function that builds the object.
    """
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1000 if built else 0


def list_rows() -> list[tuple[str, str, str]]:
    """Return a table row per measurement: subject, size and figure."""
    rows = []
    for size in ENDPOINTS:
        core = build_router(size)
        route = partial(run_request, core)
        planner = build_planner(size)
        rows += [
            _build_time_row(
                'route, start and finish a request', f'{size} endpoints', route
            ),
            _build_time_row(
                'plan roles', f'{size} engines', partial(plan_roles, planner)
            ),
            _build_memory_row(
                'router', f'{size} endpoints', partial(build_router, size)
            ),
        ]
    for size in CUSTOMERS:
        core = build_admission(size)
        call = partial(admit, core, size)
        build = partial(build_admission, size)
        rows += [
            _build_time_row(
                'admit, start and end a request', f'{size} customers', call
            ),
            _build_memory_row(
                'two queued requests each', f'{size} customers', build
            ),
        ]
    for size in IN_FLIGHT:
        core = build_loaded_router(size)
        build = partial(build_loaded_router, size)
        route = partial(run_request, core)
        rows += [
            _build_time_row(
                'route with others in flight', f'{size} in flight', route
            ),
            _build_memory_row(
                'router of 25 endpoints', f'{size} in flight', build
            ),
        ]
    for size in BLOCKS:
        build = partial(build_cached_router, size)
        rows.append(_build_memory_row('prefix index', f'{size} blocks', build))
    core = build_router(25)
    rows.append(
        _build_time_row(
            'news of a peer', '20 endpoints', partial(report_peer_work, core)
        )
    )
    for size in (10, 25):
        plan = partial(plan_capacity, size)
        rows.append(_build_time_row('plan capacity', f'{size} endpoints', plan))
    return rows


def main() -> None:
    """Measure the costs and write docs/bench-policy-cost.md."""
    commit = get_commit()
    rows = sorted(list_rows(), key=_get_subject)
    table = '\n'.join(f'| {" | ".join(row)} |' for row in rows)
    head = '| what | size | figure |\n| --- | --- | --- |\n'
    intro = (
        '# Cost of the decision cores\n\n'
        f'`python -m bench.policy_cost` at commit `{commit}` on CPython 3.11: '
        f'median of {REPEATS} times {CALLS} calls in processor time, and '
        'memory by `tracemalloc`. Endpoints are of one service; a prompt has '
        '9 blocks.\n\n'
    )
    page = f'{intro}{head}{table}\n'
    (DOCS / 'bench-policy-cost.md').write_text(page, encoding='utf-8')
    print(page)


def _build_time_row(
    subject: str, size: str, call: Callable[[int], object]
) -> tuple[str, str, str]:
    return subject, size, f'{measure_time(call):.0f} µs'


def _build_memory_row(
    subject: str, size: str, build: Callable[[], object]
) -> tuple[str, str, str]:
    return f'memory: {subject}', size, f'{measure_memory(build):.0f} KB'


def _get_subject(row: tuple[str, str, str]) -> str:
    return row[0]


if __name__ == '__main__':
    main()
