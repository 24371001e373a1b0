"""JSON document of the operator's configuration in the store."""

import sys
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from clementinedyke.decoding import decode_json
from clementinedyke.entry.catalog import (
    EngineTraits,
    EntryConfiguration,
    EntryCustomer,
    EntryRoute,
    EntryService,
    RequestKind,
    RequestLimits,
    ScalingOptions,
    ServiceShare,
)
from clementinedyke.exceptions import ProtocolError

#: Table and key of the row with the current configuration.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
_MILLISECONDS_PER_SECOND = 1000
_KINDS = {
    'safe': RequestKind.REPEATABLE,
    'unsafe': RequestKind.ONCE,
    'streaming': RequestKind.STREAM,
}


#: Longest time that the document may name, in ms and in s.
_MAX_DURATION = 10**9
_MAX_VERSION = 1 << sys.float_info.mant_dig

#: Text that a header can hold: no control characters, no space at the ends.
_HeaderText = Annotated[
    str,
    msgspec.Meta(
        pattern=r'\A([^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?)?\Z'
    ),
]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_DURATION)]
_Duration = Annotated[float, msgspec.Meta(ge=0, le=_MAX_DURATION)]


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: _Duration
    priority: int = 0
    service: str = ''
    traffic_split: list[_Share] | None = None
    max_attempts: int = 1
    #: Requests of the route need no API key.
    public: bool = False
    #: Another engine may resume a broken stream after its last event.
    resumable: bool = False


class _Engine(msgspec.Struct):
    slots: _Count


class _Scaling(msgspec.Struct):
    #: Both bounds apply per zone to the sum of cheap and standard engines.
    min: _Count
    max: _Count
    boot_s: _Duration = 0
    #: Fraction of the price of a standard engine, not an amount of money.
    spot_price: float | None = None
    zone_prices: dict[str, float] = msgspec.field(default_factory=dict)


class _Service(msgspec.Struct):
    name: str
    max_connections: _Count = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_ms: _Duration
    idle_timeout_ms: _Duration


class _Tenant(msgspec.Struct):
    #: Sent to endpoints in a header.
    name: _HeaderText
    api_keys: list[str]
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=_MAX_VERSION)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


def decode_configuration(content: bytes) -> Result[EntryConfiguration, str]:
    """Decode the configuration in a row.

    Returns an error text if the document is invalid.

    :param content: raw JSON content of the row.
    """
    try:
        document = decode_json(content, _Configuration)
        return Ok(_convert(document))
    except (ProtocolError, KeyError, ValueError) as error:
        return Err(f'{type(error).__name__}: {error}')


def _convert(document: _Configuration) -> EntryConfiguration:
    limits = document.limits
    customers = None
    if document.tenants is not None:
        customers = tuple(
            EntryCustomer(item.name, frozenset(item.api_keys), item.priority)
            for item in document.tenants
        )
    return EntryConfiguration(
        version=document.version,
        routes=tuple(_convert_route(route) for route in document.routes),
        services={
            service.name: _convert_service(service)
            for service in document.services
        },
        bounds=RequestLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout=int(limits.header_timeout_ms),
            idle_timeout=int(limits.idle_timeout_ms),
        ),
        customers=customers,
    )


def _convert_route(route: _Route) -> EntryRoute:
    shares = route.traffic_split or [_Share(route.service, 1)]
    if all(share.weight <= 0 for share in shares):
        raise ValueError(f'route {route.name!r} gives no service a weight')
    return EntryRoute(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_KINDS[route.kind],
        timeout=int(route.timeout_ms),
        priority=route.priority,
        shares=tuple(
            ServiceShare(share.service, share.weight) for share in shares
        ),
        max_attempts=max(1, route.max_attempts),
        is_public=route.public,
        is_resumable=route.resumable,
    )


def _convert_service(service: _Service) -> EntryService:
    engine = service.engine
    scaling = service.scaling
    return EntryService(
        name=service.name,
        max_connections=service.max_connections,
        engine=None
        if engine is None
        else EngineTraits(
            slots=engine.slots,
        ),
        scaling=None if scaling is None else _convert_scaling(scaling),
    )


def _convert_scaling(scaling: _Scaling) -> ScalingOptions:
    return ScalingOptions(
        minimum=scaling.min,
        maximum=scaling.max,
        boot_time=int(scaling.boot_s * _MILLISECONDS_PER_SECOND),
        cheap_price=scaling.spot_price,
        zone_prices=scaling.zone_prices,
    )
