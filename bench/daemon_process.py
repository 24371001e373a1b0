"""Runs the real daemon and prints the caller port that it bound."""

import json
import sys

import trio

from clementinedyke.daemon import Daemon
from clementinedyke.demo import run_until_signal
from clementinedyke.settings import Settings


async def _run(platform: str) -> None:
    daemon = Daemon(
        Settings(port=0, operator_port=0, daemon_port=0, platform=platform)
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(daemon.application.run)
        ready = {'port': daemon.caller_port.bound_port}
        sys.stdout.write(f'{json.dumps(ready)}\n')
        sys.stdout.flush()
        await run_until_signal(daemon.application)


if __name__ == '__main__':
    trio.run(_run, sys.argv[1])
