"""Validated settings of a daemon.

Flags, environment variables, help texts and ``docs/settings.md`` are generated
from the fields of :class:`Settings`.
"""

from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, SecretStr

from clementinedyke.settings.fields import (
    check_address,
    create_address,
    create_bind_address,
    create_duration,
    create_name,
    create_path,
    create_port,
    create_setting,
    normalize_ip,
)

#: Characters.
MIN_TOKEN_LENGTH = 16

_Ip = Annotated[str, AfterValidator(normalize_ip)]
_AddressText = Annotated[str, AfterValidator(check_address)]


class Settings(BaseModel):
    """Settings of ``clementinedyke serve``; durations are in milliseconds."""

    model_config = ConfigDict(frozen=True, extra='forbid')

    host: _Ip = create_bind_address('IP number that the caller port binds')
    port: int = create_port(8080, 'caller port')
    operator_host: _Ip = create_bind_address(
        'IP number that the operator port binds'
    )
    operator_port: int = create_port(8081, 'operator port')
    daemon_host: _Ip = create_bind_address(
        'IP number that the daemon port binds'
    )
    daemon_port: int = create_port(8082, 'port for other daemons')
    caller_address: _AddressText = create_address(
        '', 'advertised address of the caller port; empty for the bound one'
    )
    operator_address: _AddressText = create_address(
        '', 'advertised address of the operator port; empty for the bound one'
    )
    daemon_address: _AddressText = create_address(
        '', 'advertised address of the daemon port; empty for the bound one'
    )
    platform: _AddressText = create_setting(
        '127.0.0.1:8090',
        'address of the platform',
        allowed='IP:PORT',
        min_length=1,
    )
    region: str = create_name('region-a', 'region of this host')
    availability_zone: str = create_name(
        'zone-a', 'availability zone of this host'
    )
    host_id: str = create_name('host-0', 'name of this host in the host list')
    tls_certificate: str = create_path('certificate chain of the caller port')
    tls_key: str = create_path('private key of the caller port')
    operator_tls_certificate: str = create_path(
        'certificate chain of the operator port'
    )
    operator_tls_key: str = create_path('private key of the operator port')
    daemon_secret: SecretStr = create_setting(
        SecretStr(''),
        'secret that all daemons share on the daemon port; without one or '
        'certificates it must be on loopback',
        allowed='text or empty',
    )
    daemon_certificate: str = create_path(
        'certificate chain of the daemon port, both as server and client'
    )
    daemon_key: str = create_path('private key of the daemon port')
    daemon_authority: str = create_path(
        'certificates of the authority that signs those of all daemons'
    )
    operator_token: SecretStr = create_setting(
        SecretStr(''),
        'token of the operator port; without one it refuses all but /metrics, '
        '/healthz and /readyz',
        allowed=f'at least {MIN_TOKEN_LENGTH} characters or empty',
    )
    operator_token_file: str = create_setting(
        '',
        'file that holds the operator token',
        allowed='path of a text file or empty',
    )
    max_connections: int = create_setting(
        4096, 'open caller connections', unit='connections', ge=1, le=100000
    )
    memory_mb: int = create_setting(
        1024,
        'memory of the process; bodies and answers that need more are refused',
        unit='MB',
        ge=96,
        le=1048576,
    )
    max_customer_connections: int = create_setting(
        1024,
        'open connections of one customer',
        unit='connections',
        ge=1,
        le=100000,
    )
    max_header_bytes: int = create_setting(
        32768, 'size of request headers', unit='bytes', ge=1024, le=1048576
    )
    max_body_bytes: int = create_setting(
        8388608, 'size of a request body', unit='bytes', ge=1024, le=1073741824
    )
    idle_timeout: int = create_duration(
        75000, 1000, 3600000, 'time that an idle connection is kept'
    )
    receive_timeout: int = create_duration(
        15000, 100, 600000, 'time to receive the body of a request'
    )
    request_timeout: int = create_duration(
        600000, 1000, 3600000, 'time that a request may take; bounds a drain'
    )
    first_byte_timeout: int = create_duration(
        60000,
        100,
        3600000,
        'time to the first byte of an answer, within request_timeout',
    )
    key_max_age: int = create_duration(
        8000, 2000, 12000, 'age of key state above which keys are refused'
    )
    lease_duration: int = create_duration(
        9000, 3000, 60000, 'time that a lease lasts without renewal'
    )
    probe_interval: int = create_duration(
        1000, 100, 10000, 'time between two membership probes'
    )
    role_orders: Literal['on', 'off'] = create_setting(
        'off',
        'whether engines are ordered to change their role; off because a '
        'request is not yet split between engines',
        allowed='on or off',
    )
    log_level: Literal['debug', 'info', 'warning', 'error'] = create_setting(
        'info',
        'least severity that is logged',
        allowed='debug, info, warning or error',
    )
