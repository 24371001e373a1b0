"""Runs the claim core of a daemon against the table service."""

import base64
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from clementinedyke import claim_messages as msg
from clementinedyke.claim import ClaimCore, ClaimSettings
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.codes import ResultCode
from clementinedyke.components import Component
from clementinedyke.platform.tables import (
    Condition,
    Conflict,
    TableClient,
    TableFailure,
    Write,
)

CLAIMS_TABLE = 'claims'
_TICK_INTERVAL: Milliseconds = 50
_MILLISECONDS_PER_SECOND = 1000
#: Longest wait for claims in progress when the daemon stops.
_DRAIN_SECONDS = 30


@dataclass(frozen=True, slots=True)
class DispatchFailure:
    """A dispatch without a whole answer."""

    code: ResultCode
    is_sent: bool
    message: str


#: Sends the request once and tells how that ended.
Dispatcher = Callable[[], Awaitable[msg.KeptAnswer | DispatchFailure]]


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """End of a non-repeatable request: an answer or a refusal."""

    code: ResultCode
    answer: msg.KeptAnswer | None = None
    message: str = ''


class _WireAnswer(msgspec.Struct):
    status: int
    headers: list[tuple[str, str]]
    body: str


class _WireRow(msgspec.Struct):
    digest: str
    nonce: str
    state: str
    answer: _WireAnswer | None = None


@dataclass(slots=True, eq=False)
class _Waiter:
    dispatch: Dispatcher
    done: trio.Event
    answer: msg.KeptAnswer | None = None
    outcome: ClaimOutcome | None = None


class ClaimComponent(Component):
    """Owns the claim core and its calls to the table service."""

    def __init__(
        self, tables: TableClient, clock: Clock, settings: ClaimSettings
    ) -> None:
        """Create the component.

        :param tables: client of the table service.
        :param clock: clock of this process.
        :param settings: bounds of the core.
        """
        self._tables = tables
        self._clock = clock
        self._core = ClaimCore(settings, clock.get_now())
        self._waiters: dict[str, _Waiter] = {}
        self._nursery: trio.Nursery | None = None

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
            case msg.PassAnswer():
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
        outcome = await self._tables.commit(
            [
                Condition(CLAIMS_TABLE, item.key, item.version)
                for item in action.writes
            ],
            [
                Write(CLAIMS_TABLE, item.key, _encode(item.row))
                for item in action.writes
            ],
        )
        if outcome.is_err():
            is_unknown = outcome.unwrap_err() is TableFailure.UNKNOWN
            self._feed(msg.BatchFailed(action.batch_id, is_unknown))
            return
        done = outcome.unwrap()
        if isinstance(done, Conflict):
            keys = frozenset(found.key for found in done.conflicts)
            self._feed(msg.BatchConflicted(action.batch_id, keys))
        else:
            self._feed(msg.BatchApplied(action.batch_id, done.revision))

    async def _read(self, action: msg.ReadRow) -> None:
        outcome = await self._tables.get_row(CLAIMS_TABLE, action.key)
        if outcome.is_err():
            self._feed(msg.ReadFailed(action.key))
            return
        row = outcome.unwrap()
        if row is None:
            self._feed(msg.RowRead(action.key, 0, None))
        else:
            event = msg.RowRead(action.key, row.version, _decode(row.value))
            self._feed(event)

    async def _dispatch(self, action: msg.Dispatch) -> None:
        request_id = action.request_id
        waiter = self._waiters[request_id]
        ended = await waiter.dispatch()
        if isinstance(ended, msg.KeptAnswer):
            waiter.answer = ended
            self._feed(msg.EndpointAnswered(request_id, ended))
            return
        self._end(request_id, ClaimOutcome(ended.code, message=ended.message))
        event_type = msg.EndpointLost if ended.is_sent else msg.NothingSent
        self._feed(event_type(request_id))


def _encode(row: msg.ClaimRow) -> Any:
    answer = None
    if row.answer is not None:
        answer = _WireAnswer(
            row.answer.status,
            list(row.answer.headers),
            base64.b64encode(row.answer.body).decode(),
        )
    wire = _WireRow(row.digest, row.nonce, row.state.value, answer)
    return msgspec.to_builtins(wire)


def _decode(content: Any) -> msg.ClaimRow:
    wire = msgspec.convert(content, _WireRow)
    answer = None
    if wire.answer is not None:
        answer = msg.KeptAnswer(
            wire.answer.status,
            tuple(wire.answer.headers),
            base64.b64decode(wire.answer.body),
        )
    state = msg.ClaimState(wire.state)
    return msg.ClaimRow(wire.digest, wire.nonce, state, answer)
