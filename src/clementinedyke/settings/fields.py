"""Field definitions of the settings, with unit and allowed values."""

import ipaddress
from typing import Any

from pydantic import Field

from clementinedyke.http.client import Address

_NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
_NAME_ALLOWED = '1 to 63 of a-z, 0-9, ".", "_", "-"'
_MAX_PORT = 65535


def normalize_ip(text: str) -> str:
    """Return an IP address in canonical form.

    :param text: IPv4 or IPv6 address.
    :raises ValueError: if the text is not an IP address.
    """
    return str(ipaddress.ip_address(text))


def check_address(text: str) -> str:
    """Validate an address and return it unchanged.

    :param text: ``IP:PORT`` or empty.
    :raises ValueError: if the text is neither.
    """
    if text:
        address = Address.parse(text)
        normalize_ip(address.host)
        if address.port > _MAX_PORT:
            raise ValueError('port is greater than 65535')
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

    :param default: value if neither flag nor environment variable is given.
    :param description: meaning of the setting, for help and documentation.
    :param unit: unit of a number, for help and documentation.
    :param allowed: allowed values, for help and documentation; if empty, they
        are derived from the bounds ``ge`` and ``le``.
    :param bounds: constraints passed to the pydantic field.
    """
    return Field(
        default=default,
        description=description,
        json_schema_extra={'unit': unit, 'allowed': allowed},
        **bounds,
    )


def create_port(default: int, description: str) -> Any:
    """Return the field of a TCP port.

    :param default: port number, 0 for any free port.
    :param description: purpose of the port.
    """
    return create_setting(
        default, f'{description}, 0 for a free one', ge=0, le=_MAX_PORT
    )


def create_address(default: str, description: str) -> Any:
    """Return the field of an advertised address.

    :param default: ``IP:PORT`` or empty.
    :param description: purpose of the address.
    """
    return create_setting(default, description, allowed='IP:PORT or empty')


def create_path(description: str) -> Any:
    """Return the field of the path of a PEM file, empty by default.

    :param description: content of the file.
    """
    return create_setting(
        '', description, allowed='path of a PEM file or empty'
    )


def create_name(default: str, description: str) -> Any:
    """Return the field of a name of at most 63 characters.

    :param default: default name.
    :param description: meaning of the name.
    """
    return create_setting(
        default, description, pattern=_NAME_PATTERN, allowed=_NAME_ALLOWED
    )


def create_bind_address(description: str) -> Any:
    """Return the field of an IP address to bind, loopback by default.

    :param description: port that binds the address.
    """
    return create_setting('127.0.0.1', description, allowed='IP number')


def create_duration(
    default: int, minimum: int, maximum: int, description: str
) -> Any:
    """Return the field of a duration in milliseconds.

    :param default: default in milliseconds.
    :param minimum: smallest allowed value in milliseconds.
    :param maximum: greatest allowed value in milliseconds.
    :param description: meaning of the duration.
    """
    return create_setting(
        default, description, unit='ms', ge=minimum, le=maximum
    )
