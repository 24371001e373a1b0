"""SIGHUP at a daemon that drains after SIGTERM."""

import asyncio
import contextlib
import signal
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
    compile_config,
    read_answer,
    run_case,
    write_request,
)

#: Within the route's timeout and the clients' time limit, which are 2.5 s.
WORK_S = 1.0
REQUESTS = 6


async def book(daemon, request, record):
    """Send an unsafe request on a connection of its own; return its end."""
    reader, writer = await asyncio.open_connection(daemon.ip, daemon.port)
    headers = {
        'X-Request-Id': request,
        'X-Deadline-Ms': '2500',
        'X-Key': 'key-1',
    }
    record.write(f'client sends {request}')
    try:
        await write_request(writer, 'POST', '/book/1', headers, b'slot')
        status, fields, body = await asyncio.wait_for(read_answer(reader), 2.5)
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write(
            f'client of {request}: connection ends without an answer'
            f' ({type(error).__name__})'
        )
        return 'cut'
    except TimeoutError:
        record.write(f'client of {request}: time limit')
        return 'late'
    finally:
        writer.close()
    record.write(f'client of {request} gets {status}, {len(body)} bytes')
    return status


async def scenario(record, settings, daemons, has_trouble):
    store, duties = Store(record), Duties(record)
    await store.start()
    await duties.start()
    store.put(
        'op',
        'config',
        compile_config(1, [{'name': 'tenant-1', 'api_keys': ['key-1']}]),
    )
    servers = [Server(f's-{number}', record, WORK_S) for number in (1, 2)]
    for server in servers:
        await server.start(store, 'ledger')
    for number in (1, 2):
        daemons.append(Daemon(number, settings))
        daemons[-1].write_settings(store.port, duties.port)
        await daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(4)
    daemon = daemons[0]
    record.write(f'SIGTERM to {daemon.name}')
    daemon.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    sent = {
        f'request-{number}': asyncio.create_task(
            book(daemon, f'request-{number}', record)
        )
        for number in range(REQUESTS)
    }
    await asyncio.sleep(0.4)
    begun = {request for server in servers for _, request, _ in server.runs}
    if not set(sent) <= begun:
        raise CaseNotRun('not all requests run')
    if has_trouble:
        record.write(f'the settings file changes; SIGHUP to {daemon.name}')
        with contextlib.suppress(ProcessLookupError):
            daemon.write_settings(
                store.port, duties.port, seeds=['127.0.0.1:1']
            )
            daemon.send_signal(signal.SIGHUP)
    ends = {request: await task for request, task in sent.items()}
    with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(daemon.process.wait(), 9)
    record.write(f'{daemon.name} ended with status {daemon.process.returncode}')
    return [
        f'LOST: {request} was read and passed on to a server; its connection '
        f'ended without an answer'
        for request, end in ends.items()
        if end == 'cut'
    ]


run_case(FOLDER, scenario)
