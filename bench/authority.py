"""Measures decision rates, store calls and handover times of authority.

Run with ``.venv/bin/python -m bench.authority`` from the root of the checkout.
Store calls and handover times are measured in virtual time.
"""

import random
import time
from collections import Counter
from typing import Any

from tests.authority_world import FENCING, STEP, Mechanisms, World

from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.messages import LeaseRead, LeaseTick, LeaseWritten
from clementinedyke.leases.types import Fencing, Identity
from clementinedyke.orders.core import OutboxCore
from clementinedyke.orders.messages import (
    OrderAnswered,
    OrderRecorded,
    OrderRequested,
    OrdersRead,
    OutboxTick,
    StateRead,
    TenureBegun,
)
from clementinedyke.orders.types import OrderAnswer, OrderKind
from clementinedyke.usage.core import PartCore
from clementinedyke.usage.messages import PartWritten, UsageTick, WorkDone

#: Scopes, each with one lease.
SCOPE_COUNT = 27
#: Hosts that compete for each lease.
CANDIDATE_COUNT = 3
VIRTUAL_SECONDS = 120
#: Milliseconds between ticks.
TICK_INTERVAL = 200
ROUND_COUNT = 20000
ALL_FENCING_MODES = frozenset(Fencing)


def create_lease_core(name: str) -> LeaseCore:
    """Return the lease core of a host.

    :param name: name of the host.
    """
    identity = Identity(name, f'{name}:1', f'{name}-1')
    return LeaseCore(identity, random.Random(name))


def measure_leases() -> float:
    """Return the ticks of a lease holder per second, renewals included."""
    core = create_lease_core('a')
    store = LeaseStore()
    started = time.perf_counter()
    for number in range(ROUND_COUNT):
        store.tick(core, number * TICK_INTERVAL)
    return ROUND_COUNT / (time.perf_counter() - started)


class LeaseStore:
    """In-memory store of one lease row that answers without delay."""

    def __init__(self) -> None:
        """Create a store without the row."""
        self.row: Any = None
        self.version = 0
        self.calls: Counter[str] = Counter()

    def tick(self, core: LeaseCore, now: int) -> None:
        """Tick a core and answer its store calls.

        :param core: lease core of one candidate host.
        :param now: virtual time in milliseconds.
        """
        actions = core.handle(LeaseTick(), now)
        while actions:
            event = self._answer(actions.pop(0))
            if event:
                actions.extend(core.handle(event, now))

    def _answer(self, action: Any) -> LeaseRead | LeaseWritten | None:
        kind = type(action).__name__
        self.calls[kind] += 1
        if kind == 'ReadLease':
            return LeaseRead(self.row, self.version)
        if kind == 'WriteLease' and action.version == self.version:
            self.version += 1
            self.row = action.row
            return LeaseWritten(action.row.nonce, self.version)
        return None


def measure_orders() -> float:
    """Return how many orders per second run from request to outcome."""
    core = OutboxCore('service/chat')
    core.handle(TenureBegun(1, 1), 0)
    core.handle(OutboxTick(ALL_FENCING_MODES), 0)
    core.handle(OrdersRead(()), 0)
    started = time.perf_counter()
    for number in range(ROUND_COUNT):
        request = OrderRequested(
            'engine', Fencing.CHECKED, OrderKind.ROLE, f'role-{number}'
        )
        core.handle(request, number)
        actions = core.handle(OutboxTick(ALL_FENCING_MODES), number)
        while actions:
            event = _answer_order(actions.pop(0), number)
            actions.extend(core.handle(event, number))
            actions.extend(core.handle(OutboxTick(ALL_FENCING_MODES), number))
    return ROUND_COUNT / (time.perf_counter() - started)


def _answer_order(action: Any, now: int) -> Any:
    kind = type(action).__name__
    if kind == 'RecordOrder':
        return OrderRecorded(action.target, action.row, action.version + 1)
    if kind == 'SendOrder':
        return OrderAnswered(
            action.target, action.row.order_id, OrderAnswer.ACCEPTED
        )
    return StateRead(action.target, action.order_id)


def count_calls(daemons: int) -> dict[str, float]:
    """Return the store calls per second for leases and usage parts.

    :param daemons: number of daemons; each completes work on every tick.
    """
    leases = [
        (
            LeaseStore(),
            [
                create_lease_core(f'{number}')
                for number in range(CANDIDATE_COUNT)
            ],
        )
        for _ in range(SCOPE_COUNT)
    ]
    parts = [PartCore() for _ in range(daemons)]
    calls: Counter[str] = Counter()
    for now in range(0, VIRTUAL_SECONDS * 1000, TICK_INTERVAL):
        for store, cores in leases:
            _tick_leases(store, cores, now)
        calls['WritePart'] += sum(_tick_part(part, now) for part in parts)
    for lease_store, _ in leases:
        calls.update(lease_store.calls)
    return {
        kind: round(count / VIRTUAL_SECONDS, 1)
        for kind, count in sorted(calls.items())
    }


def _tick_leases(store: LeaseStore, cores: list[LeaseCore], now: int) -> None:
    for core in cores:
        store.tick(core, now)


def _tick_part(part: PartCore, now: int) -> int:
    part.handle(WorkDone({'customer/tokens': 1}), now)
    actions = part.handle(UsageTick(), now)
    for action in actions:
        version = action.version + 1
        part.handle(PartWritten(action.window, action.row, version), now)
    return len(actions)


def measure_handover(name: str, fault: str) -> int | None:
    """Return the virtual time from lease expiry to the next holder's order.

    The result is in milliseconds; None if no order arrived in 1000 steps.

    :param name: name of the target that receives the orders.
    :param fault: 'killed', 'restarted' (killed, then started at expiry) or
        'frozen' (until 20 s after expiry); applied to the former holder.
    """
    world = World(1, Mechanisms(), host_lag=60000)
    world.run(70000)
    holder = world.get_holders()[0]
    if fault == 'frozen':
        holder.is_frozen = True
    else:
        world.kill(holder.host)
    while holder.lease.is_held(holder.now):
        world.run(STEP)
    expired_at = world.now
    if fault == 'restarted':
        world.start(holder.host, holder.rate)
    return _wait_for_order(world, name, holder, fault, expired_at)


def _wait_for_order(
    world: World, name: str, holder: Any, fault: str, expired_at: int
) -> int | None:
    fence = holder.lease.fence
    for number in range(1000):
        if fault == 'frozen' and world.now - expired_at > 20000:
            holder.is_frozen = False
        world.want(name, number)
        world.run(STEP)
        if any(seen > fence for seen, _ in world.targets[name].obeyed):
            return world.now - expired_at
    return None


def main() -> None:
    """Print all figures."""
    print(
        f'lease ticks and renewals decided per second: {measure_leases():.0f}'
    )
    print(f'orders decided per second: {measure_orders():.0f}')
    for daemons in (7, 330):
        print(f'calls/s at {daemons} daemons: {count_calls(daemons)}')
    for fault in ('killed', 'restarted', 'frozen'):
        for name in FENCING:
            delay = measure_handover(name, fault)
            print(f'lapse to first order, {fault}, {name}: {delay} ms')


if __name__ == '__main__':
    main()
