"""Decodes the settings file that the platform writes for each process."""

import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Any

from pydantic import BaseModel, Field, ValidationError

from clementinedyke.clock import Milliseconds
from clementinedyke.decimals import parse_decimal
from clementinedyke.entry.host_settings import HostSettings, ServiceBounds
from clementinedyke.exceptions import SettingError
from clementinedyke.http.client import MAX_PORT, Address

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = 'CLEMENTINEDYKE_SETTINGS'
_MILLISECONDS_PER_SECOND = 1000
#: Value given in both workload sheets.
_DEFAULT_REVOKE_MS = 5000
#: Environment variable that holds the metrics port; empty for no metrics. The
#: deploy file declares the same port to the platform.
METRICS_VARIABLE = 'CLEMENTINEDYKE_METRICS_PORT'


class _Listen(BaseModel):
    front: str
    ready: str


class _Limits(BaseModel):
    memory_mb: int = Field(gt=0)
    max_fds: int = Field(gt=0)
    #: Bandwidth of the link in Mbit/s.
    link_mbps: float = Field(gt=0)


class _Bounds(BaseModel):
    """Time and retry limits; ``_ms`` and ``_s`` name the unit."""

    config_apply_ms: int = Field(gt=0)
    drain_ms: int = Field(gt=0)
    grace_s: float = Field(gt=0)
    lease_ms: int = Field(gt=0)
    usage_window_s: float = Field(gt=0)
    usage_late_s: float = Field(gt=0)
    retry_budget_ratio: float = Field(ge=0)
    budget_window_s: float = Field(gt=0)
    budget_extra: float = Field(ge=0)
    #: Whether a host that is cut off from the store refuses API keys after
    #: ``revoke_ms``.
    revoke_strict: bool = False
    revoke_ms: int = Field(default=_DEFAULT_REVOKE_MS, gt=0)


class _Store(BaseModel):
    address: str


class _Duties(BaseModel):
    """Interface of the platform for usage reports and capacity orders."""

    address: str


class _SettingsFile(BaseModel):
    node: str = Field(min_length=1)
    ip: str
    zone: str
    #: First and last port of the range for traffic between daemons.
    internal_ports: tuple[int, int]
    listen: _Listen
    limits: _Limits
    bounds: _Bounds
    platform: _Store
    #: None if the deployment has no interface for duties.
    cloud: _Duties | None = None


def load_host_settings(path: Path, metrics_port: str = '') -> HostSettings:
    """Read the settings of a host from a file.

    :param path: settings file in TOML.
    :param metrics_port: port number for metrics; empty for no metrics.
    :raises SettingError: if the file or the port is invalid; names the file
        and the first invalid field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingError(f'settings file {path}: {error}') from error
    settings = decode_host_settings(document, str(path))
    if not metrics_port:
        return settings
    port = parse_decimal(metrics_port, MAX_PORT)
    if port is None:
        raise SettingError(
            f'{METRICS_VARIABLE} has value {metrics_port!r}; expected a port'
        )
    address = Address(settings.ip, port)
    return replace(settings, metrics_address=address)


def decode_host_settings(document: dict[str, Any], source: str) -> HostSettings:
    """Convert the tables of a settings file to the settings of a host.

    :param document: parsed TOML document.
    :param source: file name to show in errors.
    :raises SettingError: if a field is invalid; names the first such field.
    """
    try:
        return _convert(_SettingsFile.model_validate(document))
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        name = '.'.join(str(part) for part in first['loc'])
        raise SettingError(
            f'settings file {source}: {name}: {first["msg"]}'
        ) from error
    except ValueError as malformed:
        raise SettingError(f'settings file {source}: {malformed}') from None


def _convert(document: _SettingsFile) -> HostSettings:
    duties = document.cloud
    return HostSettings(
        host=document.node,
        ip=document.ip,
        availability_zone=document.zone,
        caller_address=Address.parse(document.listen.front),
        ready_address=Address.parse(document.listen.ready),
        peer_address=Address(document.ip, document.internal_ports[0]),
        metrics_address=None,
        store_address=Address.parse(document.platform.address),
        duties_address=None
        if duties is None
        else Address.parse(duties.address),
        memory_mb=document.limits.memory_mb,
        max_descriptors=document.limits.max_fds,
        link_megabits=document.limits.link_mbps,
        bounds=_convert_bounds(document.bounds),
    )


def _convert_bounds(bounds: _Bounds) -> ServiceBounds:
    return ServiceBounds(
        configuration_delay=bounds.config_apply_ms,
        drain_delay=bounds.drain_ms,
        stop_grace=_to_milliseconds(bounds.grace_s),
        lease_duration=bounds.lease_ms,
        usage_window=_to_milliseconds(bounds.usage_window_s),
        usage_delay=_to_milliseconds(bounds.usage_late_s),
        retry_ratio=bounds.retry_budget_ratio,
        retry_window=_to_milliseconds(bounds.budget_window_s),
        retry_allowance=bounds.budget_extra,
        max_key_age=bounds.revoke_ms if bounds.revoke_strict else None,
    )


def _to_milliseconds(seconds: float) -> Milliseconds:
    return int(seconds * _MILLISECONDS_PER_SECOND)
