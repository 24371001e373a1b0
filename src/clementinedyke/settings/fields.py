"""Fields of the settings; each carries its unit and allowed values."""

import ipaddress
from typing import Any

from pydantic import Field

from clementinedyke.http.client import Address

_NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
_NAME_ALLOWED = '1 to 63 of a-z, 0-9, ".", "_", "-"'
_MAX_PORT = 65535


def normalize_ip(text: str) -> str:
    """Return an IP number in its usual form.

    :param text: IP number.
    :raises ValueError: if it is none.
    """
    return str(ipaddress.ip_address(text))


def check_address(text: str) -> str:
    """Return an empty text or an address with an IP number unchanged.

    :param text: ``IP:PORT`` or empty.
    :raises ValueError: if it is neither.
    """
    if text:
        address = Address.parse(text)
        normalize_ip(address.host)
        if address.port > _MAX_PORT:
            raise ValueError('port is too large')
    return text


def create_setting(
    default: Any,
    description: str,
    *,
    unit: str = '',
    allowed: str = '',
    **bounds: Any,
) -> Any:
    """Return a field of the settings.

    :param default: value without a flag or environment variable.
    :param description: what the setting does.
    :param unit: unit of a number.
    :param allowed: allowed values; a number has bounds instead.
    :param bounds: constraints of the field.
    """
    return Field(
        default=default,
        description=description,
        json_schema_extra={'unit': unit, 'allowed': allowed},
        **bounds,
    )


def create_port(default: int, description: str) -> Any:
    """Return the field of a TCP port.

    :param default: port number.
    :param description: what the port is for.
    """
    return create_setting(
        default, f'{description}, 0 for a free one', ge=0, le=_MAX_PORT
    )


def create_address(default: str, description: str) -> Any:
    """Return the field of an advertised address.

    :param default: ``IP:PORT`` or empty.
    :param description: what the address is for.
    """
    return create_setting(default, description, allowed='IP:PORT or empty')


def create_path(description: str) -> Any:
    """Return the field of a PEM file.

    :param description: what the file holds.
    """
    return create_setting(
        '', description, allowed='path of a PEM file or empty'
    )


def create_name(default: str, description: str) -> Any:
    """Return the field of a name.

    :param default: name.
    :param description: what is named.
    """
    return create_setting(
        default, description, pattern=_NAME_PATTERN, allowed=_NAME_ALLOWED
    )


def create_bind_address(description: str) -> Any:
    """Return the field of an IP number to bind.

    :param description: what binds it.
    """
    return create_setting('127.0.0.1', description, allowed='IP number')


def create_duration(
    default: int, minimum: int, maximum: int, description: str
) -> Any:
    """Return the field of a duration in milliseconds.

    :param default: milliseconds.
    :param least: lower bound.
    :param greatest: upper bound.
    :param description: what takes this time.
    """
    return create_setting(
        default, description, unit='ms', ge=minimum, le=maximum
    )
