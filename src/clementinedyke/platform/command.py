"""Command that runs the entry daemon with the platform's settings file."""

import os
import signal
import sys
from functools import partial
from pathlib import Path

import trio

from clementinedyke.entry.application import EntryApplication
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.exceptions import SettingError
from clementinedyke.logs import set_up_logging
from clementinedyke.platform.parts import create_parts
from clementinedyke.platform.settings_file import (
    METRICS_VARIABLE,
    PATH_VARIABLE,
    load_host_settings,
)
from clementinedyke.signals import (
    SignalHandlers,
    block_signals,
    handling_signals,
    is_stop_pending,
)

_EXIT_USAGE = 2
_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


def main() -> None:
    """Run the daemon until SIGTERM; exit with status 2 on invalid settings.

    SIGHUP reads the settings file again. Further signals have no effect while
    the daemon drains. A daemon that is stopped before it has read its settings
    opens no port.
    """
    block_signals(_SIGNALS)
    set_up_logging('warning')
    try:
        settings = _load_settings()
    except SettingError as error:
        sys.stderr.write(f'clementinedyke: {error}\n')
        sys.exit(_EXIT_USAGE)
    if not is_stop_pending():
        trio.run(_serve, settings)


async def _serve(settings: HostSettings) -> None:
    daemon = EntryApplication(settings, create_parts(settings))
    handlers: SignalHandlers = {
        signal.SIGTERM: daemon.application.request_stop,
        signal.SIGHUP: partial(_reload_settings, daemon),
    }
    async with handling_signals(handlers):
        await daemon.application.run()


def _load_settings() -> HostSettings:
    return load_host_settings(
        Path(os.environ.get(PATH_VARIABLE, '')),
        os.environ.get(METRICS_VARIABLE, ''),
    )


def _reload_settings(daemon: EntryApplication) -> None:
    try:
        daemon.log_settings_reload(_load_settings(), '')
    except SettingError as error:
        daemon.log_settings_reload(None, str(error))
