"""Retries of the caller path within the budget of the retry core."""

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
    """Asks the retry core whether and when to try a request again."""

    def __init__(self, clock: Clock, generator: random.Random) -> None:
        """Create the planner.

        :param clock: clock of this process.
        :param generator: seeded source of jitter.
        """
        self._clock = clock
        self._core = RetryCore(RetryLimits(), generator)

    def plan_retry(
        self,
        context: RequestContext,
        code: ResultCode,
        deadline: Milliseconds,
    ) -> Milliseconds | None:
        """Return how long to wait before the next try, None to give up.

        :param context: request whose try failed.
        :param code: how the try failed.
        :param deadline: latest useful start of a try.
        """
        now = self._clock.get_now()
        execution = get_details(code).execution
        event = AttemptFailed(
            request_id=context.outcome.request_id,
            service=context.route.service.name,
            customer=context.route.customer or '',
            attempt=context.outcome.tries,
            repeatable=context.is_repeatable,
            sent=execution is not ExecutionState.NOT_RUN,
            deadline=deadline,
        )
        for action in self._core.handle(event, now):
            if isinstance(action, Retry):
                return action.at - now
        return None

    def note_success(self, context: RequestContext) -> None:
        """Earn retry budget.

        :param context: request whose answer was whole.
        """
        event = AttemptSucceeded(
            context.route.service.name, context.route.customer or ''
        )
        self._core.handle(event, self._clock.get_now())
