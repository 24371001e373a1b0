"""Validated records that operators write."""

import hashlib
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from clementinedyke.exceptions import RecordError

_Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]


class _Record(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid')

    schema_version: Literal[1] = 1
    name: _Name


class ServiceRecord(_Record):
    """A model service or a plain service and how requests to it may run."""

    kind: Literal['service'] = 'service'
    backend: Literal['model', 'plain']
    models: tuple[str, ...] = ()
    open_to_all: bool = False
    repeatable: bool = True
    require_idempotency_key: bool = False
    fencing: Literal['checked', 'ignored'] = 'checked'


class CustomerRecord(_Record):
    """A customer, its fair share and the services it may use."""

    kind: Literal['customer'] = 'customer'
    weight: Annotated[float, Field(gt=0)] = 1
    services: tuple[_Name, ...] = ()


class KeyRecord(_Record):
    """An API key; only the SHA-256 digest of the secret is kept."""

    kind: Literal['key'] = 'key'
    customer: _Name
    digest: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    withdrawn: bool = False


class CapacityRecord(_Record):
    """Bounds on the endpoints of a service in an availability zone."""

    kind: Literal['capacity'] = 'capacity'
    service: _Name
    availability_zone: _Name
    minimum: Annotated[int, Field(ge=0)] = 0
    maximum: Annotated[int, Field(ge=0)] = 0


Record = Annotated[
    ServiceRecord | CustomerRecord | KeyRecord | CapacityRecord,
    Field(discriminator='kind'),
]
_ADAPTER: TypeAdapter[Any] = TypeAdapter(Record)


def parse_record(content: Any) -> Any:
    """Return the validated record of a JSON object.

    :param content: JSON object with ``kind`` and ``schema_version``.
    :raises RecordError: naming the field, its value and what is allowed.
    """
    try:
        return _ADAPTER.validate_python(content)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        field = '.'.join(str(part) for part in first['loc'])
        raise RecordError(
            f'field {field!r} has value {first["input"]!r}: {first["msg"]}'
        ) from error


def get_digest(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of an API key.

    :param secret: key as the caller sends it.
    """
    return hashlib.sha256(secret.encode()).hexdigest()
