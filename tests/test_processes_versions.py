"""Tests of daemons as processes, and streams of several versions."""

import signal
from pathlib import Path

import trio
from tests.entry_environment import CONFIGURATION, EntryEnvironment
from tests.entry_processes import OK, DaemonProcess, killing, run_scenario
from tests.platform_standin import EndpointStandin, delay_stream

_HOSTS = 5
_STREAMS = 8
_PATH = '/resumable/1'
_SETTLE_SECONDS = 0.5
_ROLLED_HOSTS = 3
#: Daemons hear of one another within this time.
_UPDATE_SECONDS = 2
_LONG_CONFIGURATION = {
    **CONFIGURATION,
    'version': 2,
    'routes': [
        {**route, 'timeout_ms': 60000} for route in CONFIGURATION['routes']
    ],
}


async def begin_streams(host: DaemonProcess) -> None:
    """Let callers get the first events of streams through a daemon."""
    for number in range(_STREAMS):
        assert await host.send(f'begun-{number}', b'body', _PATH) == OK


async def resume_streams(host: DaemonProcess) -> list[int]:
    """Take all streams up again at once and return the result codes."""
    codes: list[int] = []

    async def resume(number: int) -> None:
        code = await host.send(
            f'resumed-{number}',
            b'body',
            _PATH,
            resumes=f'begun-{number}',
            last_event_id='2',
        )
        codes.append(code)

    async with trio.open_nursery() as nursery:
        for number in range(_STREAMS):
            nursery.start_soon(resume, number)
    return codes


def count_resumed(endpoint: EndpointStandin) -> int:
    """Return how many requests took a stream up at an engine."""
    return sum(
        request.get_header(b'last-event-id') is not None
        for request in endpoint.received
    )


class TestResumedStreams:
    """Guards against streams that go on at another version after a kill."""

    def test_killed_and_frozen_daemons(self, tmp_path: Path) -> None:
        """The version is found while daemons are down, frozen or new.

        The daemon that began the streams is killed, another one stands still,
        and the caller also comes back to the one that has started again.
        """
        hosts = [DaemonProcess(number, tmp_path) for number in range(_HOSTS)]

        async def scenario(env: EntryEnvironment) -> None:
            for host in hosts:
                host.start(env)
            for host in hosts:
                await host.wait_until_served()
            await trio.sleep(_SETTLE_SECONDS)
            await begin_streams(hosts[0])
            hosts[0].kill()
            hosts[1].send_signal(signal.SIGSTOP)
            # Streams that take some time spread over all engines.
            new = EndpointStandin('new', 'decode', override=delay_stream)
            env.endpoints['writer'].override = delay_stream
            await env.add_endpoint(new)
            env.register(new, version='v2')
            hosts[0].start(env)
            await hosts[0].wait_until_served()
            for host in (hosts[2], hosts[0]):
                codes = await resume_streams(host)
                assert codes == [OK for _ in codes]
            assert count_resumed(env.endpoints['writer']) == 2 * _STREAMS
            assert not count_resumed(new)
            hosts[1].send_signal(signal.SIGCONT)

        with killing(hosts):
            trio.run(run_scenario, scenario)

    def test_rolling_restart(self, tmp_path: Path) -> None:
        """Streams that outlive a rolling restart are taken up.

        Each daemon is restarted, one after the other, while two software
        versions serve. No daemon is left that forwarded their first events.
        """
        hosts = [
            DaemonProcess(number, tmp_path) for number in range(_ROLLED_HOSTS)
        ]

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', _LONG_CONFIGURATION)
            for host in hosts:
                host.start(env)
            for started in hosts:
                await started.wait_until_served()
            await trio.sleep(_SETTLE_SECONDS)
            await begin_streams(hosts[0])
            new = EndpointStandin('new', 'decode')
            await env.add_endpoint(new)
            env.register(new, version='v2')
            for rolled in hosts:
                await trio.to_thread.run_sync(rolled.stop)
                rolled.start(env)
                await rolled.wait_until_served()
                await trio.sleep(_UPDATE_SECONDS)
            for asked in hosts:
                codes = await resume_streams(asked)
                assert codes == [OK for _ in codes]
            assert not count_resumed(new)

        with killing(hosts):
            trio.run(run_scenario, scenario)
