"""Tests of a daemon whose store returns from an older copy."""

import trio
from tests.crashing_endpoint import FATAL_BODY, start_endpoints
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.entry_samples import BOUNDS
from tests.platform_standin import EndpointStandin, serve
from tests.store_gate import StoreGate

#: Time in seconds after which a leaving endpoint must get no more requests.
_DRAIN_SECONDS = BOUNDS.drain_delay / 1000 + 0.2
_REQUESTS = 12
_ENDS = 3
_RESTART_SECONDS = 0.4


async def rewrite_entry(
    env: EntryEnvironment, endpoint: EndpointStandin
) -> None:
    """Write an entry several times, so that its version is high."""
    for sequence in range(2, 6):
        env.register(endpoint, sequence=sequence)
        await trio.sleep(0.2)


async def count_requests(
    env: EntryEnvironment, endpoint: EndpointStandin
) -> int:
    """Return how many of several requests reach an endpoint."""
    endpoint.received.clear()
    for number in range(_REQUESTS):
        await env.send_request('/read/1', f'r-{number}')
    return len(endpoint.received)


class TestEndpointEntries:
    """Guards against requests to endpoints that left after the loss."""

    def test_entry_with_lower_version(self) -> None:
        """An entry must be applied although its version was higher before."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            await env.start_daemon()
            await env.wait_until_served()
            endpoint = env.endpoints['ledger-1']
            copy = env.store.copy()
            await rewrite_entry(env, endpoint)
            env.store.return_from(copy)
            env.register(endpoint, state='draining')
            await trio.sleep(_DRAIN_SECONDS)
            assert await count_requests(env, endpoint) == 0

        ScenarioRunner().run(scenario)

    def test_daemon_cut_off_during_loss(self) -> None:
        """A daemon must accept newer state with a lower revision.

        It was cut off from the store before the loss, and another daemon has
        the state of the store that returned.
        """

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            gate = StoreGate(env.store)
            port = await serve(env.nursery, gate.respond)
            await env.start_daemon('host-1', store_port=port)
            await env.start_daemon('host-2')
            await env.wait_until_served()
            endpoint = env.endpoints['ledger-1']
            copy = env.store.copy()
            await rewrite_entry(env, endpoint)
            gate.is_closed = True
            env.store.return_from(copy)
            env.store.remove('servers', 'ledger-1')
            await trio.sleep(2 * _DRAIN_SECONDS)
            assert await count_requests(env, endpoint) == 0

        ScenarioRunner().run(scenario)


class TestSuspects:
    """Guards against forgetting requests that end their endpoints."""

    def test_daemon_that_starts_after_the_loss(self) -> None:
        """The evidence must be in the store again before the daemons end."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            endpoints = await start_endpoints(env, ['one', 'two', 'three'])
            await env.start_daemon('host-1')
            await env.wait_until_served()
            copy = env.store.copy()
            for number in range(_ENDS):
                await send_fatal(env, number)
            env.store.return_from(copy)
            env.store.put('op', 'config', CONFIGURATION)
            for endpoint in endpoints:
                env.register(env.endpoints[endpoint.name], born=2000)
            await trio.sleep(_DRAIN_SECONDS)
            await replace_daemon(env)
            before = sum(len(endpoint.arrivals) for endpoint in endpoints)
            await send_fatal(env, _ENDS)
            after = sum(len(endpoint.arrivals) for endpoint in endpoints)
            assert after == before

        ScenarioRunner().run(scenario)


async def replace_daemon(env: EntryEnvironment) -> None:
    """End the daemon and start one that knows only the store."""
    await env.stop_daemons()
    await env.start_daemon('host-2')
    await env.wait_until_served()


async def send_fatal(env: EntryEnvironment, number: int) -> None:
    """Send the fatal request, and wait until its endpoint is back."""
    await env.send_request('/book/1', f'fatal-{number}', body=FATAL_BODY)
    await trio.sleep(_RESTART_SECONDS)
