"""Demo that runs a daemon and stand-ins of its peers in one process."""

import json
import secrets
import sys
from typing import Any

import trio
from pydantic import SecretStr

from clementinedyke.daemon import Daemon
from clementinedyke.daemons.platform_reader import RECORDS_TABLE
from clementinedyke.records.core import get_digest
from clementinedyke.reference_platform.tables import Write
from clementinedyke.settings.core import Settings
from clementinedyke.signals import compile_stop_handlers, handling_signals
from clementinedyke.standins.engine import EngineStandin
from clementinedyke.standins.platform import PlatformStandin
from clementinedyke.standins.service import ServiceStandin

_HOST = '127.0.0.1'
_MODEL = 'demo-model'
_CUSTOMER = 'demo-customer'
_MODEL_SERVICE = 'demo-assistant'
_PLAIN_SERVICE = 'demo-ledger'
_ENGINE_COUNT = 2
#: Interval between two tokens of an engine stand-in.
_TOKEN_INTERVAL_SECONDS = 0.01


class Demo:
    """A daemon and the stand-ins that it uses, on loopback."""

    def __init__(self, port: int = 0, operator_token: str = '') -> None:
        """Create the demo.

        :param port: caller port, 0 for a free one.
        :param operator_token: token of the operator port; if empty, only
            metrics and health can be read.
        """
        self._port = port
        self._operator_token = operator_token
        self.api_key = secrets.token_urlsafe()
        self.platform = PlatformStandin()
        self.engines = [
            EngineStandin(_MODEL, token_interval=_TOKEN_INTERVAL_SECONDS)
            for _ in range(_ENGINE_COUNT)
        ]
        self.service = ServiceStandin()
        #: Set to stop the daemon, and with it the demo.
        self.stop_requested = trio.Event()

    def request_stop(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""
        self.stop_requested.set()

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[dict[str, str]] = (
            trio.TASK_STATUS_IGNORED
        ),
    ) -> None:
        """Run until a stop is requested.

        :param task_status: reported as started, with the fields of the ready
            line, once the daemon is ready.
        """
        async with trio.open_nursery() as nursery:
            platform_port = await self._start_standins(nursery)
            settings = Settings(
                host=_HOST,
                port=self._port,
                operator_port=0,
                daemon_port=0,
                operator_token=SecretStr(self._operator_token),
                platform=f'{_HOST}:{platform_port}',
            )
            daemon = Daemon(settings)
            async with trio.open_nursery() as daemon_nursery:
                await daemon_nursery.start(daemon.application.run)
                await daemon.wait_until_ready()
                task_status.started(self._compile_ready_line(daemon))
                await self.stop_requested.wait()
                daemon.application.request_stop()
            nursery.cancel_scope.cancel()

    async def _start_standins(self, nursery: trio.Nursery) -> int:
        for index, engine in enumerate(self.engines):
            port = await engine.start(nursery, _HOST, 0)
            self._add_endpoint(f'engine-{index}', _MODEL_SERVICE, port)
        port = await self.service.start(nursery, _HOST, 0)
        self._add_endpoint('ledger-0', _PLAIN_SERVICE, port)
        self.platform.tables.commit([], self._compile_records())
        return await self.platform.start(nursery, _HOST, 0)

    def _add_endpoint(self, name: str, service: str, port: int) -> None:
        self.platform.endpoints.append(
            {
                'endpoint_id': name,
                'service': service,
                'availability_zone': 'zone-a',
                'address': f'{_HOST}:{port}',
            }
        )

    def _compile_records(self) -> list[Write]:
        records: list[dict[str, Any]] = [
            {
                'kind': 'service',
                'name': _MODEL_SERVICE,
                'backend': 'model',
                'models': [_MODEL],
            },
            {
                'kind': 'service',
                'name': _PLAIN_SERVICE,
                'backend': 'plain',
                'repeatable': False,
            },
            {
                'kind': 'customer',
                'name': _CUSTOMER,
                'services': [_MODEL_SERVICE, _PLAIN_SERVICE],
            },
            {
                'kind': 'key',
                'name': 'demo-key',
                'customer': _CUSTOMER,
                'digest': get_digest(self.api_key),
            },
        ]
        return [
            Write(RECORDS_TABLE, f'{record["kind"]}/{record["name"]}', record)
            for record in records
        ]

    def _compile_ready_line(self, daemon: Daemon) -> dict[str, str]:
        base = f'http://{_HOST}:{daemon.caller_port.bound_port}'
        operators = f'http://{_HOST}:{daemon.operator_port.bound_port}'
        return {
            'base_url': f'{base}/v1',
            'api_key': self.api_key,
            'model': _MODEL,
            'service': _PLAIN_SERVICE,
            'metrics_url': f'{operators}/metrics',
        }


async def run_demo(port: int, operator_token: str = '') -> None:
    """Run the demo until a stop signal; print its ready line at start.

    :param port: caller port, 0 for a free one.
    :param operator_token: token of the operator port; if empty, only metrics
        and health can be read.
    """
    demo = Demo(port, operator_token)
    async with (
        handling_signals(compile_stop_handlers(demo.request_stop)),
        trio.open_nursery() as nursery,
    ):
        ready = await nursery.start(demo.run)
        sys.stdout.write(f'{json.dumps(ready)}\n')
        sys.stdout.flush()
