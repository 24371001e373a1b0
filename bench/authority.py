"""Decisions of the authority cores per second, store writes, hand-over times.

Run with ``.venv/bin/python -m bench.authority`` from the root of the checkout.
Store writes and hand-over times are counted in virtual time.
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

SCOPES = 27
CANDIDATES = 3
VIRTUAL_SECONDS = 120
TICK = 200
ROUNDS = 20000
ALL_TARGETS = frozenset(Fencing)


def create_lease(name: str) -> LeaseCore:
    """Return a lease core of a host.

    :param name: name of the host.
    """
    identity = Identity(name, f'{name}:1', f'{name}-1')
    return LeaseCore(identity, random.Random(name))


def measure_leases() -> float:
    """Return lease decisions per second: ticks and renewals of a holder."""
    core = create_lease('a')
    store = LeaseStore()
    started = time.perf_counter()
    for number in range(ROUNDS):
        store.drive(core, number * TICK)
    return ROUNDS / (time.perf_counter() - started)


class LeaseStore:
    """One lease row that answers at once."""

    def __init__(self) -> None:
        """Create an absent row."""
        self.row: Any = None
        self.version = 0
        self.calls: Counter[str] = Counter()

    def drive(self, core: LeaseCore, now: int) -> None:
        """Tick a core and answer its calls.

        :param core: core of one candidate.
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
    """Return orders per second from wish to known outcome."""
    core = OutboxCore('service/chat')
    core.handle(TenureBegun(1, 1), 0)
    core.handle(OutboxTick(ALL_TARGETS), 0)
    core.handle(OrdersRead(()), 0)
    started = time.perf_counter()
    for number in range(ROUNDS):
        request = OrderRequested(
            'engine', Fencing.CHECKED, OrderKind.ROLE, f'role-{number}'
        )
        core.handle(request, number)
        actions = core.handle(OutboxTick(ALL_TARGETS), number)
        while actions:
            event = _answer_order(actions.pop(0), number)
            actions.extend(core.handle(event, number))
            actions.extend(core.handle(OutboxTick(ALL_TARGETS), number))
    return ROUNDS / (time.perf_counter() - started)


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
    """Return store calls per second of leases and usage parts.

    :param daemons: number of daemons, each of which ends work all the time.
    """
    leases = [
        (
            LeaseStore(),
            [create_lease(f'{number}') for number in range(CANDIDATES)],
        )
        for _ in range(SCOPES)
    ]
    parts = [PartCore() for _ in range(daemons)]
    calls: Counter[str] = Counter()
    for now in range(0, VIRTUAL_SECONDS * 1000, TICK):
        for store, cores in leases:
            _drive_leases(store, cores, now)
        calls['WritePart'] += sum(_drive_part(part, now) for part in parts)
    for counted, _ in leases:
        calls.update(counted.calls)
    return {
        kind: round(count / VIRTUAL_SECONDS, 1)
        for kind, count in sorted(calls.items())
    }


def _drive_leases(store: LeaseStore, cores: list[LeaseCore], now: int) -> None:
    for core in cores:
        store.drive(core, now)


def _drive_part(part: PartCore, now: int) -> int:
    part.handle(WorkDone({'customer/tokens': 1}), now)
    actions = part.handle(UsageTick(), now)
    for action in actions:
        version = action.version + 1
        part.handle(PartWritten(action.window, action.row, version), now)
    return len(actions)


def measure_hand_over(name: str, fault: str) -> int | None:
    """Return virtual milliseconds from lapse to the successor's first order.

    :param name: target of the orders.
    :param fault: what becomes of the former holder after its end.
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
    lapsed_at = world.now
    if fault == 'restarted':
        world.start(holder.host, holder.rate)
    return _wait_for_order(world, name, holder, fault, lapsed_at)


def _wait_for_order(
    world: World, name: str, holder: Any, fault: str, lapsed_at: int
) -> int | None:
    fence = holder.lease.fence
    for number in range(1000):
        if fault == 'frozen' and world.now - lapsed_at > 20000:
            holder.is_frozen = False
        world.want(name, number)
        world.run(STEP)
        if any(seen > fence for seen, _ in world.targets[name].obeyed):
            return world.now - lapsed_at
    return None


def main() -> None:
    """Print every figure."""
    print(
        f'lease ticks and renewals decided per second: {measure_leases():.0f}'
    )
    print(f'orders decided per second: {measure_orders():.0f}')
    for daemons in (7, 330):
        print(f'calls/s at {daemons} daemons: {count_calls(daemons)}')
    for fault in ('killed', 'restarted', 'frozen'):
        for name in FENCING:
            waited = measure_hand_over(name, fault)
            print(f'lapse to first order, {fault}, {name}: {waited} ms')


if __name__ == '__main__':
    main()
