"""Tests of the operator port and of the commands that use it."""

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


class DemoDaemon:
    """Demo in a subprocess, with methods that send requests and commands."""

    def __init__(self, errors: Path) -> None:
        """Start the demo.

        :param errors: file that receives its log.
        """
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
        """Run a command with ``--json``; return its exit status and output."""
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
        """Send a GET request to the operator port; return status and body."""
        call = request.Request(
            f'{self.base}{path}', headers={'Authorization': f'Bearer {token}'}
        )
        try:
            with request.urlopen(call, timeout=10) as answer:
                return answer.status, answer.read().decode()
        except error.HTTPError as refusal:
            return refusal.code, refusal.read().decode()

    def call_models(self, key: str) -> int:
        """Return the HTTP status of a caller request with an API key."""
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
        """Send a streamed chat request; return the response once it is read."""
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
) -> Iterator[DemoDaemon]:
    """Run a demo with an operator token, shared by the tests of the module."""
    cluster = DemoDaemon(tmp_path_factory.mktemp('operators') / 'log')
    yield cluster
    cluster.process.send_signal(signal.SIGTERM)
    assert cluster.process.wait(timeout=30) == 0


class TestAccess:
    """Guards against access to the operator port without the token."""

    @pytest.mark.parametrize('path', ['/metrics', '/healthz', '/readyz'])
    def test_public_paths_need_no_token(
        self, cluster: DemoDaemon, path: str
    ) -> None:
        """Metrics scrapers and load balancers have no token."""
        assert cluster.get(path)[0] == 200

    @pytest.mark.parametrize('token', ['', 'wrong', f'{_TOKEN}x'])
    @pytest.mark.parametrize(
        'path', ['/v1/records', '/v1/audit', '/v1/status', '/v1/explain/x']
    )
    def test_other_paths_reject_invalid_token(
        self, cluster: DemoDaemon, path: str, token: str
    ) -> None:
        """All other paths answer 401 without the correct token."""
        assert cluster.get(path, token)[0] == 401

    def test_empty_token_does_not_authorize(self, demo: dict[str, str]) -> None:
        """If no token is configured, an empty bearer token must not match."""
        url = demo['metrics_url'].replace('metrics', 'v1/records')
        call = request.Request(url, headers={'Authorization': 'Bearer '})
        with pytest.raises(error.HTTPError, match='401'):
            request.urlopen(call, timeout=10)


class TestServing:
    """Guards against failures on malformed input, at bind and with TLS."""

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
    def test_malformed_put_is_rejected(
        self, cluster: DemoDaemon, query: str, body: bytes
    ) -> None:
        """A malformed change gives 400 and the daemon stays ready."""
        call = request.Request(
            f'{cluster.base}/v1/records/customer/x?{query}',
            data=body,
            headers={'Authorization': f'Bearer {_TOKEN}'},
            method='PUT',
        )
        with pytest.raises(error.HTTPError, match='400'):
            request.urlopen(call, timeout=10)
        assert cluster.get('/readyz')[0] == 200

    def test_bind_failure_names_setting(self, cluster: DemoDaemon) -> None:
        """If the port is in use, serve prints one line and exits with 2."""
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

    def test_serves_tls(self, tmp_path: Path) -> None:
        """With certificate and key set, the port is reachable over TLS."""
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
        status = trio.run(get_health_status, settings, str(tmp_path / 'ca'))
        assert status == 200


async def get_health_status(settings: Settings, authority: str) -> int:
    """Return the HTTP status of ``/healthz`` over TLS."""
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


class TestCommandResults:
    """Guards against wrong results and exit statuses of commands."""

    def test_conflict_reports_current_version(
        self, cluster: DemoDaemon
    ) -> None:
        """A put with an outdated version gets the current version."""
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

    def test_exit_status_of_failed_commands(self, cluster: DemoDaemon) -> None:
        """Refusal, wrong usage and no connection have distinct statuses."""
        invalid = {'kind': 'customer', 'name': 'x', 'weight': 0}
        delete = ('record', 'delete', 'customer/demo-customer')
        assert cluster.run('record', 'put', '-', given=invalid)[0] == 1
        assert cluster.run(*delete)[0] == 1
        assert cluster.run('explain', 'missing')[0] == 1
        assert cluster.run('status', '--nonsense')[0] == 2
        assert cluster.run('status', '--address', '127.0.0.1:1')[0] == 5

    def test_status_lists_live_endpoints(self, cluster: DemoDaemon) -> None:
        """All three endpoints of the demo are listed with state live."""
        status, output = cluster.run('status')
        listed = json.loads(output)['endpoints']
        assert status == 0
        assert {endpoint['state'] for endpoint in listed} == {'live'}
        assert len(listed) == 3

    def test_request_is_counted_and_explained(
        self, cluster: DemoDaemon
    ) -> None:
        """The request id of the response finds the outcome in explain."""
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

    def test_secrets_are_not_disclosed(self, cluster: DemoDaemon) -> None:
        """Key secrets and the operator token appear in no later output."""
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
