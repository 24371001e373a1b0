"""Command-line flags and environment variables of the settings."""

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
    """Replace the first parameter of a command by one flag per setting.

    All flags are parsed as text, so that :func:`load_settings` reports every
    invalid value in the same form.

    :param command: function that takes the settings as its first parameter,
        followed by keyword parameters.
    """
    own = list(inspect.signature(command).parameters.values())
    flags = [_compile_parameter(details) for details in list_settings()]
    signature = inspect.Signature([*own[1:], *flags])

    @wraps(command)
    def wrapper(**arguments: Any) -> None:
        check_environment(os.environ)
        texts = {flag.name: arguments.pop(flag.name, None) for flag in flags}
        command(load_settings(texts), **arguments)

    # Without __wrapped__, cyclopts reads the signature of the wrapper and not
    # that of the command.
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
