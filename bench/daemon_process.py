"""Runs the daemon and prints the port bound for callers as a JSON line."""

import cProfile
import json
import os
import sys

import trio

from clementinedyke.clock import MonotonicClock
from clementinedyke.daemon import Daemon
from clementinedyke.settings.core import Settings
from clementinedyke.signals import compile_stop_handlers, handling_signals

#: File to which the daemon writes its cProfile data when it stops.
_PROFILE = os.environ.get('BENCH_PROFILE')
_POLL_SECONDS = 0.05
#: More than the default of 32 per engine, less than the engines report.
_EXPECTED_STREAMS = 2000


async def _run(platform: str) -> None:
    daemon = Daemon(
        Settings(port=0, operator_port=0, daemon_port=0, platform=platform)
    )
    handlers = compile_stop_handlers(daemon.application.request_stop)
    async with handling_signals(handlers), trio.open_nursery() as nursery:
        await nursery.start(daemon.application.run)
        await _wait_for_capacity(daemon)
        ready = {'port': daemon.caller_port.bound_port}
        sys.stdout.write(f'{json.dumps(ready)}\n')
        sys.stdout.flush()


async def _wait_for_capacity(daemon: Daemon) -> None:
    """Wait until the engines have reported their capacity."""
    await daemon.wait_until_ready()
    router = daemon.requests.routing.router
    clock = MonotonicClock()
    while (
        router.get_free_capacity('bench', clock.get_now()).streams
        < _EXPECTED_STREAMS
    ):
        await trio.sleep(_POLL_SECONDS)


def _main() -> None:
    if _PROFILE is None:
        trio.run(_run, sys.argv[1])
        return
    profile = cProfile.Profile()
    profile.runcall(trio.run, _run, sys.argv[1])
    profile.dump_stats(_PROFILE)


if __name__ == '__main__':
    _main()
