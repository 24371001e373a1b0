"""Runs the daemon of ``serve`` and prints when it has applied changes."""

import json
import sys
import time
from typing import Any

import trio

from clementinedyke.configuration.events import RecordsChanged
from clementinedyke.daemon import Daemon
from clementinedyke.settings.core import Settings
from clementinedyke.signals import compile_stop_handlers, handling_signals


class ChangeTimer:
    """Prints the processor time of each record change and when it ended."""

    def __init__(self, daemon: Daemon) -> None:
        """Register before the first and after the last observer of a daemon."""
        self._started_at = time.process_time()
        daemon.control.observers.insert(0, self._begin)
        daemon.control.observers.append(self._end)

    def _begin(self, change: Any) -> None:
        self._started_at = time.process_time()

    def _end(self, change: Any) -> None:
        if isinstance(change, RecordsChanged):
            spent = time.process_time() - self._started_at
            line = {
                'version': change.version,
                'instant': time.monotonic(),
                'spent': spent,
            }
            print(json.dumps(line), flush=True)


async def _run(platform: str) -> None:
    daemon = Daemon(
        Settings(
            port=0,
            operator_port=0,
            daemon_port=0,
            platform=platform,
            availability_zone='zone-0',
        )
    )
    ChangeTimer(daemon)
    handlers = compile_stop_handlers(daemon.application.request_stop)
    async with handling_signals(handlers):
        await daemon.application.run()


if __name__ == '__main__':
    trio.run(_run, sys.argv[1])
