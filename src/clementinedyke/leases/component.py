"""Runs the lease cores of a daemon and executes their platform calls."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import trio
from absl import logging
from result import Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.handover import HandoverCore
from clementinedyke.leases.messages import (
    CloseOrders,
    DeathConfirmed,
    FenceRead,
    HostsRead,
    LeaseAction,
    LeaseCallFailed,
    LeaseEvent,
    LeaseRead,
    LeaseTick,
    LeaseWritten,
    OrdersClosed,
    ReadFence,
    ReadHosts,
    ReadLease,
    StopRequested,
    WriteLease,
)
from clementinedyke.leases.types import Identity, LeaseRow, LeaseTiming
from clementinedyke.rows import (
    ABSENT,
    Commit,
    Condition,
    RowStore,
    Write,
    convert_row,
)
from clementinedyke.store_revision import get_era
from clementinedyke.tasks import run_restarting

LEASES_TABLE = 'leases'
FENCES_TABLE = 'fences'
#: Interval between ticks of a lease core.
TICK_INTERVAL: Milliseconds = 200
#: Interval for scopes that this daemon neither holds nor is a candidate for:
#: with 27 scopes the short interval used several percent of a CPU core.
_IDLE_INTERVAL: Milliseconds = 1000
#: Interval at which a stop looks whether the leases are released.
_RELEASE_POLL: Milliseconds = 20
#: Maximum age of the host list that the scopes of a daemon share.
_HOSTS_INTERVAL: Milliseconds = 9000
_MILLISECONDS_PER_SECOND = 1000


class OrderSource(Protocol):
    """Sends orders under a lease."""

    async def close_orders(self) -> None:
        """Return once no order sent earlier can still reach its target."""


@dataclass(frozen=True, slots=True)
class LeasePolicy:
    """Durations of leases and a handover core that all scopes share.

    ``timing`` None selects the default durations; ``handover`` None gives each
    scope its own :class:`HandoverCore`. ``release_timeout`` is the longest time
    that a stop waits for the leases to be released.
    """

    timing: LeaseTiming | None = None
    handover: HandoverCore | None = None
    release_timeout: Milliseconds = 15000


class HostList(Protocol):
    """Host list of the platform, used to prove that former holders ended."""

    async def list_hosts(self) -> Result[frozenset[str], TableFailure]:
        """Return the names of the listed hosts, or why the call failed."""


class LeaseComponent(Component):
    """Acquires, renews and releases the leases of a set of scopes."""

    def __init__(
        self,
        identity: Identity,
        tables: RowStore,
        hosts: HostList,
        clock: Clock,
        nonces: random.Random,
        is_candidate: Callable[[str], bool],
        policy: LeasePolicy | None = None,
    ) -> None:
        """Create the component; the daemon address must already be bound.

        :param identity: identity of this run, with its bound address.
        :param tables: client of the table service.
        :param hosts: client of the host list.
        :param clock: clock of the process.
        :param nonces: seeded random generator for the nonces of writes.
        :param is_candidate: returns whether this daemon is a candidate for
            the lease of a scope.
        :param policy: durations and handover core; None for the defaults.
        """
        self._identity = identity
        self._tables = tables
        self._hosts = hosts
        self._clock = clock
        self._nonces = nonces
        self._is_candidate = is_candidate
        self._policy = policy or LeasePolicy()
        self._last_hosts: HostsRead | None = None
        self._cores: dict[str, LeaseCore] = {}
        self._sources: dict[str, list[OrderSource]] = {}
        self._pending: dict[str, list[LeaseEvent]] = {}
        self._deaths: set[str] = set()
        self._nursery: trio.Nursery | None = None
        self._wakes: dict[str, trio.Event] = {}
        self._changes = 0

    @property
    def changes(self) -> int:
        """Number of leases gained or lost since the start."""
        return self._changes

    @property
    def cores(self) -> Mapping[str, LeaseCore]:
        """Lease cores by scope, read-only."""
        return self._cores

    def add_scope(self, scope: str) -> LeaseCore:
        """Return the lease core of a scope, adding the scope if it is new.

        :param scope: for example ``service/chat`` or ``usage``.
        """
        if scope not in self._cores:
            self._cores[scope] = LeaseCore(
                self._identity,
                self._nonces,
                self._policy.timing,
                self._policy.handover,
            )
            self._sources[scope] = []
            self._wakes[scope] = trio.Event()
            self._pending[scope] = [
                DeathConfirmed(incarnation)
                for incarnation in sorted(self._deaths)
            ]
            if self._nursery is not None:
                self._start_scope(self._nursery, scope)
        return self._cores[scope]

    async def remove_scope(self, scope: str) -> None:
        """Release the lease of a scope and remove the scope.

        The scope must not be added again before this method returns.

        :param scope: scope that was added before.
        """
        core = self._cores[scope]
        self._request_stop(scope)
        while not core.is_released:
            await trio.sleep(_RELEASE_POLL / _MILLISECONDS_PER_SECOND)
        self._cores.pop(scope)
        self._sources.pop(scope)
        self._pending.pop(scope)
        self._wakes.pop(scope)

    def add_order_source(self, scope: str, source: OrderSource) -> None:
        """Register a source of orders to close before the lease is given up.

        :param scope: scope of the lease.
        :param source: component that sends orders under the lease.
        """
        self._sources[scope].append(source)

    def confirm_death(self, incarnation: str) -> None:
        """Record an operator's confirmation that a process has ended.

        :param incarnation: run of the process that ended.
        """
        if incarnation in self._deaths:
            return
        self._deaths.add(incarnation)
        for pending in self._pending.values():
            pending.append(DeathConfirmed(incarnation))

    async def start(self, nursery: trio.Nursery) -> None:
        """Start one task per scope.

        :param nursery: nursery that runs the tasks.
        """
        self._nursery = nursery
        for scope in self._cores:
            self._start_scope(nursery, scope)

    async def drain(self) -> None:
        """Do nothing: stop() releases the leases after their users drained."""

    async def stop(self) -> None:
        """Release all leases, waiting no longer than the release timeout.

        A lease that is still held then is free for others when it expires.
        """
        for scope in self._cores:
            self._request_stop(scope)
        timeout = self._policy.release_timeout / _MILLISECONDS_PER_SECOND
        with trio.move_on_after(timeout):
            while self._list_unreleased():
                await trio.sleep(_RELEASE_POLL / _MILLISECONDS_PER_SECOND)
        left = self._list_unreleased()
        if left:
            logging.warning(
                'event=leases_not_released scopes=%s', ','.join(left)
            )

    def _start_scope(self, nursery: trio.Nursery, scope: str) -> None:
        task = partial(self._run_scope, scope)
        nursery.start_soon(run_restarting, task, f'lease.{scope}')

    def _request_stop(self, scope: str) -> None:
        self._pending[scope].append(StopRequested())
        self._wakes[scope].set()

    def _list_unreleased(self) -> list[str]:
        return [
            scope for scope, core in self._cores.items() if not core.is_released
        ]

    async def _run_scope(self, scope: str) -> None:
        core = self._cores[scope]
        was_held = False
        while self._cores.get(scope) is core:
            tick = LeaseTick(self._is_candidate(scope))
            events = [*self._pending[scope], tick]
            self._pending[scope].clear()
            for event in events:
                await self._handle_event(scope, core, event)
            is_held = core.is_held(self._clock.get_now())
            if is_held != was_held:
                self._changes += 1
                logging.info(
                    'event=lease scope=%s held=%s fence=%d',
                    scope,
                    is_held,
                    core.fence,
                )
            was_held = is_held
            is_active = is_held or tick.is_candidate
            wait = TICK_INTERVAL if is_active else _IDLE_INTERVAL
            await self._wait_for_stop(scope, wait)

    async def _wait_for_stop(self, scope: str, timeout: Milliseconds) -> None:
        """Sleep until the timeout, less if a stop is requested meanwhile."""
        wake = self._wakes[scope]
        if wake.is_set():
            # Later ticks of a stop wait for calls of the store.
            await trio.sleep(_RELEASE_POLL / _MILLISECONDS_PER_SECOND)
            return
        with trio.move_on_after(timeout / _MILLISECONDS_PER_SECOND):
            await wake.wait()

    async def _handle_event(
        self, scope: str, core: LeaseCore, event: LeaseEvent
    ) -> None:
        actions = core.handle(event, self._clock.get_now())
        while actions:
            outcome = await self._execute(scope, actions.pop(0))
            actions.extend(core.handle(outcome, self._clock.get_now()))

    async def _execute(self, scope: str, action: LeaseAction) -> LeaseEvent:
        match action:
            case ReadLease():
                return await self._read_lease(scope)
            case ReadFence():
                return await self._read_fence(scope)
            case WriteLease():
                return await self._write_lease(scope, action)
            case ReadHosts():
                return await self._read_hosts()
            case CloseOrders():
                return await self._close_orders(scope)

    async def _read_lease(self, scope: str) -> LeaseEvent:
        # The revision of a list tells the era also if the row is absent.
        answer = await self._tables.list_rows(LEASES_TABLE, scope)
        if answer.is_err():
            return LeaseCallFailed()
        era = get_era(answer.unwrap().revision)
        for row in answer.unwrap().rows:
            if row.key == scope:
                lease = convert_row(LEASES_TABLE, row, LeaseRow)
                if lease is None:
                    # Nobody can tell whether it is held.
                    return LeaseCallFailed()
                return LeaseRead(lease, row.version, era)
        return LeaseRead(None, ABSENT, era)

    async def _read_fence(self, scope: str) -> LeaseEvent:
        answer = await self._tables.get_row(FENCES_TABLE, scope)
        row = None if answer.is_err() else answer.unwrap()
        fence = convert_row(FENCES_TABLE, row, int)
        if row is None or fence is None:
            return LeaseCallFailed()
        return FenceRead(fence, row.version)

    async def _write_lease(self, scope: str, action: WriteLease) -> LeaseEvent:
        writes = [Write(LEASES_TABLE, scope, action.row)]
        if action.raises_fence:
            writes.append(Write(FENCES_TABLE, scope, action.row.fence))
        conditions = [Condition(LEASES_TABLE, scope, action.version)]
        answer = await self._tables.commit(conditions, writes)
        outcome = None if answer.is_err() else answer.unwrap()
        if isinstance(outcome, Commit):
            return LeaseWritten(action.row.nonce, outcome.revision)
        return LeaseCallFailed()

    async def _read_hosts(self) -> LeaseEvent:
        """Return the host list, read again once the shared copy is too old.

        Sharing is safe: the core dates the list by the time of the request,
        so an older list only proves less.
        """
        asked_at = self._clock.get_now()
        known = self._last_hosts
        if known is not None and asked_at - known.asked_at < _HOSTS_INTERVAL:
            return known
        answer = await self._hosts.list_hosts()
        if answer.is_err():
            return LeaseCallFailed()
        self._last_hosts = HostsRead(answer.unwrap(), asked_at)
        return self._last_hosts

    async def _close_orders(self, scope: str) -> LeaseEvent:
        for source in self._sources.get(scope, ()):
            await source.close_orders()
        return OrdersClosed()
