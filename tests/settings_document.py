"""Settings of a host as the platform writes them."""

import json
from typing import Any

SETTINGS = {
    'node': 'front-a-1',
    'ip': '10.1.0.31',
    'zone': 'zone-a',
    'zones': {'zone-a': 'region', 'zone-b': 'region'},
    'internal_ports': [7780, 7795],
    'listen': {'front': '10.1.0.31:8368', 'ready': '10.1.0.31:8369'},
    'limits': {
        'memory_mb': 300,
        'max_fds': 4100,
        'link_mbps': 5,
        'new_field': 1,
    },
    'bounds': {
        'config_apply_ms': 2000,
        'outer_ms': 5000,
        'drain_ms': 2000,
        'grace_s': 8,
        'contact_ms': 3000,
        'lease_ms': 3000,
        'usage_window_s': 5,
        'usage_late_s': 10,
        'retry_budget_ratio': 0.2,
        'budget_window_s': 10,
        'budget_extra': 54,
        'revoke_strict': False,
        'revoke_ms': 5000,
    },
    'platform': {'address': '10.200.1.7:8362'},
    'cloud': {'address': '10.200.0.99:8362'},
}


def compile_toml(document: dict[str, Any]) -> str:
    """Return a document with one level of tables in TOML."""
    tables = {
        name: item for name, item in document.items() if isinstance(item, dict)
    }
    lines = [
        f'{name} = {json.dumps(item)}'
        for name, item in document.items()
        if name not in tables
    ]
    for name, table in tables.items():
        lines.append(f'[{name}]')
        lines += [f'{key} = {json.dumps(item)}' for key, item in table.items()]
    return '\n'.join(lines)
