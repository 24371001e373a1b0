"""Tests of the stand-ins and the commands that run them."""

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


async def send_request(
    port: int, method: str, path: str, content: Any = None
) -> HttpResponse:
    """Send one request on a new connection."""
    request = HttpRequest(method, path, (), json.dumps(content).encode())
    async with HttpClient(Address(HOST, port)) as client:
        return await client.request(request, 5000)


async def fetch_json(port: int, path: str = '/state') -> Any:
    """Return the decoded JSON response for a path."""
    return json.loads((await send_request(port, 'GET', path)).body)


class TestEngineStandin:
    """Guards against failure tests that pass because no fault occurs."""

    async def _check_crash(self) -> None:
        faults = EngineFaults(crash_marker=b'poison', crash_downtime=0.2)
        engine = EngineStandin('m', token_interval=0.05, faults=faults)
        async with trio.open_nursery() as nursery:
            port = await engine.start(nursery, HOST, 0)
            boot_id = (await fetch_json(port))['boot_id']
            with pytest.raises(AnswerLostError):
                await send_request(
                    port, 'POST', '/v1/chat/completions', 'poison'
                )
            with pytest.raises(PeerUnavailableError):
                await fetch_json(port)
            await trio.sleep(0.5)
            assert (await fetch_json(port))['boot_id'] != boot_id
            nursery.cancel_scope.cancel()

    def test_crash(self) -> None:
        """A marked request crashes the engine; its boot id then changes."""
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
                await send_request(port, 'POST', '/streams/one/cancel')
                with pytest.raises(AnswerLostError):
                    await answer.receive_body()
            assert (await fetch_json(port))['cancelled'] == 1
            events = await fetch_json(port, '/events?since=0')
            assert [event['number'] for event in events['events']] == [1]
            assert not (await fetch_json(port, '/events?since=1'))['events']
            nursery.cancel_scope.cancel()

    def test_cancel(self) -> None:
        """A cancelled stream breaks off; its prompt stays in cache events."""
        trio.run(self._check_cancel)


class TestRelayStandin:
    """Guards against failure tests whose network faults have no effect."""

    async def _check_faults(self) -> None:
        service = ServiceStandin()
        async with trio.open_nursery() as nursery:
            target = await service.start(nursery, HOST, 0)
            relay = RelayStandin(HOST, target)
            port, control = await relay.start(nursery, HOST, 0)
            assert (await send_request(port, 'POST', '/')).status == 201
            relay.set_faults(RelayFaults(hold_backward=True))
            nursery.start_soon(self._expect_lost_answer, port)
            with trio.fail_after(10):
                while service.runs < 2:
                    await trio.sleep(0.01)
            await send_request(control, 'POST', '/cut')
            await send_request(control, 'PUT', '/faults', {'refuse': True})
            await self._expect_lost_answer(port)
            assert service.runs == 2
            nursery.cancel_scope.cancel()

    async def _expect_lost_answer(self, port: int) -> None:
        with pytest.raises(AnswerLostError):
            await send_request(port, 'POST', '/')

    def test_faults(self) -> None:
        """A held response is lost after its run; a refused call is not run."""
        trio.run(self._check_faults)


class TestCommands:
    """Guards against a stand-in that cannot be started as a process."""

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
        """Each prints a line with its port and exits with 0 on SIGTERM."""
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
