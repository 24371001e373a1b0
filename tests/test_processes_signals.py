"""Tests of signals that reach an entry daemon at any moment of its life."""

import contextlib
import os
import signal
import time
from pathlib import Path

import pytest
import trio
from tests.entry_environment import EntryEnvironment
from tests.entry_processes import OK, DaemonProcess, killing, run_scenario
from tests.platform_standin import EndpointStandin

from clementinedyke.exceptions import ClementinedykeError
from clementinedyke.http.message import ResponseWriter, ServerRequest

_STOP_SECONDS = 12
#: Signals follow each other at this interval until the process has ended.
_INTERVAL_SECONDS = 0.05
_REQUESTS = 6
#: Longer than the drain waits for the load balancer, less than the grace.
_WORK_SECONDS = 2.2


class StartingDaemon(DaemonProcess):
    """A daemon whose settings file can be read only once it is provided."""

    def start(
        self, env: EntryEnvironment, store_port: int | None = None
    ) -> None:
        """Start the daemon; it waits for its settings."""
        os.mkfifo(self.path)
        super().start(env, store_port)

    def write_settings(self, text: str) -> None:
        """Keep the settings until they are provided."""
        self.settings = text

    def wait_until_reading(self) -> int:
        """Return a descriptor once the daemon has opened its settings."""
        while True:
            with contextlib.suppress(OSError):
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            time.sleep(0.01)

    def provide_settings(self, descriptor: int) -> None:
        """Let the daemon read its settings, which it may then read again."""
        readable = self.path.with_suffix('.settings')
        readable.write_text(self.settings, encoding='utf-8')
        readable.replace(self.path)
        os.write(descriptor, self.settings.encode())
        os.close(descriptor)


async def wait_for_exit(
    host: DaemonProcess, *numbers: signal.Signals
) -> int | None:
    """Repeat signals until the daemon has ended; return its exit status."""
    with trio.fail_after(_STOP_SECONDS):
        while host.get_exit_status() is None:
            for number in numbers:
                host.send_signal(number)
            await trio.sleep(_INTERVAL_SECONDS)
    return host.get_exit_status()


async def work_slowly(
    endpoint: EndpointStandin, request: ServerRequest, response: ResponseWriter
) -> bool:
    """Take time before the answer."""
    await trio.sleep(_WORK_SECONDS)
    return False


async def send_slowly(host: DaemonProcess, codes: list[object]) -> None:
    """Send requests that may not be repeated and keep their result codes."""

    async def send(number: int) -> None:
        try:
            codes.append(await host.send(f'r-{number}', b'body', '/book/1'))
        except ClementinedykeError as error:
            codes.append(error)

    async with trio.open_nursery() as nursery:
        for number in range(_REQUESTS):
            nursery.start_soon(send, number)


class TestSignalsAtStart:
    """Guards against starts that end with the status of a signal.

    Signals met their default action until the daemon was built: the first
    0.9 s of a process.
    """

    def test_stop_before_settings_are_read(self, tmp_path: Path) -> None:
        """A daemon that is stopped before it has started exits with 0."""

        async def scenario(env: EntryEnvironment) -> None:
            host = StartingDaemon(1, tmp_path)
            with killing([host]):
                host.start(env)
                descriptor = host.wait_until_reading()
                host.send_signal(signal.SIGHUP)
                host.send_signal(signal.SIGTERM)
                host.provide_settings(descriptor)
                assert await wait_for_exit(host) == 0

        trio.run(run_scenario, scenario)

    def test_reloads_until_ready(self, tmp_path: Path) -> None:
        """A daemon starts and serves through a series of SIGHUP."""

        async def scenario(env: EntryEnvironment) -> None:
            host = StartingDaemon(1, tmp_path)
            with killing([host]):
                host.start(env)
                descriptor = host.wait_until_reading()
                host.send_signal(signal.SIGHUP)
                host.provide_settings(descriptor)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(wait_for_exit, host, signal.SIGHUP)
                    await host.wait_until_served()
                    nursery.cancel_scope.cancel()
                assert host.get_exit_status() is None

        trio.run(run_scenario, scenario)

    def test_stop_while_starting(self, tmp_path: Path) -> None:
        """A stop at a moment of the start is a graceful one.

        The moments lie between the reading of the settings and readiness.
        """

        async def scenario(env: EntryEnvironment) -> None:
            hosts = [StartingDaemon(number, tmp_path) for number in range(4)]
            with killing(hosts):
                for number, host in enumerate(hosts):
                    host.start(env)
                    descriptor = host.wait_until_reading()
                    host.provide_settings(descriptor)
                    await trio.sleep(0.06 * number)
                    host.send_signal(signal.SIGTERM)
                for stopped in hosts:
                    assert await wait_for_exit(stopped) == 0

        trio.run(run_scenario, scenario)


class TestSignalsInDrain:
    """Guards against a drain that a second signal ends.

    The daemon restored the default action of its signals as soon as SIGTERM
    had come, so a SIGHUP or another SIGTERM cut off all open requests.
    """

    @pytest.mark.parametrize(
        'numbers',
        [
            (signal.SIGHUP,),
            (signal.SIGTERM,),
            (signal.SIGHUP, signal.SIGTERM),
        ],
    )
    def test_signals_until_exit(
        self, tmp_path: Path, numbers: tuple[signal.Signals, ...]
    ) -> None:
        """Open requests are answered, and the exit status is 0.

        The signals repeat until the process is gone, so they also meet its
        last writes.
        """

        async def scenario(env: EntryEnvironment) -> None:
            host = DaemonProcess(1, tmp_path)
            codes: list[object] = []
            with killing([host]):
                host.start(env)
                await host.wait_until_served()
                for endpoint in env.endpoints.values():
                    endpoint.override = work_slowly
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(send_slowly, host, codes)
                    await trio.sleep(0.5)
                    host.send_signal(signal.SIGTERM)
                    status = await wait_for_exit(host, *numbers)
            assert codes == [OK for _ in range(_REQUESTS)]
            assert status == 0

        trio.run(run_scenario, scenario)
