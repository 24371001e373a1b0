"""JSON entries with which endpoints register themselves in the store."""

import msgspec
from result import Err, Ok, Result

from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.http.client import Address

#: Table of the entries. The row key is the endpoint's id, which the entry
#: itself does not repeat.
ENDPOINTS_TABLE = 'servers'
_LEAVING_BY_STATE = {'ready': False, 'draining': True}
_STAGES = {'prefill': Stage.PREFILL, 'decode': Stage.DECODE}
_MAX_PORT = 65535


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    #: Version of the software, not of the weights of its models.
    version: str = ''
    stage: str | None = None
    #: Whether the engine is of the cheap price class, which the platform may
    #: reclaim.
    spot: bool = False
    #: Start time in Unix milliseconds; distinguishes runs that reuse an id.
    born: int = 0


def decode_endpoint(
    endpoint_id: str, content: bytes
) -> Result[EntryEndpoint, str]:
    """Decode the endpoint in a row.

    Returns an error text if the entry is invalid.

    :param endpoint_id: key of the row.
    :param content: raw JSON content of the row.
    """
    try:
        entry = msgspec.json.decode(content, type=_Entry)
        return Ok(_convert(endpoint_id, entry))
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        return Err(f'{type(error).__name__}: {error}')


def _convert(endpoint_id: str, entry: _Entry) -> EntryEndpoint:
    address = Address.parse(entry.address)
    if not 0 < address.port <= _MAX_PORT or entry.slots <= 0:
        raise ValueError(
            f'address {entry.address} (port must be 1 to 65535) or '
            f'slots {entry.slots} (must be positive) out of range'
        )
    return EntryEndpoint(
        endpoint_id=endpoint_id,
        service=entry.service,
        address=address,
        availability_zone=entry.zone,
        slots=entry.slots,
        is_leaving=_LEAVING_BY_STATE[entry.state],
        stage=None if entry.stage is None else _STAGES[entry.stage],
        is_cheap=entry.spot,
        started_at=entry.born,
        version=entry.version,
    )
