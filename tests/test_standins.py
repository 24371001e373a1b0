"""Tests of the stand-ins and of the commands that run them."""

import json
import signal
import subprocess
import sys
from typing import Any

import pytest
import trio

from clementinedyke.exceptions import AnswerLostError, PeerUnavailableError
from clementinedyke.http.client import (
    Address,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from clementinedyke.standins.engine import EngineFaults, EngineStandin
from clementinedyke.standins.relay import RelayFaults, RelayStandin
from clementinedyke.standins.service import ServiceStandin
from http_tools import HOST


async def call(
    port: int, method: str, path: str, content: Any = None
) -> HttpResponse:
    """Send one request on a new connection."""
    request = HttpRequest(method, path, (), json.dumps(content).encode())
    async with HttpClient(Address(HOST, port)) as client:
        return await client.request(request, 5000)


async def read_state(port: int, path: str = '/state') -> Any:
    """Return the JSON object at a path."""
    return json.loads((await call(port, 'GET', path)).body)


class TestEngineStandin:
    """Guards against failure tests whose engine does not fail as told."""

    async def _check_crash(self) -> None:
        faults = EngineFaults(crash_marker=b'poison', crash_downtime=0.2)
        engine = EngineStandin('m', token_interval=0.05, faults=faults)
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            boot = (await read_state(port))['boot_id']
            with pytest.raises(AnswerLostError):
                await call(port, 'POST', '/v1/chat/completions', 'poison')
            with pytest.raises(PeerUnavailableError):
                await read_state(port)
            await trio.sleep(0.5)
            assert (await read_state(port))['boot_id'] != boot
            nursery.cancel_scope.cancel()

    def test_crash(self) -> None:
        """A marked request aborts it, and it returns as a new boot."""
        trio.run(self._check_crash)

    async def _check_cancel(self) -> None:
        engine = EngineStandin('m', token_interval=1000)
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            request = HttpRequest(
                'POST',
                '/v1/chat/completions',
                [(b'Clementinedyke-Request-Id', b'one')],
                json.dumps({'stream': True, 'messages': [{}]}).encode(),
            )
            client = HttpClient(Address(HOST, port))
            async with client.open_response(request) as answer:
                await call(port, 'POST', '/streams/one/cancel')
                with pytest.raises(AnswerLostError):
                    await answer.receive_body()
            assert (await read_state(port))['cancelled'] == 1
            events = await read_state(port, '/events?since=0')
            assert [event['number'] for event in events['events']] == [1]
            assert not (await read_state(port, '/events?since=1'))['events']
            nursery.cancel_scope.cancel()

    def test_cancel(self) -> None:
        """A stream can be cancelled; its prompt is in the cache events."""
        trio.run(self._check_cancel)


class TestRelayStandin:
    """Guards against network faults that do not happen."""

    async def _check(self) -> None:
        service = ServiceStandin()
        async with trio.open_nursery() as nursery:
            target = await service.start(nursery, HOST, 0)
            relay = RelayStandin(HOST, target)
            port, control = await relay.start(nursery, HOST, 0)
            assert (await call(port, 'POST', '/')).status == 201
            relay.set_faults(RelayFaults(hold_backward=True))
            nursery.start_soon(self._expect_loss, port)
            with trio.fail_after(10):
                while service.runs < 2:
                    await trio.sleep(0.01)
            await call(control, 'POST', '/cut')
            await call(control, 'PUT', '/faults', {'refuse': True})
            await self._expect_loss(port)
            assert service.runs == 2
            nursery.cancel_scope.cancel()

    async def _expect_loss(self, port: int) -> None:
        with pytest.raises(AnswerLostError):
            await call(port, 'POST', '/')

    def test_faults(self) -> None:
        """Held answers are cut after the run; refused calls never run."""
        trio.run(self._check)


class TestCommands:
    """Guards against stand-ins that cannot be started as processes."""

    @pytest.mark.parametrize(
        'arguments',
        [
            ('engine',),
            ('service',),
            ('platform',),
            ('relay', '--target', '127.0.0.1:1'),
        ],
    )
    def test_ready_line(self, arguments: tuple[str, ...]) -> None:
        """Each prints one ready line and ends on SIGTERM with status 0."""
        command = [sys.executable, '-m', 'clementinedyke', 'standin']
        process = subprocess.Popen(
            [*command, *arguments, '--port', '0'],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdout is not None
        ready = json.loads(process.stdout.readline())
        assert ready['port'] > 0
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == 0
        process.stdout.close()
