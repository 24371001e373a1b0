"""Commands that run each stand-in as a separate process."""

import json
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import cyclopts
import msgspec
import trio

from clementinedyke.http.client import Address
from clementinedyke.standins.engine import (
    EngineCapacity,
    EngineFaults,
    EngineStandin,
)
from clementinedyke.standins.platform import PlatformStandin, TransactionBody
from clementinedyke.standins.relay import RelayStandin
from clementinedyke.standins.service import ServiceStandin

app = cyclopts.App(
    name='standin', help='Run a stand-in for an external system on loopback.'
)

_HOST = '127.0.0.1'
_Start = Callable[[trio.Nursery], Awaitable[dict[str, Any]]]


@app.command
def engine(  # noqa: WPS211 -- each argument is a flag
    *,
    port: int = 0,
    model: str = 'demo-model',
    checks_fence: bool = True,
    token_interval: float = 0,
    crash_marker: str = '',
    crash_downtime: float = 1,
    max_streams: int = 100000,
    capacity: EngineCapacity | None = None,
) -> None:
    """Run a model engine.

    :param port: TCP port, 0 for a free one.
    :param model: model name in responses.
    :param checks_fence: whether to refuse orders with an outdated fence.
    :param token_interval: seconds between two tokens of a response.
    :param crash_marker: a request body with this text crashes the engine.
    :param crash_downtime: seconds until a crashed engine restarts.
    :param max_streams: maximum number of concurrent requests.
    :param capacity: reported capacity and handling of priorities.
    """
    faults = EngineFaults(crash_marker.encode(), crash_downtime, max_streams)
    standin = EngineStandin(
        model,
        checks_fence=checks_fence,
        token_interval=token_interval,
        faults=faults,
        capacity=capacity,
    )

    async def start(nursery: trio.Nursery) -> dict[str, Any]:  # noqa: WPS430
        return {'port': await standin.start(nursery, _HOST, port)}

    trio.run(_run_until_signal, start)


@app.command
def service(*, port: int = 0, delay: float = 0) -> None:
    """Run a plain service that counts the requests it runs.

    :param port: TCP port, 0 for a free one.
    :param delay: seconds between running a request and its response.
    """
    standin = ServiceStandin(delay)

    async def start(nursery: trio.Nursery) -> dict[str, Any]:  # noqa: WPS430
        return {'port': await standin.start(nursery, _HOST, port)}

    trio.run(_run_until_signal, start)


@app.command
def platform(*, port: int = 0, state: str = '') -> None:
    """Run a platform.

    :param port: TCP port, 0 for a free one.
    :param state: file with the initial state, a JSON object with the optional
        fields ``endpoints``, ``hosts`` and ``writes`` (rows to commit).
    """
    standin = PlatformStandin()
    if state:
        _load_state(standin, state)

    async def start(nursery: trio.Nursery) -> dict[str, Any]:  # noqa: WPS430
        return {'port': await standin.start(nursery, _HOST, port)}

    trio.run(_run_until_signal, start)


@app.command
def relay(*, target: str, port: int = 0) -> None:
    """Run a TCP relay that can break connections, delay or hold traffic.

    :param target: target address as IP:PORT.
    :param port: TCP port, 0 for a free one.
    """
    address = Address.parse(target)
    standin = RelayStandin(address.host, address.port)

    async def start(nursery: trio.Nursery) -> dict[str, Any]:  # noqa: WPS430
        bound, control = await standin.start(nursery, _HOST, port)
        return {'port': bound, 'control_port': control}

    trio.run(_run_until_signal, start)


def _load_state(standin: PlatformStandin, path: str) -> None:
    with open(path, 'rb') as state_file:
        state = json.load(state_file)
    standin.endpoints.extend(state.get('endpoints', []))
    standin.hosts.extend(state.get('hosts', []))
    writes = {'writes': state.get('writes', [])}
    transaction = msgspec.convert(writes, TransactionBody)
    standin.tables.commit(transaction.conditions, transaction.writes)


async def _run_until_signal(start: _Start) -> None:
    """Print one JSON line when ready; run until SIGTERM or SIGINT."""
    stop_signals = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*stop_signals) as signals:
        async with trio.open_nursery() as nursery:
            ready = await start(nursery)
            sys.stdout.write(f'{json.dumps(ready)}\n')
            sys.stdout.flush()
            await anext(signals)
            nursery.cancel_scope.cancel()
