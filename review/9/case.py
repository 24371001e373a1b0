"""Streams of a reclaimed engine that end with its connections."""

import asyncio
import signal
from pathlib import Path

import stand_in_http as http1
from stand_in_deployment import (
    MODEL_SERVICE,
    Deployment,
    Record,
    compile_configuration,
    compile_headers,
    run_case,
)

_DEADLINE = 8000
_EVENTS = 25
_GAP_MS = 120
_STREAMS = 12
#: Time from the notice of the platform to the end of the engines.
_NOTICE_SECONDS = 2.0
_DECODING = 2


async def send(
    deployment: Deployment, record: Record, number: int
) -> tuple[str, http1.Received]:
    """Send a stream and return its name and what came."""
    name = f's-{number}'
    headers = compile_headers(
        name,
        _DEADLINE,
        X_Model='m',
        X_Token_Count='1460,25',
        X_Prefix_Hash=f'5c1e07a2:800,{0x91BD3F00 + number:08x}:660',
    )
    request = http1.compile_request('POST', '/lohu930/2f', headers, b'prompt')
    daemon = deployment.daemons[number % len(deployment.daemons)]
    got = await http1.call(daemon.ip, daemon.port, request, _DEADLINE / 1000)
    count = got.body.count(b'data: ')
    record.write(
        f'{name} to {daemon.name}: {got.status}, {count} of {_EVENTS} events, '
        f'{"ended as complete" if got.is_whole else "broken off"}'
    )
    return name, got


async def scenario(
    deployment: Deployment, record: Record, has_trouble: bool
) -> bool:
    """Return whether a stream ended as complete before its last event."""
    routes = [
        {
            'name': 'r-ask',
            'prefix': '/lohu930/',
            'kind': 'streaming',
            'timeout_ms': _DEADLINE,
            'service': MODEL_SERVICE,
        }
    ]
    deployment.store.put('op', 'config', compile_configuration(routes))
    for number in range(6):
        deployment.add_engine(
            f'i-{number}',
            service=MODEL_SERVICE,
            stage='decode' if number < _DECODING else 'prefill',
            slots=48,
            events=_EVENTS,
            gap_ms=_GAP_MS,
            framing='none',
            spot=number < _DECODING,
        )
    await deployment.start_daemons(2)
    await asyncio.sleep(4)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(send(deployment, record, number))
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(0.5)
        if has_trouble:
            reclaimed = [
                deployment.engines[f'i-{number}'] for number in range(_DECODING)
            ]
            for engine in reclaimed:
                engine.signal(signal.SIGUSR1)
            record.write('the platform reclaims the engines of a price class')
            await asyncio.sleep(_NOTICE_SECONDS)
            for engine in reclaimed:
                engine.kill()
            record.write('they are gone')
    for engine in deployment.engines.values():
        for event in engine.list_events():
            record.write(f'engine {event}')
    answers = [task.result()[1] for task in tasks]
    short = [
        got
        for got in answers
        if got.is_whole
        and got.status == 200
        and got.body.count(b'data: ') < _EVENTS
    ]
    record.write(f'{len(short)} streams ended as complete before their last')
    return bool(short)


if __name__ == '__main__':
    run_case(scenario, Path(__file__).parent)
