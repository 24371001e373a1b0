"""Tests of the retry budget that daemons share."""

import json
import random

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.entry_environment import EntryEnvironment, ScenarioRunner
from tests.platform_standin import EndpointStandin, lose_answer

from clementinedyke.entry.retry_budget import RetryBudget

_RATIO = 0.2
_WINDOW = 10000
_ALLOWANCE = 54


class TestRetryBudget:
    """Guards against retry storms when many daemons retry at once."""

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(daemons=st.integers(1, 12), seed=st.integers(0, 1000))
    def test_sum_of_all_daemons(self, daemons: int, seed: int) -> None:
        """The daemons together exceed the limit in no window.

        Every request fails and is retried as often as the budget allows, and
        the requests are spread unevenly over the daemons.
        """
        generator = random.Random(seed)
        budgets = [
            RetryBudget(_RATIO, _WINDOW, _ALLOWANCE) for _ in range(daemons)
        ]
        requests: list[int] = []
        repeats: list[int] = []
        for now in range(0, 3 * _WINDOW, 50):
            budget = budgets[int(daemons * generator.random() ** 2)]
            budget.record_request(now)
            requests.append(now)
            while budget.spend(daemons, now):
                repeats.append(now)
            oldest = now - _WINDOW
            recent = sum(1 for instant in repeats if instant > oldest)
            asked = sum(1 for instant in requests if instant > oldest)
            assert recent <= _RATIO * asked + _ALLOWANCE

    def test_budget_recovers_after_window(self) -> None:
        """A spent budget is available again after one window."""
        budget = RetryBudget(_RATIO, _WINDOW, _ALLOWANCE)
        spent = [budget.spend(3, 0) for _ in range(_ALLOWANCE)]
        assert any(spent)
        assert not budget.spend(3, _WINDOW - 1)
        assert budget.spend(3, _WINDOW + 1)

    def test_charged_sends_use_up_budget(self) -> None:
        """Sends that are charged after the fact use up the budget.

        Prefills that timed out in the queue of an engine are retries too.
        When they were not charged, a grown deployment made 459 retries where
        447 were allowed.
        """
        budget = RetryBudget(_RATIO, _WINDOW, _ALLOWANCE)
        for _ in range(_ALLOWANCE):
            budget.charge(0)
        assert not budget.spend(1, 0)
        assert budget.spend(1, _WINDOW + 1)


class TestRepeatedPrefills:
    """Guards against sends that the retry budget does not count.

    A stream that two engines reject, or whose engine ends, is prefilled again.
    Such prefills cost nothing, and a service got 93 arrivals beyond the first
    of their request where 80 were allowed.
    """

    def test_second_prefill_is_charged(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        """A stream that runs twice uses up two sends, of which one prefills."""

        async def scenario(env: EntryEnvironment) -> None:
            await env.add_endpoint(EndpointStandin('writer-2', 'decode'))
            await env.add_endpoint(EndpointStandin('reader-2', 'prefill'))
            await env.open()
            await env.wait_until_seen()
            first = env.endpoints['writer']
            second = env.endpoints['writer-2']

            async def lose_once(*args: object) -> bool:
                first.override = None
                second.override = None
                return await lose_answer(*args)

            first.override = lose_once
            second.override = lose_once
            answer = await env.send_request('/resumable/1', 'twice')
            assert answer.status == 200
            await trio.sleep(0.2)

        ScenarioRunner().run(scenario)
        lines = [
            json.loads(line)
            for line in capfd.readouterr().out.splitlines()
            if '"request_ended"' in line
        ]
        ended = {line['request']: line for line in lines}
        assert ended['twice']['reads'] == 2
        assert ended['twice']['sends'] == 2
        spent = ended['probe']['retries_left'] - ended['twice']['retries_left']
        # The request itself adds up to a fifth of a retry.
        assert round(spent + 0.2) == 2
