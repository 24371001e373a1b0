"""Records and endpoints for the relay benchmark."""

from typing import Any

from clementinedyke.records.core import get_digest

HOST = '127.0.0.1'
KEY = 'bench-key'


def compile_state(engines: list[int]) -> dict[str, Any]:
    """Return the initial state of the platform stand-in.

    :param engines: ports of the engines.
    """
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
            'digest': get_digest(KEY),
        },
    ]
    endpoints = [
        {
            'endpoint_id': f'engine-{port}',
            'service': 'bench',
            'availability_zone': 'zone-a',
            'address': f'{HOST}:{port}',
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
