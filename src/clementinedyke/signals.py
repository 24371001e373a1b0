"""Signals of a process from its start to its exit.

A signal whose default action ends the process must not meet that action while
requests are open. Signals are therefore blocked before the program is imported,
handled while it runs, and blocked again until the process exits.
"""

import signal
from collections.abc import AsyncIterator, Callable, Collection, Mapping
from contextlib import asynccontextmanager

import trio

#: Called for each signal that is received.
SignalHandlers = Mapping[signal.Signals, Callable[[], None]]


def block_signals(numbers: Collection[signal.Signals]) -> None:
    """Keep signals pending until :func:`handling_signals` handles them.

    :param numbers: signals to block in this thread and those it starts.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


def is_stop_pending() -> bool:
    """Return whether SIGTERM was received while it was blocked."""
    return signal.SIGTERM in signal.sigpending()


def compile_stop_handlers(request_stop: Callable[[], None]) -> SignalHandlers:
    """Return handlers for a process without a settings file to read again.

    A SIGHUP then means that its terminal is gone.

    :param request_stop: begins a graceful shutdown.
    """
    return {
        number: request_stop
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    }


@asynccontextmanager
async def handling_signals(handlers: SignalHandlers) -> AsyncIterator[None]:
    """Call handlers for signals until the block ends.

    Signals that are pending are handled at once. Afterwards the signals stay
    blocked, since their default action would replace the exit status.

    :param handlers: handlers by signal; each may be called repeatedly.
    """
    with trio.open_signal_receiver(*handlers) as received:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_dispatch, received, handlers)
            signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)
            try:
                yield
            finally:
                block_signals(handlers)
            nursery.cancel_scope.cancel()


async def _dispatch(
    received: AsyncIterator[int], handlers: SignalHandlers
) -> None:
    async for number in received:
        handlers[signal.Signals(number)]()
