"""Tests of a planned stop of a daemon that has lost the store."""

import pytest
import trio
from tests.entry_environment import (
    CONFIGURATION,
    EntryEnvironment,
    ScenarioRunner,
)
from tests.entry_samples import BOUNDS
from tests.link import Link

from clementinedyke.http.client import Address

_POLL_SECONDS = 0.05


class TestStopWithoutStore:
    """Guards against daemons that are killed in the end of a planned stop.

    A daemon whose zone is cut off waited for an answer of the store about a
    lease that it had never held, longer than the grace time.
    """

    @pytest.mark.parametrize('mode', ['sound', 'hang', 'refuse'])
    def test_stop_ends_within_grace(
        self, mode: str, capfd: pytest.CaptureFixture[str]
    ) -> None:
        """A daemon without requests ends before the grace time is over."""

        async def scenario(env: EntryEnvironment) -> None:
            env.store.put('op', 'config', CONFIGURATION)
            link = Link(Address('127.0.0.1', env.store_port))
            await link.start(env.nursery)
            await env.start_daemon('host-1')
            await env.wait_until_served()
            cut_off = await env.start_daemon('host-2', store_port=link.port)
            await env.wait_until_served()
            if mode == 'hang':
                link.hang_open()
                link.hang_new()
            elif mode == 'refuse':
                link.refuse_new()
                link.reset_open()
            await trio.sleep(0.5)
            cut_off.application.request_stop()
            printed = ''
            with trio.fail_after(BOUNDS.stop_grace / 1000):
                while '"daemon_stopped"' not in printed:
                    printed += capfd.readouterr().out
                    await trio.sleep(_POLL_SECONDS)

        ScenarioRunner().run(scenario)
