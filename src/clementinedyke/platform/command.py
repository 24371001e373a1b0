"""Command that runs the entry daemon with the platform's settings file."""

import os
import signal
import sys
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

_EXIT_USAGE = 2


def main() -> None:
    """Run the daemon until SIGTERM; exit with status 2 on invalid settings.

    SIGHUP reads the settings file again.
    """
    set_up_logging('warning')
    try:
        settings = _load_settings()
    except SettingError as error:
        sys.stderr.write(f'clementinedyke: {error}\n')
        sys.exit(_EXIT_USAGE)
    trio.run(_serve, settings)


async def _serve(settings: HostSettings) -> None:
    daemon = EntryApplication(settings, create_parts(settings))
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP
        ) as signals:
            nursery.start_soon(daemon.application.run)
            async for received in signals:
                if received == signal.SIGTERM:
                    break
                _reload_settings(daemon)
            daemon.application.request_stop()


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
