"""Tests of the retry core."""

import random

from hypothesis import given, strategies

from clementinedyke.retries.core import (
    AttemptFailed,
    AttemptSucceeded,
    GiveUp,
    GiveUpReason,
    Retry,
    RetryAction,
    RetryCore,
    RetryLimits,
)


def build_failure(**fields) -> AttemptFailed:
    """Return the first failure of a repeatable request."""
    defaults = {
        'request_id': 'r',
        'service': 'chat',
        'customer': 'a',
        'attempt': 1,
        'repeatable': True,
        'sent': True,
        'deadline': 10_000,
    }
    return AttemptFailed(**{**defaults, **fields})


def build_core() -> RetryCore:
    """Return a core with default limits and a fixed seed."""
    return RetryCore(RetryLimits(), random.Random(1))


def get_retries(actions: list[RetryAction]) -> list[Retry]:
    """Return only the retries of a list of actions."""
    return [action for action in actions if isinstance(action, Retry)]


class TestRetryBudget:
    """Guards against retries that multiply the load during a fault."""

    @given(
        outcomes=strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abcdef'), strategies.booleans()
            ),
            max_size=300,
        )
    )
    def test_amplification_is_bounded(
        self, outcomes: list[tuple[str, bool]]
    ) -> None:
        """Retries are bounded by the burst plus a tenth of the successes."""
        limits = RetryLimits()
        core = build_core()
        retries = 0
        successes = 0
        for customer, succeeded in outcomes:
            event = build_failure(customer=customer)
            if succeeded:
                event = AttemptSucceeded('chat', customer)
                successes += 1
            retries += len(get_retries(core.handle(event, 0)))
        assert retries <= limits.daemon_burst + limits.earned * successes

    def test_customer_cannot_use_up_daemon_budget(self) -> None:
        """A customer whose requests all fail leaves retries for the others."""
        core = build_core()
        for _ in range(30):
            core.handle(build_failure(), 0)
        assert isinstance(core.handle(build_failure(customer='b'), 0)[0], Retry)


class TestRetryDecision:
    """Guards against retries that are unsafe or useless."""

    def test_sent_non_repeatable_is_not_retried(self) -> None:
        """A non-repeatable request is not retried once a byte was sent.

        A booking, for example, could run twice.
        """
        event = build_failure(repeatable=False)
        expected = [GiveUp('r', GiveUpReason.NOT_REPEATABLE)]
        assert build_core().handle(event, 0) == expected

    def test_unsent_request_is_retried(self) -> None:
        """A non-repeatable request is retried if none of it was sent.

        A refused connection proves that the endpoint ran nothing.
        """
        event = build_failure(repeatable=False, sent=False)
        assert isinstance(build_core().handle(event, 0)[0], Retry)

    def test_deadline_ends_retries(self) -> None:
        """A retry that would start after the caller's deadline is not made."""
        action = build_core().handle(build_failure(deadline=20), 0)[0]
        assert action.reason is GiveUpReason.DEADLINE

    def test_attempt_limit_ends_retries(self) -> None:
        """A request that always fails ends at the attempt limit."""
        action = build_core().handle(build_failure(attempt=3), 0)[0]
        assert action.reason is GiveUpReason.ATTEMPTS
