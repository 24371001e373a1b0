"""Tests of callers who leave while an endpoint answers."""

import socket

import pytest
import trio
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.platform_standin import (
    EndpointStandin,
    delay_stream,
    send_document,
)

from clementinedyke.http.message import ResponseWriter, ServerRequest

_REQUESTS = 20
_WARM_UPS = 4
_SETTLING_SECONDS = 0.02


class LeavingCaller:
    """Caller whose close arrives together with an endpoint's answer.

    A daemon that stood still for a while finds both waiting.
    """

    def __init__(self, port: int, path: str) -> None:
        """Connect to a daemon."""
        self._socket = socket.create_connection(('127.0.0.1', port))
        self._path = path

    def send(self, request_id: str) -> None:
        """Send a request."""
        head = (
            f'POST {self._path} HTTP/1.1\r\nHost: desk.example\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2500\r\n'
            f'X-Key: key-1\r\nX-Token-Count: 1200,20\r\n'
            f'X-Prefix-Hash: rules:1000,{request_id}:200\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        self._socket.sendall(head.encode())

    async def answer_and_leave(
        self,
        endpoint: EndpointStandin,
        request: ServerRequest,
        response: ResponseWriter,
    ) -> bool:
        """Close the connection, then answer a prefill or reject the rest."""
        self._socket.close()
        if endpoint.stage is not None:
            return False
        echo = (b'X-Request-Id', request.get_header(b'x-request-id').encode())
        await send_document(response, 503, {}, echo, (b'X-Not-Executed', b'1'))
        return True


class TestCallerLeaves:
    """Guards against work for callers who have left."""

    @pytest.mark.parametrize('route', ['read', 'book', 'ask', 'resumable'])
    def test_next_send(self, route: str) -> None:
        """A request is not sent on if the close of its caller has arrived.

        A daemon that stood still for 3 s sent requests to decode engines
        before it read that their callers had left.
        """
        sent: list[str] = []

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            for number in range(_REQUESTS):
                sent.extend(await abandon_request(env, route, number))

        ScenarioRunner().run(scenario)
        assert not sent


async def abandon_request(
    env: EntryEnvironment, route: str, number: int
) -> list[str]:
    """Leave while the first endpoint answers; return the ids at others."""
    await open_connections(env, route)
    caller = LeavingCaller(env.daemons[0].caller_port, f'/{route}/1')
    for name in ('reader', 'ledger-1', 'ledger-2'):
        env.endpoints[name].override = caller.answer_and_leave
    caller.send(f'left-{number}')
    await env.wait_for(lambda: list_received(env))
    await trio.sleep(_SETTLING_SECONDS)
    # The first endpoint got the request before its caller left.
    return list_received(env)[1:]


async def open_connections(env: EntryEnvironment, route: str) -> None:
    """Let the daemon open connections to all endpoints, and forget them.

    A daemon that connects first notices meanwhile that the caller has left.
    """
    for endpoint in env.endpoints.values():
        endpoint.override = delay_stream
    async with trio.open_nursery() as nursery:
        for number in range(_WARM_UPS):
            nursery.start_soon(env.send_request, f'/{route}/1', f'w-{number}')
    for used in env.endpoints.values():
        used.override = None
        used.received.clear()


def list_received(env: EntryEnvironment) -> list[str]:
    """Return the ids of the requests that endpoints received."""
    return [
        request.get_header(b'x-request-id')
        for endpoint in env.endpoints.values()
        for request in endpoint.received
    ]
