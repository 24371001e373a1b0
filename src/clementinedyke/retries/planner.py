"""Plans retries of callers' requests within the retry budget."""

import random

from clementinedyke.callers.context import RequestContext
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ExecutionState, ResultCode, get_details
from clementinedyke.retries.core import (
    AttemptFailed,
    AttemptSucceeded,
    Retry,
    RetryCore,
    RetryLimits,
)


class RetryPlanner:
    """Plans retries of requests with the retry core."""

    def __init__(self, clock: Clock, generator: random.Random) -> None:
        """Create the planner.

        :param clock: clock of this process.
        :param generator: seeded source of random delays.
        """
        self._clock = clock
        self._core = RetryCore(RetryLimits(), generator)

    def plan_retry(
        self,
        context: RequestContext,
        code: ResultCode,
        deadline: Milliseconds,
    ) -> Milliseconds | None:
        """Return the delay before the next attempt, None to give up.

        :param context: request whose attempt failed.
        :param code: result code of the failed attempt.
        :param deadline: time from which another attempt is useless.
        """
        now = self._clock.get_now()
        execution = get_details(code).execution
        event = AttemptFailed(
            request_id=context.outcome.request_id,
            service=context.route.service.name,
            customer=context.route.customer or '',
            attempt=context.outcome.attempt_count,
            repeatable=context.is_repeatable,
            sent=execution is not ExecutionState.NOT_RUN,
            deadline=deadline,
        )
        for action in self._core.handle(event, now):
            if isinstance(action, Retry):
                return action.at - now
        return None

    def record_success(self, context: RequestContext) -> None:
        """Add a successful request to the retry budget.

        :param context: request that got a complete answer.
        """
        event = AttemptSucceeded(
            context.route.service.name, context.route.customer or ''
        )
        self._core.handle(event, self._clock.get_now())
