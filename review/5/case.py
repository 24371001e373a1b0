"""All API keys are taken away; the config then lists no tenant."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (  # noqa: E402
    CaseNotRun,
    Daemon,
    Duties,
    Server,
    Store,
    call,
    compile_config,
    run_case,
)

#: Twice `config_apply_ms`, and longer than `contact_ms`.
SETTLE_S = 4
REQUESTS = 5
KEY = 'key-1'
UNKNOWN_KEY = 'key-that-no-config-held'


async def send(daemon, request, key, record):
    headers = {'X-Request-Id': request, 'X-Deadline-Ms': '2500', 'X-Key': key}
    status, _, _ = await call(
        daemon.ip, daemon.port, 'POST', '/book/1', headers, b'slot'
    )
    record.write(f'client of {request} with X-Key {key} gets {status}')
    return status


async def scenario(record, settings, daemons, has_trouble):
    store, duties = Store(record), Duties(record)
    await store.start()
    await duties.start()
    tenants = [{'name': 'tenant-1', 'api_keys': [KEY]}]
    store.put('op', 'config', compile_config(1, tenants))
    servers = [Server(f's-{number}', record) for number in (1, 2)]
    for server in servers:
        await server.start(store, 'ledger')
    for number in (1, 2):
        daemons.append(Daemon(number, settings))
        daemons[-1].write_settings(store.port, duties.port)
        await daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    for daemon in daemons:
        if await send(daemon, f'{daemon.name}-before', KEY, record) != 200:
            raise CaseNotRun('the key is not accepted before it is taken away')
        if (
            await send(
                daemon, f'{daemon.name}-unknown-before', UNKNOWN_KEY, record
            )
            != 401
        ):
            raise CaseNotRun('an unknown key is not refused before')
    changed = [] if has_trouble else tenants
    store.put('op', 'config', compile_config(3, changed))
    record.write(
        f'the store accepts version 3 of the config, tenants: {changed}'
    )
    await asyncio.sleep(SETTLE_S)
    withdrawn, unknown = [], []
    for number in range(REQUESTS):
        for daemon in daemons:
            name = f'{daemon.name}-withdrawn-{number}'
            await send(daemon, name, KEY, record)
            withdrawn.append(name)
            name = f'{daemon.name}-unknown-{number}'
            await send(daemon, name, UNKNOWN_KEY, record)
            unknown.append(name)
    run = {
        request: tenant
        for server in servers
        for _, request, tenant in server.runs
    }
    broken = []
    if has_trouble and any(name in run for name in withdrawn):
        count = sum(name in run for name in withdrawn)
        broken.append(
            f'CONFIG: {count} of {len(withdrawn)} requests with a dropped key '
            f'were run {SETTLE_S} s and more after the acknowledgement'
        )
    if any(name in run for name in unknown):
        count = sum(name in run for name in unknown)
        broken.append(
            f'ROUTE: {count} of {len(unknown)} requests were run whose key no '
            f'config ever held'
        )
    return broken


run_case(FOLDER, scenario)
