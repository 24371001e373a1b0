"""A part behind 64 other parts of a prompt crashes engines."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_in_3_deployment import (  # noqa: E402
    BOUNDS,
    FRONT_PORT,
    HOST,
    KEY,
    Deployment,
    run_case,
)
from stand_in_3_engine import Engine  # noqa: E402
from stand_in_3_http import call  # noqa: E402

ENGINES = 6
COMMON_PARTS = 70
TOKENS = 190
CRASH_PART = 'dead0001'
#: Time after which an engine that crashed is back.
BACK_SECONDS = 2
SECONDS = 60
SOUND_INTERVAL = 0.15
CRASHING_INTERVAL = 2.5
CONTACT_SECONDS = BOUNDS['contact_ms'] / 1000
#: Crash from which the rule counts, and requests that it allows after it.
COUNTED_CRASH = 5
ALLOWED = 3


class CrashingEngine(Engine):
    """Engine that ends when it writes an answer on the part."""

    def __init__(self, *given):
        super().__init__(*given)
        self.crashes = []
        self.bad_runs = []
        self.events, self.gap, self.slots = 17, 0.06, 48

    async def _stream(self, request, writer, headers):
        parts = (request.get('x-prefix-hash') or '').split(',')
        if f'{CRASH_PART}:{TOKENS}' not in parts:
            await super()._stream(request, writer, headers)
            return
        self.bad_runs.append((time.monotonic(), request.get('x-request-id')))
        self._record(f'engine {self.engine_id} crashes')
        self.crashes.append(time.monotonic())
        asyncio.get_running_loop().call_soon(self._crash)
        await asyncio.sleep(1)

    def _crash(self):
        self.restarting = asyncio.create_task(self._end_and_return())

    async def _end_and_return(self):
        await self.stop()
        await asyncio.sleep(BACK_SECONDS)
        await self.restart('v1')


def compile_parts(number, *, is_bad):
    """Return a prompt; no two requests have the same."""
    common = [f'{0xC0000 + index:08x}' for index in range(COMMON_PARTS)]
    special = [CRASH_PART] if is_bad else []
    own = [f'{0xF00000 + number:08x}', f'{0xA00000 + number:08x}']
    return ','.join(f'{part}:{TOKENS}' for part in (*common, *special, *own))


async def ask(record, daemon, number, name, *, is_bad):
    headers = [
        ('Host', HOST),
        ('X-Request-Id', f'{name}-{number}'),
        ('X-Deadline-Ms', 4000),
        ('X-Key', KEY),
        ('X-Model', 'm'),
        ('X-Token-Count', f'{TOKENS * (COMMON_PARTS + 3)},17'),
        ('X-Prefix-Hash', compile_parts(number, is_bad=is_bad)),
    ]
    answer = await call(
        daemon.ip, FRONT_PORT, 'POST', '/check/1', headers, b'question'
    )
    record(
        f'{name}-{number} via {daemon.name} '
        f'status={answer and answer.status} '
        f'complete={answer is not None and answer.is_complete} '
        f'code={answer and answer.headers.get("clementinedyke-result")}'
    )


async def load(record, daemons, has_trouble):
    """Send sound requests, and some with the part."""
    bad_at = time.monotonic() + 2
    end = time.monotonic() + SECONDS
    number = 0
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < end:
            number += 1
            daemon = daemons[number % len(daemons)]
            is_bad = time.monotonic() >= bad_at
            if is_bad:
                bad_at += CRASHING_INTERVAL
            name = 'crashing' if is_bad else 'sound'
            group.create_task(
                ask(record, daemon, number, name, is_bad=is_bad and has_trouble)
            )
            await asyncio.sleep(SOUND_INTERVAL)


async def scenario(record, has_trouble):
    deployment = Deployment(record, 3)
    engines = [
        CrashingEngine(record, f'e-{number}', 'design-assist', 'jm-south-a')
        for number in range(ENGINES)
    ]
    try:
        await deployment.start(engines)
        await asyncio.sleep(2)
        await load(record, deployment.daemons, has_trouble)
        crashes = sorted(at for engine in engines for at in engine.crashes)
        reached = sorted(run for engine in engines for run in engine.bad_runs)
        later = []
        if len(crashes) >= COUNTED_CRASH:
            since = crashes[COUNTED_CRASH - 1] + CONTACT_SECONDS
            later = sorted({name for at, name in reached if at > since})
        record(
            f'{len(crashes)} crashes; {len(later)} requests with the part reached '
            f'engines later than contact_ms after crash {COUNTED_CRASH}; '
            f'{ALLOWED} are allowed'
        )
        return len(later) > ALLOWED
    finally:
        for engine in engines:
            await engine.stop()
            if hasattr(engine, 'restarting'):
                engine.restarting.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await engine.restarting
                await engine.stop()
        await deployment.close()


run_case(scenario, FOLDER)
