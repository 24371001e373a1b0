"""An entry of another writer in the table of the servers."""

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
    compile_config,
    read_answer,
    run_case,
    write_request,
)

#: The servers take this long; the route's timeout is 2.5 s.
SHORT_S = 0.05
LONG_S = 1.4
CONNECTIONS = 4
ROUNDS = 3
#: The platform starts a process that has ended again after this time.
RESTART_S = 1
CONTACT_S = 3
#: A service that the config doesn't name, and an address that is no IP:PORT.
FOREIGN_ENTRY = {
    'service': 'other-desk',
    'address': '::1%võrk0:8080',
    'zone': 'zone-b',
    'version': '7',
    'slots': 4,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 1,
    'born': 1700000000000,
}


async def book(connection, request, record):
    """Send an unsafe request on a kept connection; return how it ends."""
    reader, writer = connection
    headers = {
        'X-Request-Id': request,
        'X-Deadline-Ms': '2500',
        'X-Key': 'key-1',
    }
    record.write(f'client sends {request}')
    try:
        await write_request(writer, 'POST', '/book/1', headers, b'slot')
        status, _, _ = await asyncio.wait_for(read_answer(reader), 2.5)
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write(
            f'client of {request}: connection ends without an answer'
            f' ({type(error).__name__})'
        )
        return 'cut'
    except TimeoutError:
        record.write(f'client of {request}: time limit')
        return 'late'
    record.write(f'client of {request} gets {status}')
    return status


async def restart_if_ended(daemon, record):
    """Do as the platform does; return whether the process had ended."""
    if daemon.process.returncode is None:
        return False
    record.write(
        f'{daemon.name} has ended by itself, status '
        f'{daemon.process.returncode}; it is started again'
    )
    await asyncio.sleep(RESTART_S)
    await daemon.start()
    return True


async def play_round(number, daemon, servers, record):
    """Send bookings on kept connections; return those that were cut."""
    connections = [
        await asyncio.open_connection(daemon.ip, daemon.port)
        for _ in range(CONNECTIONS)
    ]
    for server in servers:
        server.work_s = SHORT_S
    for place, connection in enumerate(connections):
        first = await book(
            connection, f'{daemon.name}-{number}-{place}-a', record
        )
        if first != 200:
            raise CaseNotRun(f'a first request ended with {first}')
    for server in servers:
        server.work_s = LONG_S
    names = [
        f'{daemon.name}-{number}-{place}-b' for place in range(CONNECTIONS)
    ]
    ends = await asyncio.gather(
        *(
            book(connection, name, record)
            for connection, name in zip(connections, names)
        )
    )
    for _, writer in connections:
        writer.close()
    run = {request for server in servers for _, request, _ in server.runs}
    return [
        name for name, end in zip(names, ends) if end == 'cut' and name in run
    ]


async def scenario(record, settings, daemons, has_trouble):
    store, duties = Store(record), Duties(record)
    await store.start()
    await duties.start()
    store.put(
        'op',
        'config',
        compile_config(1, [{'name': 'tenant-1', 'api_keys': ['key-1']}]),
    )
    servers = [Server(f's-{number}', record) for number in (1, 2)]
    for server in servers:
        await server.start(store, 'ledger')
    for number in (1, 2):
        daemons.append(Daemon(number, settings))
        daemons[-1].write_settings(store.port, duties.port)
        await daemons[-1].start()
    for daemon in daemons:
        await daemon.wait_until_ready()
    await asyncio.sleep(CONTACT_S)
    if has_trouble:
        record.write(f'another writer puts servers/gate-7: {FOREIGN_ENTRY}')
        store.put('servers', 'gate-7', FOREIGN_ENTRY)
        await asyncio.sleep(CONTACT_S)
    cut = []
    ended = dict.fromkeys((daemon.name for daemon in daemons), 0)
    for number in range(ROUNDS):
        for daemon in daemons:
            cut += await play_round(number, daemon, servers, record)
        await asyncio.sleep(0.3)
        for daemon in daemons:
            ended[daemon.name] += await restart_if_ended(daemon, record)
        for daemon in daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(CONTACT_S)
    broken = []
    if len(cut) > 3:
        broken.append(
            f'LOST: {len(cut)} requests from kept connections were passed on to '
            f'sound servers, and their connections ended without an answer'
        )
    if sum(count >= 3 for count in ended.values()) >= 2:
        broken.append(f'Fault: processes ended by themselves: {ended}')
    return broken


run_case(FOLDER, scenario)
