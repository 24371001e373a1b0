"""Runs daemons and stand-ins as processes for failure tests."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from http.client import HTTPConnection, HTTPException
from itertools import islice
from typing import Any

from clementinedyke.records.core import get_digest

LOCAL = '127.0.0.1'
TOKEN = 'operator-token-of-tests'
#: Seconds; generous, so that only a hang fails a test.
TIMEOUT = 60
_SERVER_PORTS = range(12000, 32000)
_PORT_TRIES = 100
CHAT = '/v1/chat/completions'
BOOKING = '/services/ledger/book'
REPORT = '/standin/report'


def wait_for(condition: Callable[[], Any]) -> Any:
    """Poll until a condition returns a true value and return that value."""
    deadline = time.monotonic() + TIMEOUT
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise TimeoutError('condition was not met before the deadline')


@dataclass
class Answer:
    """A complete HTTP answer with its result code."""

    status: int
    code: int
    text: str

    @property
    def body(self) -> Any:
        """JSON content of the answer."""
        return json.loads(self.text)


def send(connection: HTTPConnection, *request: Any) -> Answer:
    """Send a request given as method, path, content and headers."""
    method, path, content, headers = request
    connection.request(method, path, json.dumps(content), headers)
    response = connection.getresponse()
    text = response.read().decode()
    code = int(response.getheader('Clementinedyke-Result') or 0)
    return Answer(response.status, code, text)


def connect(port: int) -> HTTPConnection:
    """Return a connection that is opened by its first request."""
    return HTTPConnection(LOCAL, port, timeout=TIMEOUT)


def call(port: int, method: str, path: str, content: Any = None) -> Answer:
    """Send one request without a key on a new connection."""
    connection = connect(port)
    try:
        return send(connection, method, path, content, {})
    finally:
        connection.close()


@dataclass
class Process:
    """A process that a fleet started."""

    popen: subprocess.Popen[str]
    port: int
    control_port: int = 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def get_report(self) -> Any:
        """Return a stand-in's report of the requests that it received."""
        return call(self.port, 'GET', REPORT).body

    def set_faults(self, **faults: Any) -> None:
        """Replace the injected faults of a platform or a relay."""
        port = self.control_port or self.port
        assert call(port, 'PUT', '/faults', faults).status == 200

    def cut(self) -> None:
        """Close all connections of a relay and refuse new ones."""
        self.set_faults(refuse=True)
        assert call(self.control_port, 'POST', '/cut').status == 200


@dataclass
class DaemonProcess(Process):
    """A daemon process with its operator port and a caller's key."""

    operator_port: int = 0
    key: str = 'secret-of-lofts'

    def is_ready(self) -> bool:
        """Return whether the daemon reports that it is ready."""
        try:
            answer = call(self.operator_port, 'GET', '/readyz')
        except (OSError, HTTPException):
            return False
        return answer.status == 200

    def has_live_endpoints(self, count: int) -> bool:
        """Return whether the daemon has exactly this many live endpoints."""
        metrics = call(self.operator_port, 'GET', '/metrics').text
        line = f'clementinedyke_live_endpoints {count}.0'
        return line in metrics.splitlines()

    def send_request(self, path: str, content: Any, **headers: str) -> Answer:
        """Send a caller's request on a new connection."""
        return self.send_request_on(
            connect(self.port), path, content, **headers
        )

    def send_request_on(
        self,
        connection: HTTPConnection,
        path: str,
        content: Any,
        **headers: str,
    ) -> Answer:
        """Send a caller's request on an existing connection."""
        sent_headers = {'Authorization': f'Bearer {self.key}', **headers}
        return send(connection, 'POST', path, content, sent_headers)

    def book(self, name: str) -> Answer:
        """Send a booking with its name as Idempotency-Key."""
        headers = {'Idempotency-Key': name}
        return self.send_request(BOOKING, {'slot': name}, **headers)

    def chat(self, text: str = 'hello', **fields: Any) -> Answer:
        """Send a chat request."""
        return self.send_request(CHAT, compile_chat(text, **fields))

    def open_stream(self, text: str, count: int) -> Any:
        """Start a stream and return its response after the headers."""
        connection = connect(self.port)
        content = compile_chat(text, stream=True, max_tokens=count)
        headers = {'Authorization': f'Bearer {self.key}'}
        connection.request('POST', CHAT, json.dumps(content), headers)
        return connection.getresponse()

    def send_operator_request(
        self, method: str, path: str, content: Any = None
    ) -> Answer:
        """Send an authorized request to the operator port."""
        headers = {
            'Authorization': f'Bearer {TOKEN}',
            'Clementinedyke-Operator': 'tests',
        }
        connection = connect(self.operator_port)
        return send(connection, method, path, content, headers)


def compile_chat(text: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat request."""
    message = {'role': 'user', 'content': text}
    return {'model': 'm', 'messages': [message], 'echo': True, **fields}


def compile_records() -> list[dict[str, Any]]:
    """Return the records of three services, a customer and its key."""
    services = ('chat', 'ledger')
    return [
        {
            'kind': 'service',
            'name': 'chat',
            'backend': 'model',
            'models': ['m'],
        },
        {
            'kind': 'service',
            'name': 'open',
            'backend': 'plain',
            'open_to_all': True,
        },
        {
            'kind': 'service',
            'name': 'ledger',
            'backend': 'plain',
            'repeatable': False,
        },
        {'kind': 'customer', 'name': 'lofts', 'services': services},
        {
            'kind': 'key',
            'name': 'key',
            'customer': 'lofts',
            'digest': get_digest('secret-of-lofts'),
        },
    ]


@dataclass
class Fleet:
    """Processes of one test class; each is ended by its process id."""

    processes: list[Process] = field(default_factory=list)
    endpoints: list[dict[str, str]] = field(default_factory=list)
    #: Stand-ins other than the platform, in the order of their commands.
    standins: list[Process] = field(default_factory=list)
    platform: Process = field(init=False)

    def start_standins(self, *commands: Sequence[Any]) -> list[Process]:
        """Start stand-ins concurrently."""
        with ThreadPoolExecutor() as pool:
            return list(
                pool.map(lambda command: self.start_standin(*command), commands)
            )

    def set_standins(self, platform: Process, *others: Process) -> None:
        """Use stand-ins that were started, and write the records."""
        self.platform = platform
        self.standins = list(others)
        self.write_records()

    def write_records(self) -> None:
        """Write the records that all tests use."""
        writes = [
            {
                'table': 'records',
                'key': f'{record["kind"]}/{record["name"]}',
                'value': record,
            }
            for record in compile_records()
        ]
        commit = {'conditions': [], 'writes': writes}
        port = self.platform.port
        answer = call(port, 'POST', '/v1/tables/commit', commit)
        assert answer.status == 200

    def start_standin(self, *arguments: Any) -> Process:
        """Start a stand-in and read its ports from its ready line."""
        popen = _spawn('standin', *arguments, stdout=subprocess.PIPE)
        process = Process(popen, 0)
        self.processes.append(process)
        assert popen.stdout is not None
        ready = json.loads(popen.stdout.readline())
        process.port = ready['port']
        process.control_port = ready.get('control_port', 0)
        return process

    def add_endpoints(self, service: str, *processes: Process) -> None:
        """Add endpoints of a service to the platform's list."""
        for process in processes:
            self._add_endpoint(service, process.port)
        self.write_endpoints()

    def _add_endpoint(self, service: str, port: int) -> None:
        self.endpoints.append(
            {
                'endpoint_id': f'{service}-{port}',
                'service': service,
                'availability_zone': 'zone-a',
                'address': f'{LOCAL}:{port}',
            }
        )

    def write_endpoints(self) -> None:
        """Write the current list of endpoints to the platform."""
        port = self.platform.port
        answer = call(port, 'PUT', '/lists/endpoints', self.endpoints)
        assert answer.status == 200

    def set_endpoint_state(self, port: int, state: str) -> None:
        """Change the listed state of the endpoint at a port."""
        for endpoint in self.endpoints:
            if endpoint['address'] == f'{LOCAL}:{port}':
                endpoint['state'] = state
        self.write_endpoints()

    def start_daemon(self, name: str, **settings: Any) -> DaemonProcess:
        """Start a daemon without waiting until it is ready."""
        port, operator_port, daemon_port = find_ports()
        chosen = {
            'host_id': name,
            'port': port,
            'operator_port': operator_port,
            'daemon_port': daemon_port,
            'platform': f'{LOCAL}:{self.platform.port}',
            'operator_token': TOKEN,
            'log_level': 'warning',
            **settings,
        }
        environment = {
            f'CLEMENTINEDYKE_{setting.upper()}': str(setting_value)
            for setting, setting_value in chosen.items()
        }
        popen = _spawn('serve', env={**os.environ, **environment})
        daemon = DaemonProcess(
            popen, int(chosen['port']), operator_port=operator_port
        )
        self.processes.append(daemon)
        return daemon

    def start_daemons(self, *names: str) -> list[DaemonProcess]:
        """Start daemons and wait until all can serve requests."""
        daemons = [self.start_daemon(name) for name in names]
        self.wait_until_ready(daemons)
        return daemons

    def wait_until_ready(self, daemons: Sequence[DaemonProcess]) -> None:
        """Wait until daemons are ready and know all endpoints."""
        for daemon in daemons:
            wait_for(daemon.is_ready)
            wait_for(partial(daemon.has_live_endpoints, len(self.endpoints)))

    def end_processes(self) -> None:
        """Kill all processes, including suspended ones."""
        for process in self.processes:
            process.popen.kill()
        for ended in self.processes:
            ended.popen.wait()
            if ended.popen.stdout is not None:
                ended.popen.stdout.close()


@contextmanager
def run_fleet(
    *commands: Sequence[Any], platform_port: int = 0
) -> Iterator[Fleet]:
    """Run a platform and stand-ins; at the end kill all processes."""
    fleet = Fleet()
    try:
        platform = ('platform', '--port', platform_port)
        started = fleet.start_standins(platform, *commands)
        fleet.set_standins(*started)
        yield fleet
    finally:
        fleet.end_processes()


def compile_engine(*flags: Any) -> tuple[Any, ...]:
    """Return the command of an engine stand-in for the chat service."""
    return ('engine', '--model', 'm', *flags)


def find_ports() -> list[int]:
    """Return three ports that are currently free.

    They lie below the range of ephemeral ports. A port of that range may be
    taken by an outgoing connection before the process binds it.
    """
    candidates = random.sample(_SERVER_PORTS, _PORT_TRIES)
    return list(islice(filter(_is_free, candidates), 3))


def _is_free(port: int) -> bool:
    try:
        socket.create_server((LOCAL, port)).close()
    except OSError:
        return False
    return True


def _spawn(*arguments: Any, **options: Any) -> subprocess.Popen[str]:
    command = [sys.executable, '-m', 'clementinedyke', *map(str, arguments)]
    return subprocess.Popen(command, text=True, **options)
