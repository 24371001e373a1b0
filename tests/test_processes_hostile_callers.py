"""Tests of callers that exceed the limits, against real processes."""

from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

import pytest
import trio
from tests.entry_environment import CONFIGURATION, EntryEnvironment
from tests.entry_processes import OK, DaemonProcess, killing, run_scenario
from tests.hostile_callers import (
    Crowd,
    announce_far_over,
    count_descriptors,
    read_peak_memory,
    send_extended_chunks,
    send_extension,
    send_far_over,
    send_large_chunks,
    send_long_head,
    send_pieces,
    send_requests,
    send_slowly,
    send_small_chunks,
    send_trailers,
    send_whole,
)
from tests.process_tools import DaemonProcess as ServeProcess
from tests.process_tools import Fleet, compile_engine, run_fleet

from clementinedyke.exceptions import ClementinedykeError
from clementinedyke.http.client import Address, HttpClient, HttpRequest

#: Memory of the host, which the settings state and no process may exceed.
_MEMORY_MB = 128
#: Descriptors of the host; a daemon accepts 600 less from callers.
_DESCRIPTORS = 800
_MAX_BODY_BYTES = 1048576
#: All bodies together are larger than what the host has left.
_CALLERS = 128
#: More than the connections that a daemon of these settings accepts.
_CONNECTIONS = 260
_PEER_PORT = 7780
_CALLER_PORT = 8368
_READY_PORT = 8369
#: Address of callers other than the ordinary one.
_OTHER_SOURCE = '127.0.0.9'
_ANSWER_TIMEOUT = 3000
#: Time in which a scenario with ``serve`` ends unless it hangs.
_SERVE_SECONDS = 60

_BODIES = {
    'whole': send_whole,
    'pieces': send_pieces,
    'large chunks': send_large_chunks,
    'small chunks': send_small_chunks,
    'extended chunks': send_extended_chunks,
    'far over, announced': announce_far_over,
    'far over, sent': send_far_over,
    'trailers': send_trailers,
    'extension': send_extension,
    'head': send_long_head,
    'requests in a row': send_requests,
}
_PORTS = {
    'peers': _PEER_PORT,
    'readiness': _READY_PORT,
}
_PORT_BODIES = {
    'whole': send_whole,
    'large chunks': send_large_chunks,
    'small chunks': send_small_chunks,
}


class SmallDaemon(DaemonProcess):
    """A daemon of a host with little memory."""

    @property
    def process_id(self) -> int:
        """Process id of the daemon."""
        assert self._process is not None
        return self._process.pid

    def write_settings(self, text: str) -> None:
        """Write settings with lowered limits."""
        limits = f'memory_mb = {_MEMORY_MB}\nmax_fds = {_DESCRIPTORS}\n'
        lines = [
            line
            for line in text.splitlines()
            if not line.startswith(('memory_mb', 'max_fds'))
        ]
        changed = '\n'.join(lines).replace('[limits]\n', f'[limits]\n{limits}')
        super().write_settings(changed)

    def check(self) -> None:
        """Check that the daemon lives within its limits."""
        assert self.get_exit_status() is None
        assert read_peak_memory(self.process_id) <= _MEMORY_MB
        assert count_descriptors(self.process_id) <= _DESCRIPTORS


async def wait_for_answer(host: DaemonProcess) -> None:
    """Send an ordinary request until it is answered with success."""
    code: int | None = None
    while code != OK:
        try:
            code = await host.send('ordinary', b'harmless')
        except ClementinedykeError:
            await trio.sleep(0.05)


def run_daemon(
    folder: Path,
    scenario: Callable[[SmallDaemon, trio.Nursery], Awaitable[None]],
) -> None:
    """Run a scenario against a daemon, then check that it still serves."""
    host = SmallDaemon(0, folder)

    async def main(env: EntryEnvironment) -> None:
        limits = {**CONFIGURATION['limits'], 'max_body_bytes': _MAX_BODY_BYTES}
        env.store.put('op', 'config', {**CONFIGURATION, 'limits': limits})
        host.start(env)
        await host.wait_until_served()
        async with trio.open_nursery() as nursery:
            await scenario(host, nursery)
            await wait_for_answer(host)
            nursery.cancel_scope.cancel()
        await wait_for_answer(host)
        host.check()

    with killing([host]):
        trio.run(run_scenario, main)


class TestCallerPort:
    """Guards against callers whose bodies exhaust memory or processor time.

    Each body had a bound and all of them together had none; each small chunk
    cost a pass of the parser, and no other task ran meanwhile.
    """

    @pytest.mark.parametrize('case', _BODIES)
    def test_unfinished_requests(self, case: str, tmp_path: Path) -> None:
        """Many requests that never end leave an ordinary one its answer."""

        async def scenario(host: SmallDaemon, nursery: trio.Nursery) -> None:
            address = (host.ip, _CALLER_PORT)
            await Crowd(address, _BODIES[case], _CALLERS).run(nursery)

        run_daemon(tmp_path, scenario)

    def test_slow_bodies(self, tmp_path: Path) -> None:
        """Bodies of one byte a second hold little."""

        async def scenario(host: SmallDaemon, nursery: trio.Nursery) -> None:
            address = (host.ip, _CALLER_PORT)
            crowd = Crowd(address, send_slowly, _CALLERS, pause=1)
            await crowd.run(nursery)

        run_daemon(tmp_path, scenario)

    def test_half_closed(self, tmp_path: Path) -> None:
        """Callers that end their sending side early are closed."""

        async def scenario(host: SmallDaemon, nursery: trio.Nursery) -> None:
            crowd = Crowd(
                (host.ip, _CALLER_PORT),
                send_whole,
                _CALLERS,
                is_half_closed=True,
            )
            await crowd.run(nursery)

        run_daemon(tmp_path, scenario)

    @pytest.mark.parametrize('case', ['head', 'whole'])
    def test_all_connections_taken(self, case: str, tmp_path: Path) -> None:
        """One address can't take all connections for itself."""

        async def scenario(host: SmallDaemon, nursery: trio.Nursery) -> None:
            crowd = Crowd(
                (host.ip, _CALLER_PORT),
                _BODIES[case],
                _CONNECTIONS,
                source=_OTHER_SOURCE,
            )
            await crowd.run(nursery)

        run_daemon(tmp_path, scenario)

    def test_single_large_body(self, tmp_path: Path) -> None:
        """The largest legal body is served, in any framing."""

        async def scenario(host: SmallDaemon, nursery: trio.Nursery) -> None:
            body = b'x' * _MAX_BODY_BYTES
            assert await host.send('large', body) == OK
            small = b'%b0\r\n\r\n' % (b'2\r\nxx\r\n' * (_MAX_BODY_BYTES // 2))
            answer = await send_chunked(host, small)
            assert answer.startswith(b'HTTP/1.1 200')

        run_daemon(tmp_path, scenario)


async def send_chunked(host: SmallDaemon, chunks: bytes) -> bytes:
    """Send a request with a chunked body and return its answer."""
    head = (
        b'POST /read/1 HTTP/1.1\r\nHost: desk.example\r\n'
        b'X-Request-Id: chunked\r\nX-Key: key-1\r\n'
        b'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    stream = await trio.open_tcp_stream(host.ip, _CALLER_PORT)
    async with stream:
        await stream.send_all(head + chunks)
        return b''.join([bytes(part) async for part in stream])


class TestOtherPorts:
    """Guards against the same on ports that no caller should use."""

    @pytest.mark.parametrize('port', _PORTS)
    @pytest.mark.parametrize('case', _PORT_BODIES)
    def test_unfinished_requests(
        self, case: str, port: str, tmp_path: Path
    ) -> None:
        """The port goes on answering, and so do the others."""

        async def scenario(host: SmallDaemon, nursery: trio.Nursery) -> None:
            address = (host.ip, _PORTS[port])
            crowd = Crowd(address, _PORT_BODIES[case], _CALLERS)
            await crowd.run(nursery)
            await wait_until_ready(host)

        run_daemon(tmp_path, scenario)


async def wait_until_ready(host: SmallDaemon) -> None:
    """Probe the readiness of a daemon until it answers."""
    status = 0
    while status != 200:
        try:
            async with HttpClient(Address(host.ip, _READY_PORT)) as client:
                request = HttpRequest('GET', '/')
                answer = await client.request(request, _ANSWER_TIMEOUT)
        except ClementinedykeError:
            await trio.sleep(0.05)
        else:
            status = answer.status


@pytest.fixture(scope='class')
def fleet() -> Iterator[Fleet]:
    """Run a platform, an engine and a plain service."""
    with run_fleet(compile_engine(), ('service',)) as started:
        engine, ledger = started.standins
        started.add_endpoints('chat', engine)
        started.add_endpoints('ledger', ledger)
        yield started


class TestServe:
    """Guards against the same in ``clementinedyke serve``."""

    @pytest.mark.parametrize('case', _BODIES)
    def test_unfinished_requests(self, case: str, fleet: Fleet) -> None:
        """Many requests that never end leave an ordinary one its answer."""
        check_serve(fleet, _BODIES[case], 'caller')

    @pytest.mark.parametrize('case', _PORT_BODIES)
    def test_operator_port(self, case: str, fleet: Fleet) -> None:
        """The operator port holds no more than the caller port."""
        check_serve(fleet, _BODIES[case], 'operator')


def check_serve(
    fleet: Fleet, compile_pieces: Callable[[str], Iterator[bytes]], port: str
) -> None:
    """Run a crowd against ``serve`` and check that it lives and serves."""
    daemon = fleet.start_daemon(
        f'host-{len(fleet.processes)}',
        memory_mb=_MEMORY_MB,
        max_body_bytes=_MAX_BODY_BYTES,
        max_header_bytes=16384,
    )
    fleet.wait_until_ready([daemon])
    number = daemon.port if port == 'caller' else daemon.operator_port

    async def main() -> None:
        address = ('127.0.0.1', number)
        with trio.fail_after(_SERVE_SECONDS):
            async with trio.open_nursery() as nursery:
                crowd = Crowd(address, compile_pieces, _CALLERS, '/v1/x')
                await crowd.run(nursery)
                await wait_for_chat(daemon)
                nursery.cancel_scope.cancel()
            await wait_for_chat(daemon)

    try:
        trio.run(main)
        assert daemon.popen.poll() is None
        assert read_peak_memory(daemon.popen.pid) <= _MEMORY_MB
        assert count_descriptors(daemon.popen.pid) <= _DESCRIPTORS
    finally:
        daemon.kill()


async def wait_for_chat(daemon: ServeProcess) -> None:
    """Send an ordinary chat request until it is answered with success."""
    status = 0
    while status != 200:
        try:
            answer = await trio.to_thread.run_sync(
                daemon.chat, abandon_on_cancel=True
            )
        except OSError:
            await trio.sleep(0.05)
        else:
            status = answer.status
