"""Tests of the operator port and the commands that talk to it."""

import json
import os
import signal
import ssl
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib import error, request

import pytest
import trio
import trustme

from clementinedyke.http.client import Address, HttpClient, HttpRequest
from clementinedyke.operators import OperatorPort, OperatorReports
from clementinedyke.reference_platform.tables import TableClient
from clementinedyke.settings.core import Settings

_TOKEN = 'operator-token-of-tests'


class Cluster:
    """A demo daemon in a process and its command line."""

    def __init__(self, errors: Path) -> None:
        """Start the demo; its log goes to a file."""
        self.errors = errors
        self.environment = {
            **os.environ,
            'CLEMENTINEDYKE_OPERATOR_TOKEN': _TOKEN,
        }
        with errors.open('w') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'clementinedyke', 'demo'],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env=self.environment,
            )
        assert self.process.stdout is not None
        self.ready = json.loads(self.process.stdout.readline())
        self.base = self.ready['metrics_url'].removesuffix('/metrics')
        address = self.base.removeprefix('http://')
        self.environment['CLEMENTINEDYKE_OPERATOR_ADDRESS'] = address

    def run(self, *words: str, given: Any = None) -> tuple[int, str]:
        """Return exit status and output of a command, ``--json`` added."""
        done = subprocess.run(
            [sys.executable, '-m', 'clementinedyke', *words, '--json'],
            input=json.dumps(given),
            capture_output=True,
            text=True,
            env=self.environment,
            timeout=30,
        )
        assert done.stderr.count('\n') == (done.returncode != 0)
        return done.returncode, done.stdout + done.stderr

    def get(self, path: str, token: str = '') -> tuple[int, str]:
        """Return status and body of a GET."""
        call = request.Request(
            f'{self.base}{path}', headers={'Authorization': f'Bearer {token}'}
        )
        try:
            with request.urlopen(call, timeout=10) as answer:
                return answer.status, answer.read().decode()
        except error.HTTPError as refusal:
            return refusal.code, refusal.read().decode()

    def call_models(self, key: str) -> int:
        """Return the status of a request of a caller with a key."""
        call = request.Request(
            f'{self.ready["base_url"]}/models',
            headers={'Authorization': f'Bearer {key}'},
        )
        try:
            with request.urlopen(call, timeout=10) as answer:
                return int(answer.status)
        except error.HTTPError as refusal:
            return refusal.code

    def chat(self) -> Any:
        """Return the answer of a streamed chat, read to its end."""
        body = {
            'model': self.ready['model'],
            'messages': [{'role': 'user', 'content': 'hello'}],
            'max_tokens': 3,
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        call = request.Request(
            f'{self.ready["base_url"]}/chat/completions',
            data=json.dumps(body).encode(),
            headers={'Authorization': f'Bearer {self.ready["api_key"]}'},
        )
        with request.urlopen(call, timeout=10) as answer:
            answer.read()
        return answer


@pytest.fixture(name='cluster', scope='module')
def start_cluster(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[Cluster]:
    """Run one demo with an operator token for all tests of this module."""
    cluster = Cluster(tmp_path_factory.mktemp('operators') / 'log')
    yield cluster
    cluster.process.send_signal(signal.SIGTERM)
    assert cluster.process.wait(timeout=30) == 0


class TestAccess:
    """Guards against an operator port that is open to anyone."""

    @pytest.mark.parametrize('path', ['/metrics', '/healthz', '/readyz'])
    def test_probes_need_no_token(self, cluster: Cluster, path: str) -> None:
        """Scrapers and balancers have no token."""
        assert cluster.get(path)[0] == 200

    @pytest.mark.parametrize('token', ['', 'wrong', f'{_TOKEN}x'])
    @pytest.mark.parametrize(
        'path', ['/v1/records', '/v1/audit', '/v1/status', '/v1/explain/x']
    )
    def test_refused_without_token(
        self, cluster: Cluster, path: str, token: str
    ) -> None:
        """Everything else is refused."""
        assert cluster.get(path, token)[0] == 401

    def test_demo_without_token_is_closed(self, demo: dict[str, str]) -> None:
        """An empty token must not match an empty header."""
        url = demo['metrics_url'].replace('metrics', 'v1/records')
        call = request.Request(url, headers={'Authorization': 'Bearer '})
        with pytest.raises(error.HTTPError, match='401'):
            request.urlopen(call, timeout=10)


class TestPort:
    """Guards against a port that fails in a way nobody understands."""

    @pytest.mark.parametrize(
        ('query', 'body'),
        [
            ('', b'{}'),
            ('expect_version=-1', b'{}'),
            (f'expect_version={"9" * 5000}', b'{}'),
            ('expect_version=0', b'[]'),
            ('expect_version=0', b'[' * 100000),
        ],
    )
    def test_wrong_put(self, cluster: Cluster, query: str, body: bytes) -> None:
        """A malformed change is refused and the daemon goes on."""
        call = request.Request(
            f'{cluster.base}/v1/records/customer/x?{query}',
            data=body,
            headers={'Authorization': f'Bearer {_TOKEN}'},
            method='PUT',
        )
        with pytest.raises(error.HTTPError, match='400'):
            request.urlopen(call, timeout=10)
        assert cluster.get('/readyz')[0] == 200

    def test_port_in_use(self, cluster: Cluster) -> None:
        """A second daemon on the port stops with one line and status 2."""
        port = cluster.base.rpartition(':')[2]
        done = subprocess.run(
            [sys.executable, '-m', 'clementinedyke', 'serve', '--port', '0']
            + ['--operator-port', port, '--log-level', 'error'],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert done.returncode == 2
        assert done.stderr.count('\n') == 1
        assert f'--operator-port has value {port}' in done.stderr

    def test_tls(self, tmp_path: Path) -> None:
        """Commands reach a port that serves TLS."""
        authority = trustme.CA()
        issued = authority.issue_cert('127.0.0.1')
        authority.cert_pem.write_to_path(tmp_path / 'ca')
        issued.private_key_pem.write_to_path(tmp_path / 'key')
        issued.cert_chain_pems[0].write_to_path(tmp_path / 'certificate')
        settings = Settings(
            operator_port=0,
            operator_tls_certificate=str(tmp_path / 'certificate'),
            operator_tls_key=str(tmp_path / 'key'),
        )
        status = trio.run(get_status, settings, str(tmp_path / 'ca'))
        assert status == 200


async def get_status(settings: Settings, authority: str) -> int:
    """Return the status of ``/healthz`` over TLS."""
    platform = TableClient(HttpClient(Address('127.0.0.1', 1)))
    port = OperatorPort(settings, platform, OperatorReports())
    context = ssl.create_default_context(cafile=authority)
    async with trio.open_nursery() as nursery:
        await port.start(nursery)
        address = Address('127.0.0.1', port.bound_port)
        async with HttpClient(address, context) as client:
            answer = await client.request(HttpRequest('GET', '/healthz'), 5000)
        nursery.cancel_scope.cancel()
    return answer.status


class TestCommands:
    """Guards against commands whose exit status hides what happened."""

    def test_race_shows_version(self, cluster: Cluster) -> None:
        """The loser of a race is told the version in force."""
        record = {'kind': 'customer', 'schema_version': 2, 'name': 'race'}
        put = ('record', 'put', '-')
        status, output = cluster.run(*put, given=record)
        version = json.loads(output)['version']
        assert status == 0
        expect = ('--expect-version', str(version - 1))
        status, output = cluster.run(*put, *expect, given=record)
        assert status == 3
        assert 'RECORD_CONFLICT (2014)' in output
        assert f'version {version}' in output
        assert cluster.run(*put, given={**record, 'weight': 2})[0] == 0
        assert cluster.run('record', 'delete', 'customer/race')[0] == 0

    def test_refusals(self, cluster: Cluster) -> None:
        """A refused command says so in its exit status."""
        wrong = {'kind': 'customer', 'name': 'x', 'weight': 0}
        delete = ('record', 'delete', 'customer/demo-customer')
        assert cluster.run('record', 'put', '-', given=wrong)[0] == 1
        assert cluster.run(*delete)[0] == 1
        assert cluster.run('explain', 'missing')[0] == 1
        assert cluster.run('status', '--nonsense')[0] == 2
        assert cluster.run('status', '--address', '127.0.0.1:1')[0] == 5

    def test_status_lists_endpoints(self, cluster: Cluster) -> None:
        """All endpoints of the demo are shown with their state."""
        status, output = cluster.run('status')
        listed = json.loads(output)['endpoints']
        assert status == 0
        assert {endpoint['state'] for endpoint in listed} == {'live'}
        assert len(listed) == 3

    def test_explains_request(self, cluster: Cluster) -> None:
        """A request is counted and explained under the id in its answer."""
        answer = cluster.chat()
        request_id = answer.headers['Clementinedyke-Request-Id']
        status, output = cluster.run('explain', request_id)
        explained = json.loads(output)
        assert status == 0
        assert explained['service'] == 'demo-assistant'
        assert explained['customer'] == 'demo-customer'
        assert explained['result_name'] == 'OK'
        assert len(explained['attempts']) == 1
        requests = 'clementinedyke_requests_total{code="OK"'
        first = 'first_token_seconds_count{service="demo-assistant"} 1.0'
        metrics = cluster.get('/metrics')[1]
        assert f'{requests},service="demo-assistant"}} 1.0' in metrics
        assert first in metrics

    def test_no_secret_is_shown(self, cluster: Cluster) -> None:
        """A key's secret is printed once and found nowhere after it."""
        status, output = cluster.run('key', 'create', 'demo-customer')
        created = json.loads(output)
        secret = created['secret']
        name = created['key'].removeprefix('key/')
        assert status == 0
        assert cluster.run('key', 'withdraw', name)[0] == 0
        cluster.call_models(secret)
        pages = [
            cluster.get(path, _TOKEN)[1]
            for path in ('/v1/records', '/v1/audit', '/v1/status', '/metrics')
        ]
        pages.append(
            cluster.run(
                'record',
                'put',
                '-',
                given={
                    'kind': 'key',
                    'name': 'p',
                    'customer': 'c',
                    'secret': secret,
                },
            )[1]
        )
        pages.append(cluster.errors.read_text())
        request_id = cluster.chat().headers['Clementinedyke-Request-Id']
        pages.append(cluster.get(f'/v1/explain/{request_id}', _TOKEN)[1])
        assert 'demo-customer' in pages[-1]
        assert name in pages[1]
        for page in pages:
            assert secret not in page
            assert _TOKEN not in page
            assert cluster.ready['api_key'] not in page
