"""Sample configurations, endpoints and requests for the entry tests."""

import trio

from clementinedyke.clock import ManualClock
from clementinedyke.entry.catalog import (
    EngineTraits,
    EntryConfiguration,
    EntryCustomer,
    EntryEndpoint,
    EntryRequest,
    EntryRoute,
    EntryService,
    PromptPart,
    RequestKind,
    RequestLimits,
    ScalingOptions,
    ServiceShare,
    Stage,
)
from clementinedyke.entry.host_settings import ServiceBounds
from clementinedyke.entry.journal import Journal
from clementinedyke.http.client import Address

BOUNDS = ServiceBounds(
    configuration_delay=2000,
    drain_delay=2000,
    stop_grace=4000,
    lease_duration=900,
    usage_window=1000,
    usage_delay=2000,
    retry_ratio=0.2,
    retry_window=10000,
    retry_allowance=54,
    max_key_age=None,
)
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')


class TrioClock:
    """Clock that returns the time of the trio run in milliseconds."""

    def get_now(self) -> int:
        """Return the current instant."""
        return int(trio.current_time() * 1000)


def create_journal(clock: ManualClock) -> Journal:
    """Return a journal that keeps its lines in memory."""
    return Journal(clock, 'host-1', lines_per_second=1000, max_queued=1000)


def create_endpoint(
    endpoint_id: str,
    stage: Stage | None = None,
    zone: str = 'zone-a',
    **fields: object,
) -> EntryEndpoint:
    """Return an endpoint, of service ``chat`` by default."""
    return EntryEndpoint(
        endpoint_id,
        fields.pop('service', 'chat'),
        Address('127.0.0.1', 9),
        zone,
        fields.pop('slots', 10),
        stage=stage,
        **fields,
    )


def create_route(**fields: object) -> EntryRoute:
    """Return a route of host ``desk.example``, changed by ``fields``."""
    arguments = {
        'name': 'review',
        'host': 'desk.example',
        'prefix': '/review/',
        'kind': RequestKind.STREAM,
        'timeout': 6000,
        'priority': 2,
        'shares': (ServiceShare('chat', 1),),
        'max_attempts': 2,
        **fields,
    }
    return EntryRoute(**arguments)


def create_service(name: str = 'chat', maximum: int = 3) -> EntryService:
    """Return an engine service that can be scaled in four zones."""
    return EntryService(
        name,
        100,
        engine=EngineTraits(64),
        scaling=ScalingOptions(
            1, maximum, 4000, 0.2, dict.fromkeys(ZONES, float(1))
        ),
    )


def create_configuration(
    version: int = 1, **fields: object
) -> EntryConfiguration:
    """Return a configuration with one route, service and customer each."""
    arguments = {
        'routes': (create_route(),),
        'services': {'chat': create_service()},
        'bounds': RequestLimits(16384, 4194304, 3000, 15000),
        'customers': (EntryCustomer('loft', frozenset(('key-1',))),),
        **fields,
    }
    return EntryConfiguration(version, **arguments)


def create_request(request_id: str = 'r-1', **fields: object) -> EntryRequest:
    """Return a request of customer ``loft`` for the sample route."""
    arguments = {
        'method': 'POST',
        'target': '/review/1',
        'host': 'desk.example',
        'path': '/review/1',
        'body': b'spec',
        'forwarded_headers': (),
        'key': 'key-1',
        'caller_timeout': 5000,
        'prompt_tokens': 17000,
        'prompt_parts': (
            PromptPart('rulebook', 13000),
            PromptPart(f'own-{request_id}', 4000),
        ),
        **fields,
    }
    return EntryRequest(request_id, **arguments)
