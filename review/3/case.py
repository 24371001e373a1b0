"""A drill: the store is away for a moment and is back from an older copy."""

import asyncio
import contextlib
import sys
import time
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

WINDOW_S = 5
#: The copy is taken this long after the start of a window.
COPY_AT_S = 3.5
#: The store is away for this long before it is back.
AWAY_S = 0.5
#: Reports count until 10 s after the end of their window (usage_late_s).
WATCH_S = 16
DRILLS = 1
PAUSE_S = 0.05


async def send_requests(daemon, record, counts):
    """Send safe requests of two tenants until cancelled."""
    number = 0
    while True:
        number += 1
        tenant = 1 + number % 2
        request = f'{daemon.name}-{number}'
        headers = {
            'X-Request-Id': request,
            'X-Deadline-Ms': '2500',
            'X-Key': f'key-{tenant}',
        }
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            status, _, _ = await call(
                daemon.ip, daemon.port, 'GET', '/read/1', headers
            )
            counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(PAUSE_S)


def list_reports(duties, window):
    """Return the counts that were reported for a window, in order."""
    return [
        (at, holder, number, body['counts'])
        for at, target, holder, number, body in duties.calls
        if target == '/usage' and body['window'] == window
    ]


async def wait_for_report(duties, window, timeout):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if list_reports(duties, window):
            return
        await asyncio.sleep(0.02)
    raise CaseNotRun(f'window {window} was not reported')


async def play_drill(record, store, duties, write_again, has_trouble):
    """Take a copy within a window, and return from it once it is reported."""
    window = int(time.time()) // WINDOW_S + 1
    await asyncio.sleep(window * WINDOW_S + COPY_AT_S - time.time())
    copied_at = time.monotonic()
    copy = store.version, dict(store.rows), list(store.history)
    record.write(
        f'copy of the store at version {store.version}, in window {window}'
    )
    await wait_for_report(duties, window, 8)
    if has_trouble:
        record.write(f'the store is away for {AWAY_S} s')

        async def refuse(path, fields, body):
            return 503, {'Store-Era': str(store.era)}, b'{}'

        store.override = refuse
        await asyncio.sleep(AWAY_S)
        store.version, store.rows, store.history = copy
        store.era += 1
        write_again()
        store.override = None
        age = time.monotonic() - copied_at
        record.write(
            f'the store is back from a copy {age:.1f} s old, '
            f'Store-Era {store.era}, version {store.version}'
        )
    await asyncio.sleep(WATCH_S)


async def scenario(record, settings, daemons, has_trouble):
    store, duties = Store(record), Duties(record)
    store.era = 1
    await store.start()
    await duties.start()
    config = compile_config(
        1,
        [
            {'name': f'tenant-{number}', 'api_keys': [f'key-{number}']}
            for number in (1, 2)
        ],
    )
    store.put('op', 'config', config)
    servers = [Server(f's-{number}', record, 0.01) for number in (1, 2)]
    for server in servers:
        server.is_quiet = True
        await server.start(store, 'ledger')
    entries = {
        key: store.read('servers', key)
        for table, key in store.rows
        if table == 'servers'
    }

    def write_again():
        """The operator and the servers write again what they wrote."""
        store.put('op', 'config', config)
        for key, entry in entries.items():
            store.put('servers', key, entry)

    for number in (1, 2, 3):
        daemons.append(Daemon(number, settings))
        daemons[-1].write_settings(store.port, duties.port)
        await daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_until_ready()
    counts = {}
    tasks = [
        asyncio.create_task(send_requests(daemon, record, counts))
        for daemon in daemons
    ]
    await asyncio.sleep(6)
    for _ in range(DRILLS):
        await play_drill(record, store, duties, write_again, has_trouble)
    for task in tasks:
        task.cancel()
    record.write(f'answers to clients by status: {counts}')
    if not counts.get(200):
        raise CaseNotRun('no request was served')
    broken = []
    windows = {
        body['window']
        for _, target, _, _, body in duties.calls
        if target == '/usage'
    }
    for window in sorted(windows):
        reports = list_reports(duties, window)
        different = {str(sorted(counts.items())) for _, _, _, counts in reports}
        if len(different) > 1:
            told = '; then '.join(
                f'{holder} (number {number}) {counts}'
                for _, holder, number, counts in reports
            )
            broken.append(
                f'ONE: reports for window {window} with different counts: {told}'
            )
    return broken


run_case(FOLDER, scenario)
