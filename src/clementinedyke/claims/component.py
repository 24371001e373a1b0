"""Performs the actions of the claim core on the table service."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from clementinedyke.claims import messages as msg
from clementinedyke.claims.core import ClaimCore, ClaimSettings
from clementinedyke.claims.store import ClaimStore
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.http.client import HttpClient
from clementinedyke.reference_platform.objects import ObjectClient
from clementinedyke.reference_platform.tables import TableClient

_TICK_INTERVAL: Milliseconds = 50
_MILLISECONDS_PER_SECOND = 1000
#: Commits per second of all daemons together; the platform handles several
#: hundred.
COMMIT_BUDGET = 200
#: Longest wait for pending claims when the daemon stops.
_DRAIN_SECONDS = 30


@dataclass(frozen=True, slots=True)
class DispatchFailure:
    """Dispatch that ended without a complete answer.

    ``is_sent`` is true if bytes may have reached an endpoint.
    """

    code: ResultCode
    is_sent: bool
    message: str


#: Sends the request once; returns the complete answer or the failure.
Dispatcher = Callable[[], Awaitable[msg.StoredAnswer | DispatchFailure]]


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """Outcome of a non-repeatable request: an answer or a refusal."""

    code: ResultCode
    answer: msg.StoredAnswer | None = None
    message: str = ''


@dataclass(slots=True, eq=False)
class _Waiter:
    dispatch: Dispatcher
    done: trio.Event
    answer: msg.StoredAnswer | None = None
    outcome: ClaimOutcome | None = None


class ClaimComponent(Component):
    """Feeds the claim core with events and performs its actions."""

    def __init__(
        self, store: ClaimStore, clock: Clock, settings: ClaimSettings
    ) -> None:
        """Create the component.

        :param store: reads and writes claim rows and answers.
        :param clock: clock of the process.
        :param settings: timeouts and limits of the core.
        """
        self._store = store
        self._clock = clock
        self._core = ClaimCore(settings, clock.get_now())
        self._waiters: dict[str, _Waiter] = {}
        #: Returns the number of living daemons, which share the commit budget.
        self.count_daemons: Callable[[], int] = _count_single_daemon
        self._nursery: trio.Nursery | None = None

    @classmethod
    def connect(cls, platform: HttpClient, clock: Clock) -> 'ClaimComponent':
        """Create a component that stores its rows on a platform.

        :param platform: HTTP client of the platform.
        :param clock: clock of the process.
        """
        store = ClaimStore(TableClient(platform), ObjectClient(platform))
        return cls(store, clock, ClaimSettings())

    @property
    def core(self) -> ClaimCore:
        """Core that decides the claims of this daemon."""
        return self._core

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the timer of the core.

        :param nursery: nursery that runs commits, reads and dispatches.
        """
        self._nursery = nursery
        nursery.start_soon(self._run_timer)

    async def drain(self) -> None:
        """Wait up to 30 s until no claim is pending."""
        with trio.move_on_after(_DRAIN_SECONDS):
            while self._core.pending_count:
                await trio.sleep(_TICK_INTERVAL / _MILLISECONDS_PER_SECOND)

    async def run_once(
        self, request: msg.ClaimRequested, dispatch: Dispatcher
    ) -> ClaimOutcome:
        """Run a request at most once across all daemons.

        The dispatch continues if the caller of this method is cancelled, so
        that the answer is stored for a retry of the request.

        :param request: key and digest of the request.
        :param dispatch: sends the request; called at most once.
        :raises RuntimeError: if the claim ended without an outcome.
        """
        waiter = _Waiter(dispatch, trio.Event())
        self._waiters[request.request_id] = waiter
        self._process_event(request)
        await waiter.done.wait()
        if waiter.outcome is None:
            raise RuntimeError('claim ended without an outcome')
        return waiter.outcome

    async def _run_timer(self) -> None:
        while True:
            await trio.sleep(_TICK_INTERVAL / _MILLISECONDS_PER_SECOND)
            self._core.set_commit_rate(COMMIT_BUDGET / self.count_daemons())
            self._process_event(msg.ClaimTick())

    def _process_event(self, event: msg.ClaimEvent) -> None:
        for action in self._core.handle(event, self._clock.get_now()):
            self._perform(action)

    def _perform(self, action: msg.ClaimAction) -> None:
        match action:
            case msg.CommitBatch():
                self._spawn(self._commit, action)
            case msg.ReadRow():
                self._spawn(self._read, action)
            case msg.Dispatch():
                self._spawn(self._dispatch, action)
            case msg.RefuseClaim():
                self._complete(action.request_id, ClaimOutcome(action.code))
            case msg.ReplayAnswer():
                outcome = ClaimOutcome(ResultCode.REPLAYED, action.answer)
                self._complete(action.request_id, outcome)
            case msg.ForwardAnswer():
                answer = self._waiters[action.request_id].answer
                outcome = ClaimOutcome(ResultCode.OK, answer)
                self._complete(action.request_id, outcome)

    def _spawn(
        self, task: Callable[[Any], Awaitable[None]], action: msg.ClaimAction
    ) -> None:
        if self._nursery is None:
            raise RuntimeError('claim component is not started')
        self._nursery.start_soon(task, action)

    def _complete(self, request_id: str, outcome: ClaimOutcome) -> None:
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None:
            waiter.outcome = outcome
            waiter.done.set()

    async def _commit(self, action: msg.CommitBatch) -> None:
        self._process_event(await self._store.commit(action))

    async def _read(self, action: msg.ReadRow) -> None:
        self._process_event(await self._store.read(action.key))

    async def _dispatch(self, action: msg.Dispatch) -> None:
        request_id = action.request_id
        waiter = self._waiters[request_id]
        dispatched = await waiter.dispatch()
        if isinstance(dispatched, msg.StoredAnswer):
            waiter.answer = dispatched
            self._process_event(msg.EndpointAnswered(request_id, dispatched))
            return
        self._complete(
            request_id,
            ClaimOutcome(dispatched.code, message=dispatched.message),
        )
        event_type = msg.AnswerLost if dispatched.is_sent else msg.NothingSent
        self._process_event(event_type(request_id))


def _count_single_daemon() -> int:
    return 1
