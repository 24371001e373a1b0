"""Tests of a daemon that finds a request and datagrams waiting."""

import json
import socket
from base64 import b64decode

import msgspec
import pytest
import trio
from tests.entry_environment import EntryEnvironment, ScenarioRunner

from clementinedyke.entry.news import PeerUpdate
from clementinedyke.platform.endpoint_document import decode_endpoint

#: Updates that wait; the receiver lets other tasks run between each 16 of them.
_UPDATES = 200
_HOST = '127.0.0.1'


def read_content(env: EntryEnvironment, table: str, key: str) -> bytes:
    """Return the content of a row in the store."""
    return b64decode(env.store.rows[table, key]['value'])


def list_runs(env: EntryEnvironment) -> list[str]:
    """Return the runs of the plain services."""
    names = ('ledger-1', 'ledger-2')
    return [
        decode_endpoint(name, read_content(env, 'servers', name))
        .unwrap()
        .run_id
        for name in names
    ]


def compile_update(sequence: int, departures: list[str]) -> bytes:
    """Return an update that tells of endpoints which leave."""
    return msgspec.msgpack.encode(
        PeerUpdate(
            host='host-9',
            run_id='run-9',
            sequence=sequence,
            version=0,
            configuration_age=-1,
            endpoints_revision=0,
            interval=1000,
            work={},
            read_parts={},
            departures=[(run_id, 0) for run_id in departures],
        )
    )


def send_all_at_once(env: EntryEnvironment, path: str) -> socket.socket:
    """Send the updates, then a request, before the daemon runs again.

    Only the last update tells that the plain services leave.
    """
    row = json.loads(read_content(env, 'daemons', 'host-1'))
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for sequence in range(1, _UPDATES + 1):
            runs = list_runs(env) if sequence == _UPDATES else []
            sender.sendto(
                compile_update(sequence, runs), (row['ip'], row['port'])
            )
    caller = socket.create_connection((_HOST, env.daemons[0].caller_port))
    caller.sendall(
        b'POST %b HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: waiting\r\n'
        b'X-Deadline-Ms: 2000\r\nX-Key: key-1\r\nContent-Length: 0\r\n\r\n'
        % path.encode()
    )
    return caller


class TestWaitingMessages:
    """Guards against a request that runs on what was known before a pause.

    After SIGCONT a daemon read a waiting request before the datagrams that had
    come earlier, and sent a request that ends endpoints to one more of them.
    """

    @pytest.mark.parametrize('path', ['/read/1', '/book/1'])
    def test_request_after_datagrams(self, path: str) -> None:
        """A request does not go where earlier datagrams forbid it."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.open()
            caller = send_all_at_once(env, path)
            caller.setblocking(False)
            with trio.socket.from_stdlib_socket(caller) as stream:
                answer = await stream.recv(4096)
            assert answer.startswith(b'HTTP/1.1 503')
            assert not any(item.runs for item in env.endpoints.values())

        ScenarioRunner().run(scenario)
