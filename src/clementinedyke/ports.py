"""Error messages for ports that cannot be bound."""

from collections.abc import Iterator
from contextlib import contextmanager

from clementinedyke.exceptions import SettingError


@contextmanager
def explain_bind_failure(setting: str, port: int) -> Iterator[None]:
    """Convert a bind failure into an error that names the setting.

    :param setting: name of the setting that has the port.
    :param port: port that the setting has.
    :raises SettingError: if the port cannot be bound.
    """
    try:
        yield
    except OSError as error:
        flag = setting.replace('_', '-')
        raise SettingError(
            f'setting --{flag} has value {port!r}; allowed: a port that this '
            f'process can bind ({error.strerror})'
        ) from error
