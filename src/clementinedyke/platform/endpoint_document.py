"""JSON entries with which endpoints register themselves in the store."""

import re
import sys
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from clementinedyke.decoding import decode_json
from clementinedyke.entry.catalog import EntryEndpoint, Stage
from clementinedyke.exceptions import ProtocolError
from clementinedyke.http.client import Address

#: Table of the entries. The row key is the endpoint's id, which the entry
#: itself does not repeat.
ENDPOINTS_TABLE = 'servers'
_LEAVING_BY_STATE = {'ready': False, 'draining': True}
_STAGES = {'prefill': Stage.PREFILL, 'decode': Stage.DECODE}
#: Entries may come from other writers. Requests that an endpoint runs at a
#: time, far above those of any engine.
_MAX_SLOTS = 1_000_000
#: Latest start time, which a JSON number holds exactly.
_MAX_START = 1 << sys.float_info.mant_dig
#: The id is sent in a header.
_ENDPOINT_ID = re.compile('[!-~]+')

_Name = Annotated[str, msgspec.Meta(min_length=1)]


class _Entry(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: str
    #: Version of the software, not of the weights of its models.
    version: str = ''
    stage: str | None = None
    #: Whether the engine is of the cheap price class, which the platform may
    #: reclaim.
    spot: bool = False
    #: Start time in Unix milliseconds; distinguishes runs that reuse an id.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_START)] = 0


def decode_endpoint(
    endpoint_id: str, content: bytes
) -> Result[EntryEndpoint, str]:
    """Decode the endpoint in a row.

    Returns an error text if the entry is invalid.

    :param endpoint_id: key of the row.
    :param content: raw JSON content of the row.
    """
    try:
        entry = decode_json(content, _Entry)
        return Ok(_convert(endpoint_id, entry))
    except (ProtocolError, KeyError, ValueError) as error:
        return Err(f'{type(error).__name__}: {error}')


def _convert(endpoint_id: str, entry: _Entry) -> EntryEndpoint:
    address = Address.parse(entry.address)
    if not address.is_reachable:
        raise ValueError(f'address {entry.address} is not one of a host')
    if not _ENDPOINT_ID.fullmatch(endpoint_id):
        raise ValueError(f'id {endpoint_id!r} cannot be sent in a header')
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
