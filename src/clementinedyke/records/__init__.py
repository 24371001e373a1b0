"""Records of services, customers, keys, capacities and daemon deaths."""

# The modules of both packages use each other; they load in this order only.
import clementinedyke.configuration  # noqa: F401, WPS301
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
