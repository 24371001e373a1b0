"""Loading of the settings and generation of their documentation."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from difflib import get_close_matches
from pathlib import Path
from typing import Any

import annotated_types
from pydantic import ValidationError
from pydantic.fields import FieldInfo

from clementinedyke.exceptions import SettingError
from clementinedyke.settings.core import MIN_TOKEN_LENGTH, Settings

_ENVIRONMENT_PREFIX = 'CLEMENTINEDYKE_'


@dataclass(frozen=True, slots=True)
class SettingDetails:
    """Documentation of a setting; all fields are display texts."""

    name: str
    unit: str
    default: str
    allowed: str
    description: str

    @property
    def flag(self) -> str:
        """Command-line flag."""
        return _get_flag(self.name)

    @property
    def environment_name(self) -> str:
        """Name of the environment variable."""
        return f'{_ENVIRONMENT_PREFIX}{self.name.upper()}'

    @property
    def help(self) -> str:
        """Help text with description, unit, default and allowed values."""
        unit = f'unit: {self.unit}; ' if self.unit else ''
        default = self.default or 'empty'
        return (
            f'{self.description} ({unit}default: {default}; '
            f'allowed: {self.allowed})'
        )


def list_settings() -> list[SettingDetails]:
    """Return the details of all settings in the order of definition."""
    return [
        _describe(name, field) for name, field in Settings.model_fields.items()
    ]


def compile_settings_page() -> str:
    """Return the content of ``docs/settings.md`` as Markdown."""
    lines = [
        '# Settings',
        '',
        'Each setting of `clementinedyke serve` is a flag and an environment',
        'variable; the flag wins. A wrong setting stops the start with exit',
        'status 2. This page is compiled from the fields of `Settings`; a test',
        'keeps it equal.',
        '',
        '| flag | environment variable | unit | default | allowed | meaning |',
        '| --- | --- | --- | --- | --- | --- |',
    ]
    for details in list_settings():
        cells = (
            f'`{details.flag}`',
            f'`{details.environment_name}`',
            details.unit,
            f'`{details.default}`' if details.default else '',
            details.allowed,
            details.description,
        )
        lines.append(f'| {" | ".join(cells)} |')
    return '\n'.join([*lines, ''])


def check_environment(names: Iterable[str]) -> None:
    """Reject unknown environment variables with the prefix of the settings.

    Otherwise a mistyped variable would be ignored and the default used.

    :param names: names of all environment variables.
    :raises SettingError: at the first unknown variable in sorted order.
    """
    known = {details.environment_name for details in list_settings()}
    for name in sorted(names):
        if name.startswith(_ENVIRONMENT_PREFIX) and name not in known:
            close = get_close_matches(name, known, 1)
            hint = f'; did you mean {close[0]}?' if close else ''
            raise SettingError(
                f'environment variable {name} does not match any setting{hint}'
            )


def load_settings(given: Mapping[str, str | None]) -> Settings:
    """Return the settings from flags and environment variables.

    :param given: texts by setting name; None selects the default.
    :raises SettingError: if a value is invalid, naming the setting, the value
        and the allowed values.
    """
    texts = {name: text for name, text in given.items() if text is not None}
    if texts.get('operator_token_file'):
        texts['operator_token'] = _read_token(texts)
    try:
        settings = Settings.model_validate(texts)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        raise _create_error(str(first['loc'][0]), first['input']) from error
    _check_combinations(settings)
    return settings


def _describe(name: str, field: FieldInfo) -> SettingDetails:
    extra: Any = field.json_schema_extra
    return SettingDetails(
        name=name,
        unit=extra['unit'],
        default=str(field.default),
        allowed=extra['allowed'] or _compile_range(field),
        description=str(field.description),
    )


def _compile_range(field: FieldInfo) -> str:
    minimum: Any = None
    maximum: Any = None
    for bound in field.metadata:
        if isinstance(bound, annotated_types.Ge):
            minimum = bound.ge
        if isinstance(bound, annotated_types.Le):
            maximum = bound.le
    return f'{minimum} to {maximum}'


def _create_error(name: str, rejected: object) -> SettingError:
    for details in list_settings():
        if details.name == name:
            displayed = _redact(name, rejected)
            unit = f' {details.unit}' if details.unit else ''
            return SettingError(
                f'setting {details.flag} ({details.environment_name}) '
                f'has value {displayed}; allowed: {details.allowed}{unit}'
            )
    return SettingError(f'setting {name!r} does not exist')


def _redact(name: str, rejected: object) -> str:
    if name == 'operator_token':
        return '(hidden)'
    return repr(rejected)


def _read_token(texts: Mapping[str, str]) -> str:
    path = texts['operator_token_file']
    if texts.get('operator_token'):
        raise SettingError(
            f'setting --operator-token-file has value {path!r}; allowed: '
            'empty while --operator-token is set'
        )
    try:
        return Path(path).read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise _create_error('operator_token_file', path) from error


def _check_combinations(settings: Settings) -> None:
    token = settings.operator_token.get_secret_value()
    if token and len(token) < MIN_TOKEN_LENGTH:
        raise _create_error('operator_token', token)
    _check_pair(settings, 'tls_certificate', 'tls_key')
    _check_pair(settings, 'operator_tls_certificate', 'operator_tls_key')


def _get_flag(name: str) -> str:
    return f'--{name.replace("_", "-")}'


def _check_pair(settings: Settings, certificate: str, key: str) -> None:
    chosen = getattr(settings, certificate), getattr(settings, key)
    if any(chosen) and not all(chosen):
        missing, given = (key, certificate) if chosen[0] else (certificate, key)
        raise SettingError(
            f'setting {_get_flag(missing)} is empty; allowed: path of a PEM '
            f'file, since {_get_flag(given)} is set'
        )
    for name, path in zip((certificate, key), chosen, strict=True):
        if path and not Path(path).is_file():
            raise _create_error(name, path)
