"""Command line of clementinedyke."""

from typing import Annotated

import cyclopts
import trio
from absl import logging

from clementinedyke.daemon import Daemon
from clementinedyke.demo import run_demo, run_until_signal
from clementinedyke.settings import Settings
from clementinedyke.standins import command as standin_command

app = cyclopts.App(
    name='clementinedyke',
    help='Serving system for a limited fleet of model engines and services.',
)
app.command(standin_command.app)


@app.command
def demo(
    *,
    port: Annotated[int, cyclopts.Parameter(env_var='PORT')] = 0,
) -> None:
    """Run a daemon and stand-ins of its peers in one process.

    :param port: caller port, 0 for a free one.
    """
    trio.run(run_demo, port)


@app.command
def serve(
    *,
    host: str = '127.0.0.1',
    port: int = 8080,
    platform: str = '127.0.0.1:8090',
) -> None:
    """Run an entry daemon.

    :param host: IP number to bind.
    :param port: caller port, 0 for a free one.
    :param platform: address of the platform as IP:PORT.
    """
    settings = Settings(host=host, port=port, platform=platform)
    trio.run(_serve, settings)


async def _serve(settings: Settings) -> None:
    daemon = Daemon(settings)
    async with trio.open_nursery() as nursery:
        await nursery.start(daemon.application.run)
        await run_until_signal(daemon.application)


def main() -> None:
    """Run the command line."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    app()
