"""Schemas of the records that operators write, in versions 1 and 2.

Version 2 adds fields; a version 1 document gets their defaults.
"""

from types import MappingProxyType
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

_MAX_TEXT_LENGTH = 200
_MAX_COUNT = 1_000_000_000
_MAX_WEIGHT = 1_000_000
_MAX_DEADLINE = 3_600_000

_Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
_Text = Annotated[str, Field(min_length=1, max_length=_MAX_TEXT_LENGTH)]
_Count = Annotated[int, Field(ge=0, le=_MAX_COUNT)]
_Milliseconds = Annotated[int, Field(ge=1, le=_MAX_DEADLINE)]


class _Document(BaseModel):
    model_config = ConfigDict(frozen=True, extra='forbid', strict=False)

    name: _Name


class _Service(_Document):
    kind: Literal['service']
    backend: Literal['model', 'plain']
    models: tuple[_Text, ...] = ()
    open_to_all: bool = False
    repeatable: bool = True
    require_idempotency_key: bool = False
    fencing: Literal['checked', 'ignored'] = 'checked'

    @model_validator(mode='after')
    def check_models(self) -> '_Service':
        """Reject models of a plain service, since no route leads to them."""
        if self.models and self.backend == 'plain':
            raise ValueError('models are allowed with backend "model" only')
        return self


class ServiceDocument1(_Service):
    """Service, schema version 1."""

    schema_version: Literal[1] = 1


class ServiceDocument2(_Service):
    """Service, schema version 2."""

    schema_version: Literal[2]
    home_region: _Name | None = None
    max_prompt_tokens: _Count | None = None
    deadline: _Milliseconds | None = None
    max_queued_requests: _Count | None = None
    max_queued_tokens: _Count | None = None
    adapters: tuple[_Text, ...] = ()


class _Customer(_Document):
    kind: Literal['customer']
    weight: Annotated[float, Field(gt=0, le=_MAX_WEIGHT)] = 1
    services: tuple[_Name, ...] = ()


class CustomerDocument1(_Customer):
    """Customer, schema version 1."""

    schema_version: Literal[1] = 1


class CustomerDocument2(_Customer):
    """Customer, schema version 2."""

    schema_version: Literal[2]
    tokens_per_second: _Count | None = None
    max_connections: _Count | None = None


class _Key(_Document):
    kind: Literal['key']
    customer: _Name
    digest: Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
    withdrawn: bool = False


class KeyDocument1(_Key):
    """API key, schema version 1."""

    schema_version: Literal[1] = 1


class KeyDocument2(_Key):
    """API key, schema version 2; same fields as version 1."""

    schema_version: Literal[2]


class _Capacity(_Document):
    kind: Literal['capacity']
    service: _Name
    availability_zone: _Name
    minimum: _Count = 0
    maximum: _Count = 0

    @model_validator(mode='after')
    def check_bounds(self) -> '_Capacity':
        """Reject a minimum above the maximum."""
        if self.minimum > self.maximum:
            raise ValueError('minimum must be at most maximum')
        return self


class CapacityDocument1(_Capacity):
    """Capacity, schema version 1."""

    schema_version: Literal[1] = 1


class CapacityDocument2(_Capacity):
    """Capacity, schema version 2."""

    schema_version: Literal[2]
    cheap_maximum: _Count = 0
    price_classes: tuple[Literal['standard', 'cheap'], ...] = ('standard',)


class DeathDocument2(_Document):
    """Confirmation that a run of a daemon has ended; version 2 only."""

    kind: Literal['death']
    schema_version: Literal[2]
    host_id: _Name
    incarnation: _Text
    confirmed_by: _Text


Document = (
    ServiceDocument1
    | ServiceDocument2
    | CustomerDocument1
    | CustomerDocument2
    | KeyDocument1
    | KeyDocument2
    | CapacityDocument1
    | CapacityDocument2
    | DeathDocument2
)

#: Schemas by record kind and schema version.
DOCUMENTS: MappingProxyType[str, MappingProxyType[int, type[Document]]] = (
    MappingProxyType(
        {
            'service': MappingProxyType(
                {1: ServiceDocument1, 2: ServiceDocument2}
            ),
            'customer': MappingProxyType(
                {1: CustomerDocument1, 2: CustomerDocument2}
            ),
            'key': MappingProxyType({1: KeyDocument1, 2: KeyDocument2}),
            'capacity': MappingProxyType(
                {1: CapacityDocument1, 2: CapacityDocument2}
            ),
            'death': MappingProxyType({2: DeathDocument2}),
        }
    )
)
