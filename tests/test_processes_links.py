"""Separate daemons whose links to the endpoints are cut, with other faults."""

import base64
import json
import signal
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EndpointLinks,
    EntryEnvironment,
)
from tests.entry_processes import OK, DaemonProcess, killing, run_scenario
from tests.platform_standin import (
    EndpointStandin,
    StoreStandin,
    delay_stream,
    serve,
)

from clementinedyke.codes import ExecutionState, ResultCode, get_details
from clementinedyke.exceptions import ClementinedykeError
from clementinedyke.http.message import ResponseWriter, ServerRequest

_DAEMONS = 4
_ROUTES = ('read', 'book', 'ask', 'resumable')
_CONTACT_SECONDS = 3
_MIN_SHARE = 2 / 3
_ROUNDS = 40
_GAP_SECONDS = 0.1


class LinkedStore:
    """Store that shows a daemon the endpoints at the addresses of its links."""

    def __init__(self, store: StoreStandin, links: EndpointLinks) -> None:
        """Create a store for one daemon."""
        self._store = store
        self._links = links

    async def respond(
        self, request: ServerRequest, response: ResponseWriter
    ) -> None:
        """Answer a call with changed addresses."""
        await self._store.respond(request, _Rewriter(response, self._links))


class _Rewriter:
    """Response writer that replaces the addresses in rows of endpoints."""

    def __init__(self, response: ResponseWriter, links: EndpointLinks) -> None:
        self._response = response
        self._links = links

    async def send_json(
        self, status: int, document: dict, headers: list
    ) -> None:
        rows = [self._change(row) for row in document.get('rows', ())]
        changed = {**document, 'rows': rows} if rows else document
        await self._response.send_json(status, changed, headers)

    def _change(self, row: dict) -> dict:
        port = self._links.get_port(row['key'])
        if row['table'] != 'servers' or port is None or 'value' not in row:
            return row
        entry = json.loads(base64.b64decode(row['value']))
        entry['address'] = f'127.0.0.1:{port}'
        text = base64.b64encode(json.dumps(entry).encode()).decode()
        return {**row, 'value': text}


class LinkedDaemons:
    """Daemons in processes of their own, each with links of its own."""

    def __init__(self, env: EntryEnvironment, folder: Path) -> None:
        """Create an instance without daemons."""
        self.env = env
        self.links: list[EndpointLinks] = []
        self.hosts = [
            DaemonProcess(number, folder) for number in range(_DAEMONS)
        ]
        self.codes: dict[str, int] = {}
        self._number = 0

    async def start(self) -> None:
        """Start all daemons and wait until they know one another."""
        for endpoint in (
            EndpointStandin('writer-2', 'decode'),
            EndpointStandin('reader-2', 'prefill'),
            EndpointStandin('ledger-3'),
        ):
            await self.env.add_endpoint(endpoint)
        for host in self.hosts:
            links = await self.env.open_links()
            self.links.append(links)
            store = LinkedStore(self.env.store, links)
            port = await serve(self.env.nursery, store.respond)
            host.start(self.env, store_port=port)
        for started in self.hosts:
            await started.wait_until_served()
        await trio.sleep(1)
        for used in self.env.endpoints.values():
            used.runs.clear()
            used.override = delay_stream

    async def send_often(self, number: int, rounds: int) -> Counter:
        """Send requests on all routes, return the number of each code."""
        counted: Counter = Counter()
        async with trio.open_nursery() as nursery:
            for _ in range(rounds):
                for route in _ROUTES:
                    nursery.start_soon(self._send, number, route, counted)
                await trio.sleep(_GAP_SECONDS)
        return counted

    def check_runs(self) -> None:
        """Check that bookings ran at most once and refusals are true."""
        runs = Counter(
            request_id
            for endpoint in self.env.endpoints.values()
            for request_id in endpoint.runs
        )
        for request_id, code in self.codes.items():
            execution = get_details(ResultCode(code)).execution
            if execution is ExecutionState.NOT_RUN:
                assert not runs[request_id], (request_id, code)
            if request_id.startswith(('book', 'ask')):
                assert runs[request_id] <= 1, (request_id, code)

    async def _send(self, number: int, route: str, counted: Counter) -> None:
        self._number += 1
        request_id = f'{route}-{self._number}'
        try:
            code = await self.hosts[number].send(
                request_id, request_id.encode(), f'/{route}/1'
            )
        except ClementinedykeError:
            counted['failed'] += 1
            return
        self.codes[request_id] = code
        counted[code] += 1


class TestFaultsOnTop:
    """Guards against relays that break promises when other faults occur."""

    @pytest.mark.parametrize('mode', ['hang', 'reset', 'refuse'])
    def test_frozen_killed_and_drained(self, tmp_path: Path, mode: str) -> None:
        """A relay is frozen, another killed, an endpoint drained meanwhile.

        Host 0 has no links to the endpoints. Host 1 is stopped for 2 s and host
        2 killed, and a new configuration comes into force.
        """
        drained: list[bytes | None] = []

        async def scenario(env: EntryEnvironment) -> None:
            daemons = LinkedDaemons(env, tmp_path)
            with killing(daemons.hosts):
                await daemons.start()
                daemons.links[0].cut(mode)
                await trio.sleep(_CONTACT_SECONDS)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(disturb, daemons)
                    served = await daemons.send_often(0, _ROUNDS)
                await trio.sleep(2)
                used = env.endpoints['ledger-1']
                drained.extend(
                    request.get_header(b'x-request-id')
                    for request in used.received
                )
                total = sum(served.values())
                assert served[OK] >= _MIN_SHARE * total, served
                daemons.check_runs()

        trio.run(run_scenario, scenario)
        assert not drained

    def test_healed(self, tmp_path: Path) -> None:
        """All requests are served after the links are back."""

        async def scenario(env: EntryEnvironment) -> None:
            daemons = LinkedDaemons(env, tmp_path)
            with killing(daemons.hosts):
                await daemons.start()
                daemons.links[0].cut('reset')
                await daemons.send_often(0, _ROUNDS)
                daemons.links[0].heal()
                await trio.sleep(1)
                served = await daemons.send_often(0, 10)
                assert served == {OK: 10 * len(_ROUTES)}
                daemons.check_runs()

        trio.run(run_scenario, scenario)


async def disturb(daemons: LinkedDaemons) -> None:
    """Freeze a daemon, drain an endpoint, kill a daemon, change a version."""
    env = daemons.env
    with frozen(daemons.hosts[1]):
        env.register(env.endpoints['ledger-1'], state='draining')
        await trio.sleep(1)
        daemons.hosts[2].kill()
        env.store.put('op', 'config', {**CONFIGURATION, 'version': 2})
        await trio.sleep(1)
    # The bound of a drain has passed, also for the daemon that was frozen.
    await trio.sleep(0.5)
    env.endpoints['ledger-1'].received.clear()


@contextmanager
def frozen(host: DaemonProcess) -> Iterator[None]:
    """Stop a daemon for the time of the context."""
    host.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        host.send_signal(signal.SIGCONT)
