"""Records of services, customers, keys, capacities and daemon deaths."""

from clementinedyke.records.core import (
    CapacityRecord,
    CustomerRecord,
    DeathRecord,
    KeyRecord,
    ServiceRecord,
    get_digest,
    parse_record,
)

__all__ = (
    'CapacityRecord',
    'CustomerRecord',
    'DeathRecord',
    'KeyRecord',
    'ServiceRecord',
    'get_digest',
    'parse_record',
)
