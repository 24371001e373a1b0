"""Decodes the settings file that the platform writes for each process."""

import tomllib
from dataclasses import replace
from pathlib import Path
from typing import Annotated, Any

import msgspec

from clementinedyke.clock import Milliseconds
from clementinedyke.decimals import parse_decimal
from clementinedyke.entry.host_settings import HostSettings, ServiceBounds
from clementinedyke.exceptions import SettingError
from clementinedyke.http.client import MAX_PORT, Address

#: Environment variable that holds the path of the settings file.
PATH_VARIABLE = 'CLEMENTINEDYKE_SETTINGS'
_MILLISECONDS_PER_SECOND = 1000
_MISSING_FIELD = 'Object missing required field '
#: Value given in both workload sheets.
_DEFAULT_REVOKE_MS = 5000
#: Environment variable that holds the metrics port; empty for no metrics. The
#: deploy file declares the same port to the platform.
METRICS_VARIABLE = 'CLEMENTINEDYKE_METRICS_PORT'


#: Validated by msgspec, which an entry daemon loads anyway: a further library
#: would take a fifth of the processor time of its start.
_PositiveCount = Annotated[int, msgspec.Meta(gt=0)]
_PositiveNumber = Annotated[float, msgspec.Meta(gt=0)]
_Number = Annotated[float, msgspec.Meta(ge=0)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Limits(msgspec.Struct):
    memory_mb: _PositiveCount
    max_fds: _PositiveCount
    #: Bandwidth of the link in Mbit/s.
    link_mbps: _PositiveNumber


class _Bounds(msgspec.Struct):
    """Time and retry limits; ``_ms`` and ``_s`` name the unit."""

    config_apply_ms: _PositiveCount
    drain_ms: _PositiveCount
    grace_s: _PositiveNumber
    lease_ms: _PositiveCount
    usage_window_s: _PositiveNumber
    usage_late_s: _PositiveNumber
    retry_budget_ratio: _Number
    budget_window_s: _PositiveNumber
    budget_extra: _Number
    #: Whether a host that is cut off from the store refuses API keys after
    #: ``revoke_ms``.
    revoke_strict: bool = False
    revoke_ms: _PositiveCount = _DEFAULT_REVOKE_MS


class _Store(msgspec.Struct):
    address: str


class _Duties(msgspec.Struct):
    """Interface of the platform for usage reports and capacity orders."""

    address: str


class _SettingsFile(msgspec.Struct):
    node: _Name
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
        return _convert(msgspec.convert(document, _SettingsFile, strict=False))
    except msgspec.ValidationError as error:
        raise SettingError(
            f'settings file {source}: {_describe_error(error)}'
        ) from error
    except ValueError as malformed:
        raise SettingError(f'settings file {source}: {malformed}') from None


def _describe_error(error: msgspec.ValidationError) -> str:
    """Return the name of the invalid field, and what is wrong with it.

    The library writes "REASON - at `$.TABLE.FIELD`", and names a field that is
    missing in the reason only.
    """
    reason, _, place = str(error).partition(' - at `$')
    names = [name for name in place.strip('`').split('.') if name]
    if reason.startswith(_MISSING_FIELD):
        names.append(reason.removeprefix(_MISSING_FIELD).strip('`'))
        reason = 'field is missing'
    return f'{".".join(names)}: {reason}'


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
