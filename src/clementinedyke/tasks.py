"""Tasks whose unexpected errors do not end the daemon."""

from collections.abc import Awaitable, Callable

import trio
from absl import logging

#: Delay before a task that failed is run again, so that an error that repeats
#: costs little processor time.
_RESTART_SECONDS = 1.0


async def run_guarded(task: Callable[[], Awaitable[object]], name: str) -> bool:
    """Run a task and log an unexpected exception; return whether it ended well.

    An exception that reaches the nursery of the application ends the daemon
    with all its requests.

    :param task: task to run.
    :param name: name of the task in the log.
    """
    try:
        await task()
    except Exception:
        logging.exception('event=task_failed task=%s', name)
        return False
    return True


async def run_restarting(
    task: Callable[[], Awaitable[object]], name: str
) -> None:
    """Run a task, and run it again after an unexpected exception.

    :param task: loop of a component, which keeps its state in the component.
    :param name: name of the task in the log.
    """
    while not await run_guarded(task, name):
        await trio.sleep(_RESTART_SECONDS)
