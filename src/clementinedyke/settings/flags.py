"""Flags and environment variables of the settings on the command line."""

import inspect
import os
from collections.abc import Callable
from functools import wraps
from typing import Annotated, Any

import cyclopts

from clementinedyke.settings.loader import (
    SettingDetails,
    check_environment,
    list_settings,
    load_settings,
)


def add_setting_flags(command: Callable[..., None]) -> Callable[..., None]:
    """Give a command a flag per setting in place of its first parameter.

    All flags are taken as text, so that every wrong value is refused in the
    same way by :func:`load_settings`.

    :param command: takes the settings, then its own keyword parameters.
    """
    own = list(inspect.signature(command).parameters.values())
    flags = [_compile_parameter(details) for details in list_settings()]
    signature = inspect.Signature([*own[1:], *flags])

    @wraps(command)
    def wrapper(**arguments: Any) -> None:
        check_environment(os.environ)
        texts = {flag.name: arguments.pop(flag.name, None) for flag in flags}
        command(load_settings(texts), **arguments)

    # Without __wrapped__, the command line takes the signature from here.
    del wrapper.__wrapped__
    wrapper.__signature__ = signature  # type: ignore[attr-defined]
    wrapper.__annotations__ = {
        name: parameter.annotation
        for name, parameter in signature.parameters.items()
    }
    return wrapper


def _compile_parameter(details: SettingDetails) -> inspect.Parameter:
    flag = cyclopts.Parameter(
        name=details.flag,
        env_var=details.environment_name,
        help=details.help,
        show_default=False,
    )
    return inspect.Parameter(
        details.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, flag],
    )
