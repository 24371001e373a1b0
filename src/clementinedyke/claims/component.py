"""Runs the claim core of a daemon against the table service."""

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
#: Commits per second of all daemons; the platform takes several hundred.
COMMIT_BUDGET = 200
#: Longest wait for claims in progress when the daemon stops.
_DRAIN_SECONDS = 30


@dataclass(frozen=True, slots=True)
class DispatchFailure:
    """A dispatch without a whole answer."""

    code: ResultCode
    is_sent: bool
    message: str


#: Sends the request once and tells how that ended.
Dispatcher = Callable[[], Awaitable[msg.StoredAnswer | DispatchFailure]]


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """End of a non-repeatable request: an answer or a refusal."""

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
    """Owns the claim core and its calls to the table service."""

    def __init__(
        self, store: ClaimStore, clock: Clock, settings: ClaimSettings
    ) -> None:
        """Create the component.

        :param store: rows and answers on the platform.
        :param clock: clock of this process.
        :param settings: bounds of the core.
        """
        self._store = store
        self._clock = clock
        self._core = ClaimCore(settings, clock.get_now())
        self._waiters: dict[str, _Waiter] = {}
        #: Returns the number of living daemons, which share the budget.
        self.count_daemons: Callable[[], int] = _count_one
        self._nursery: trio.Nursery | None = None

    @classmethod
    def connect(cls, platform: HttpClient, clock: Clock) -> 'ClaimComponent':
        """Return a component that keeps its rows on a platform.

        :param platform: HTTP client of the platform.
        :param clock: clock of this process.
        """
        store = ClaimStore(TableClient(platform), ObjectClient(platform))
        return cls(store, clock, ClaimSettings())

    @property
    def core(self) -> ClaimCore:
        """Core that decides on claims."""
        return self._core

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the timer of the core.

        :param nursery: nursery that runs claims and dispatches.
        """
        self._nursery = nursery
        nursery.start_soon(self._tick_forever)

    async def drain(self) -> None:
        """Wait until no claim is in progress, for a bounded time."""
        with trio.move_on_after(_DRAIN_SECONDS):
            while self._core.pending_count:
                await trio.sleep(_TICK_INTERVAL / _MILLISECONDS_PER_SECOND)

    async def run_once(
        self, request: msg.ClaimRequested, dispatch: Dispatcher
    ) -> ClaimOutcome:
        """Run a request at most once over all daemons.

        The dispatch goes on if the caller of this method is cancelled, so
        that the answer is kept for the next try.

        :param request: identity and digest of the request.
        :param dispatch: sends the request; called at most once.
        """
        waiter = _Waiter(dispatch, trio.Event())
        self._waiters[request.request_id] = waiter
        self._feed(request)
        await waiter.done.wait()
        if waiter.outcome is None:
            raise RuntimeError('claim ended without an outcome')
        return waiter.outcome

    async def _tick_forever(self) -> None:
        while True:
            await trio.sleep(_TICK_INTERVAL / _MILLISECONDS_PER_SECOND)
            self._core.set_commit_rate(COMMIT_BUDGET / self.count_daemons())
            self._feed(msg.ClaimTick())

    def _feed(self, event: msg.ClaimEvent) -> None:
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
                self._end(action.request_id, ClaimOutcome(action.code))
            case msg.ReplayAnswer():
                outcome = ClaimOutcome(ResultCode.REPLAYED, action.answer)
                self._end(action.request_id, outcome)
            case msg.ForwardAnswer():
                answer = self._waiters[action.request_id].answer
                outcome = ClaimOutcome(ResultCode.OK, answer)
                self._end(action.request_id, outcome)

    def _spawn(
        self, task: Callable[[Any], Awaitable[None]], action: msg.ClaimAction
    ) -> None:
        if self._nursery is None:
            raise RuntimeError('component was not started')
        self._nursery.start_soon(task, action)

    def _end(self, request_id: str, outcome: ClaimOutcome) -> None:
        waiter = self._waiters.pop(request_id, None)
        if waiter is not None:
            waiter.outcome = outcome
            waiter.done.set()

    async def _commit(self, action: msg.CommitBatch) -> None:
        self._feed(await self._store.commit(action))

    async def _read(self, action: msg.ReadRow) -> None:
        self._feed(await self._store.read(action.key))

    async def _dispatch(self, action: msg.Dispatch) -> None:
        request_id = action.request_id
        waiter = self._waiters[request_id]
        ended = await waiter.dispatch()
        if isinstance(ended, msg.StoredAnswer):
            waiter.answer = ended
            self._feed(msg.EndpointAnswered(request_id, ended))
            return
        self._end(request_id, ClaimOutcome(ended.code, message=ended.message))
        event_type = msg.AnswerLost if ended.is_sent else msg.NothingSent
        self._feed(event_type(request_id))


def _count_one() -> int:
    return 1
