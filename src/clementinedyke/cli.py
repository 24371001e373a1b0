"""Command line of clementinedyke."""

import os
import sys
from collections.abc import Awaitable, Callable
from importlib import metadata
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import trio

from clementinedyke.daemon import Daemon
from clementinedyke.demo import run_demo
from clementinedyke.exceptions import ClementinedykeError, SettingError
from clementinedyke.logs import set_up_logging
from clementinedyke.operators.commands import add_commands
from clementinedyke.operators.failures import CommandError, ExitStatus
from clementinedyke.operators.record_files import check_files
from clementinedyke.platform.settings_file import load_host_settings
from clementinedyke.settings.core import Settings
from clementinedyke.settings.flags import add_setting_flags
from clementinedyke.settings.loader import check_environment, load_settings
from clementinedyke.signals import compile_stop_handlers, handling_signals
from clementinedyke.standins import command as standin_command

app = cyclopts.App(
    name='clementinedyke',
    help='Serving system for a limited fleet of model engines and services.',
    version=metadata.version('clementinedyke'),
)
add_commands(app)
app.command(standin_command.app)


@app.command
def demo(
    *,
    port: Annotated[int, cyclopts.Parameter(env_var='PORT')] = 0,
    operator_token: Annotated[
        str, cyclopts.Parameter(env_var='CLEMENTINEDYKE_OPERATOR_TOKEN')
    ] = '',
) -> None:
    """Run a daemon and stand-ins of its peers in one process.

    :param port: caller port, 0 for a free one.
    :param operator_token: token of the operator port; without one it refuses
        all but metrics and health.
    """
    check_environment(os.environ)
    settings = load_settings(
        {'port': str(port), 'operator_token': operator_token}
    )
    set_up_logging(settings.log_level)
    _run(run_demo, port, operator_token)


@app.command
@add_setting_flags
def serve(settings: Settings) -> None:
    """Run an entry daemon."""
    set_up_logging(settings.log_level)
    _run(_serve, settings)


@app.command
@add_setting_flags
def check(
    settings: Settings,
    *,
    record: tuple[Path, ...] = (),
    host_settings: tuple[Path, ...] = (),
) -> None:
    """Validate settings and record files without starting anything.

    :param record: JSON file with a record or a list of records; repeatable.
    :param host_settings: settings file of the users' platform; repeatable.
    """
    Daemon(settings)
    for path in host_settings:
        load_host_settings(path)
    count = check_files(record)
    sys.stdout.write(f'settings and {count} records are valid\n')


@app.command
def version() -> None:
    """Print the version."""
    sys.stdout.write(f'{metadata.version("clementinedyke")}\n')


def _run(main_task: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    try:
        trio.run(main_task, *arguments)
    except BaseExceptionGroup as group:
        # Each nursery wraps the error of its task in another group.
        setting_error: BaseException | None = group.subgroup(SettingError)
        if setting_error is None:
            raise
        while isinstance(setting_error, BaseExceptionGroup):
            setting_error = setting_error.exceptions[0]
        raise SettingError(str(setting_error)) from group


async def _serve(settings: Settings) -> None:
    daemon = Daemon(settings)
    handlers = compile_stop_handlers(daemon.application.request_stop)
    async with handling_signals(handlers):
        await daemon.application.run()


def main() -> None:
    """Run the command line and exit with its status."""
    try:
        app(print_error=False, exit_on_error=False)
    except cyclopts.CycloptsError as error:
        _exit_with_error(str(error), ExitStatus.USAGE)
    except CommandError as error:
        _exit_with_error(str(error), error.exit_status)
    except ClementinedykeError as error:
        is_setting = isinstance(error, SettingError)
        _exit_with_error(
            str(error), ExitStatus.USAGE if is_setting else ExitStatus.REFUSED
        )


def _exit_with_error(message: str, status: ExitStatus) -> None:
    line = ' '.join(message.split())
    sys.stderr.write(f'clementinedyke: {line}\n')
    sys.exit(status)
