"""Validated records as the daemon uses them, and their validation."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Literal

from pydantic import ValidationError

from clementinedyke.clock import Milliseconds
from clementinedyke.exceptions import RecordError
from clementinedyke.records.documents import DOCUMENTS, Document

#: Fields of a key record that error messages may show. Any other field may
#: contain a secret that an operator pasted by mistake.
_SHOWN_KEY_FIELDS = frozenset(('name', 'customer', 'withdrawn'))


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRecord:
    """A model service or a plain service and the rules for its requests.

    ``deadline`` is the limit in milliseconds from the arrival of a request to
    the first byte of the answer. None means that the record sets no limit.
    """

    name: str
    backend: Literal['model', 'plain']
    models: tuple[str, ...] = ()
    open_to_all: bool = False
    repeatable: bool = True
    require_idempotency_key: bool = False
    fencing: Literal['checked', 'ignored'] = 'checked'
    home_region: str | None = None
    max_prompt_tokens: int | None = None
    deadline: Milliseconds | None = None
    max_queued_requests: int | None = None
    max_queued_tokens: int | None = None
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerRecord:
    """A customer with its share weight, limits and permitted services."""

    name: str
    weight: float = 1
    services: tuple[str, ...] = ()
    tokens_per_second: int | None = None
    max_connections: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """An API key; only the SHA-256 digest of the secret is stored."""

    name: str
    customer: str
    digest: str
    withdrawn: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CapacityRecord:
    """Limits on the number of endpoints of a service in a zone."""

    name: str
    service: str
    availability_zone: str
    minimum: int = 0
    maximum: int = 0
    cheap_maximum: int = 0
    price_classes: tuple[Literal['standard', 'cheap'], ...] = ('standard',)


@dataclass(frozen=True, slots=True, kw_only=True)
class DeathRecord:
    """An operator's confirmation that a run of a daemon has ended."""

    name: str
    host_id: str
    incarnation: str
    confirmed_by: str


Record = (
    ServiceRecord | CustomerRecord | KeyRecord | CapacityRecord | DeathRecord
)

_CLASSES: MappingProxyType[str, type[Record]] = MappingProxyType(
    {
        'service': ServiceRecord,
        'customer': CustomerRecord,
        'key': KeyRecord,
        'capacity': CapacityRecord,
        'death': DeathRecord,
    }
)


def parse_record(content: Any) -> Record:
    """Validate a JSON object and return its record.

    Version 1 documents get the defaults of version 2; stored rows stay as they
    are.

    :param content: JSON object with ``kind`` and ``schema_version``, which
        defaults to 1.
    :raises RecordError: if the content is invalid; names the field, its value
        and what is allowed.
    """
    schema = _get_schema(content)
    try:
        document = schema.model_validate(content)
    except ValidationError as error:
        raise _compile_error(content, error) from error
    fields = document.model_dump(exclude={'kind', 'schema_version'})
    return _CLASSES[document.kind](**fields)


def get_digest(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of an API key.

    :param secret: key as the caller sends it.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def _get_schema(content: Any) -> type[Document]:
    if not isinstance(content, Mapping):
        raise RecordError('a record must be a JSON object')
    kind = content.get('kind')
    if not isinstance(kind, str) or kind not in DOCUMENTS:
        raise RecordError(
            f"field 'kind' has value {kind!r}: allowed are {_join(DOCUMENTS)}"
        )
    schemas = DOCUMENTS[kind]
    version = content.get('schema_version', 1)
    # True and 1.0 are equal to 1 and would be accepted as version 1.
    is_number = isinstance(version, int) and not isinstance(version, bool)
    if not is_number or version not in schemas:
        raise RecordError(
            f"field 'schema_version' has value {version!r}: "
            f'allowed for kind {kind!r} are {_join(schemas)}'
        )
    return schemas[version]


def _join(allowed: Mapping[Any, object]) -> str:
    return ', '.join(str(choice) for choice in allowed)


def _compile_error(
    content: Mapping[str, Any], error: ValidationError
) -> RecordError:
    first = error.errors(include_url=False)[0]
    field = '.'.join(str(part) for part in first['loc'])
    message = first['msg']
    if not field:
        return RecordError(message)
    if first['type'] == 'missing':
        return RecordError(f'field {field!r} is missing: {message}')
    shown = repr(first['input'])
    if content['kind'] == 'key' and field not in _SHOWN_KEY_FIELDS:
        shown = '(hidden)'
    return RecordError(f'field {field!r} has value {shown}: {message}')
