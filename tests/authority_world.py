"""Simulation of processes, clocks, store and targets with faults.

Time is virtual, in milliseconds. Each process executes the actions of its
cores one at a time, so that it can be frozen between any two actions and
resumed much later.
"""

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from clementinedyke.leases import messages as lm
from clementinedyke.leases import types as lt
from clementinedyke.leases.core import LeaseCore
from clementinedyke.leases.handover import HandoverCore
from clementinedyke.orders import messages as om
from clementinedyke.orders import types as ot
from clementinedyke.orders.core import OutboxCore
from clementinedyke.reference_platform.tables import Condition, Conflict, Write
from clementinedyke.standins.tables import MemoryTables
from clementinedyke.usage import closing_messages as cm
from clementinedyke.usage import messages as um
from clementinedyke.usage.closing import CloserCore
from clementinedyke.usage.core import PartCore

SCOPE = 'service/chat'
USER_TIMEOUT = 5000
STEP = 250
FENCING = {
    'checked': lt.Fencing.CHECKED,
    'ignored': lt.Fencing.IGNORED,
    'interface': lt.Fencing.IGNORED,
}


@dataclass
class Mechanisms:
    """Safety mechanisms, which a test disables to see an invariant fail."""

    fence_check: bool = True
    unreleased: bool = True
    seen_hosts: bool = True
    host_lag: bool = True
    quiet_wait: bool = True
    close_before_release: bool = True
    fence_condition: bool = True
    recorded_first: bool = True
    wait_for_outcome: bool = True
    window_condition: bool = True
    recorded_figures: bool = True
    carried_rest: bool = True
    drift_factor: bool = True
    kept_fence: bool = True
    report_wait: bool = True


class UnseenHostHandover(HandoverCore):
    """Accepts the absence of a host never seen before as proof."""

    def record_hosts(
        self, hosts: frozenset[str], asked_at: int, held_since: int | None
    ) -> None:
        """Treat every host as seen before."""
        self._known_hosts |= {'a', 'b', 'c'}
        super().record_hosts(hosts, asked_at, held_since)


class UnfencedLease(LeaseCore):
    """Orders targets that ignore the fence despite unreleased holders."""

    def may_order(self, fencing: lt.Fencing, now: int) -> bool:
        """Treat every target as one that checks the fence."""
        return super().may_order(lt.Fencing.CHECKED, now)


class OverlappingOutbox(OutboxCore):
    """Records the next order while the outcome of the last is open."""

    def _advance(self, name: str, target: Any, now: int) -> Any:
        target.quiet_until = 0
        if target.requested:
            return self._record_next(name, target, now)
        return super()._advance(name, target, now)


@dataclass
class SentMessage:
    """An order or report in flight, dropped at ``dies_at``."""

    sender: 'Process'
    target: str
    fence: int
    content: Any
    dies_at: int | None = None


@dataclass
class Target:
    """An engine or interface with the orders that it executed.

    ``obeyed`` holds each order with the fence under which it arrived.
    """

    name: str
    fencing: lt.Fencing
    fence: int = 0
    last: ot.OrderRow | None = None
    obeyed: list[tuple[int, ot.OrderRow]] = field(default_factory=list)


class Process:
    """One run of a daemon on a host with its own clock rate."""

    def __init__(self, world: 'World', host: str, run: int, rate: float):
        """Start the run with empty cores."""
        self.world = world
        self.host = host
        self.rate = rate
        self.is_frozen = False
        self.is_dead = False
        self.is_cut = False
        self.is_stopping = False
        self.queue: deque[tuple[Any, Any]] = deque()
        self.inbox: deque[tuple[Any, Any]] = deque()
        self.closing_at: int | None = None
        self.tenure = 0
        self.identity = lt.Identity(host, f'{host}:1', f'{host}-{run}')
        self.lease = world.create_lease(self)
        self.outbox = world.create_outbox()
        self.part = PartCore()
        self.closer = CloserCore(20000)

    @property
    def now(self) -> int:
        """Time by the clock of the process, in milliseconds."""
        return int(self.world.now * self.rate)

    def handle(self, core: Any, event: Any) -> None:
        """Pass an event to a core and queue the returned actions."""
        for action in core.handle(event, self.now):
            self.queue.append((core, action))

    def tick(self) -> None:
        """Send a tick to every core."""
        self.handle(self.lease, lm.LeaseTick())
        if self.closing_at is not None and self.world.now >= self.closing_at:
            self.closing_at = None
            self.handle(self.lease, lm.OrdersClosed())
        allowed = frozenset(
            fencing
            for fencing in lt.Fencing
            if self.lease.may_order(fencing, self.now)
        )
        tenure = self.lease.fence_version if allowed else 0
        if tenure != self.tenure and self.closing_at is None:
            begun = om.TenureBegun(self.lease.fence, tenure)
            self.handle(self.outbox, begun if tenure else om.TenureEnded())
            self.tenure = tenure
        if self.closing_at is None:
            self.handle(self.outbox, om.OutboxTick(allowed))
        self.handle(self.part, um.UsageTick())
        may_report = bool(allowed)
        if self.world.mechanisms.report_wait:
            may_report = lt.Fencing.IGNORED in allowed
        self.handle(self.closer, cm.CloserTick(tenure, may_report))

    def execute_next(self) -> None:
        """Execute the oldest queued action."""
        core, action = self.queue.popleft()
        if isinstance(action, lm.CloseOrders):
            self._close_orders()
            return
        for event in self.world.execute(self, action):
            self.inbox.append((core, event))

    def run(self) -> None:
        """Execute queued actions, handle received events, then tick."""
        left = len(self.queue)
        while self.queue and left:
            left -= 1
            self.execute_next()
        while self.inbox:
            self.handle(*self.inbox.popleft())
        self.tick()

    def _close_orders(self) -> None:
        self.handle(self.outbox, om.TenureEnded())
        self.tenure = 0
        self.queue = deque(
            item for item in self.queue if item[0] is not self.outbox
        )
        self.inbox = deque(
            item for item in self.inbox if item[0] is not self.outbox
        )
        in_flight = [
            message
            for message in self.world.in_flight
            if message.sender is self
        ]
        self.world.lose(in_flight)
        wait = USER_TIMEOUT if in_flight else 0
        if not self.world.mechanisms.close_before_release:
            wait = 0
        self.closing_at = self.world.now + wait


class World:
    """The simulated system; ``step`` advances the virtual time."""

    def __init__(self, seed: int, mechanisms: Mechanisms, host_lag: int = 0):
        """Create three hosts with one process each."""
        self.random = random.Random(seed)
        self.mechanisms = mechanisms
        self.tables = MemoryTables()
        self.now = 0
        self.is_outage = False
        self.lose_answers = 0
        self.host_lag = host_lag
        self.commits: list[tuple[str, ...]] = []
        self.in_flight: list[SentMessage] = []
        self.delayed: list[tuple[Process, Any]] = []
        self.reports: dict[int, list[dict[str, int]]] = {}
        self.report_fences: list[int] = []
        self.ended = 0
        self.host_log: list[tuple[int, frozenset[str]]] = []
        self.targets = {
            name: Target(name, fencing) for name, fencing in FENCING.items()
        }
        self.runs = 0
        self.all_runs: list[Process] = []
        self.processes: dict[str, Process] = {}
        for host, rate in (('a', 0.96), ('b', 1.0), ('c', 1.04)):
            self.start(host, rate)

    def create_lease(self, process: Process) -> LeaseCore:
        """Return a lease core without the disabled mechanisms."""
        mechanisms = self.mechanisms
        handover_type = (
            HandoverCore if mechanisms.seen_hosts else UnseenHostHandover
        )
        lease_type = LeaseCore if mechanisms.unreleased else UnfencedLease
        return lease_type(
            process.identity,
            random.Random(self.random.random()),
            lt.LeaseTiming(
                drift_factor=1.1 if mechanisms.drift_factor else 0.7
            ),
            handover_type(
                process.identity,
                5500 if mechanisms.quiet_wait else 0,
                66000 if mechanisms.host_lag else 0,
            ),
        )

    def create_outbox(self) -> OutboxCore:
        """Return an outbox core without the disabled mechanisms."""
        if self.mechanisms.wait_for_outcome:
            return OutboxCore(SCOPE)
        return OverlappingOutbox(SCOPE)

    def want(self, name: str, number: int) -> None:
        """Request a change of a target in every process that is not frozen."""
        request = om.OrderRequested(
            name, FENCING[name], ot.OrderKind.ROLE, f'role-{number}'
        )
        for process in self.processes.values():
            if not process.is_frozen:
                process.handle(process.outbox, request)

    def get_holders(self) -> list[Process]:
        """Return the processes that consider themselves lease holder."""
        return [
            process
            for process in self.processes.values()
            if process.lease.is_held(process.now)
        ]

    # Faults.

    def start(self, host: str, rate: float) -> None:
        """Start a new run on a host."""
        self.runs += 1
        process = Process(self, host, self.runs, rate)
        self.processes[host] = process
        self.all_runs.append(process)
        self._log_hosts()

    def kill(self, host: str) -> None:
        """Kill a process; its bytes in flight last at most the user timeout."""
        process = self.processes.pop(host)
        process.is_dead = True
        self.lose(
            [message for message in self.in_flight if message.sender is process]
        )
        self._log_hosts()

    def kill_senders(self) -> None:
        """Kill processes with messages in flight and start new runs."""
        for message in list(self.in_flight):
            sender = message.sender
            if self.processes.get(sender.host) is sender:
                self.kill(sender.host)
                self.start(sender.host, sender.rate)
                self._confirm_death(sender)

    def restart_all_but_holders(self) -> None:
        """Restart the other processes; new runs read the lease at once."""
        for process in list(self.processes.values()):
            if process not in self.get_holders():
                self.kill(process.host)
                self.start(process.host, process.rate)

    def bounce(self, host: str) -> None:
        """Make a host leave the list, return and acquire the lease."""
        rates = {name: run.rate for name, run in self.processes.items()}
        self.kill(host)
        self.run(14000)
        others = [name for name in rates if name != host]
        for killed in others:
            self.kill(killed)
        self.start(host, rates[host])
        self.run(16000)
        for started in others:
            self.start(started, rates[started])
        self.run(3000)

    def _confirm_death(self, dead: Process) -> None:
        """Send an operator's death confirmation to every process."""
        confirmed = lm.DeathConfirmed(dead.identity.incarnation)
        for process in self.processes.values():
            process.handle(process.lease, confirmed)

    def freeze_before(self, kind: type[Any]) -> Process | None:
        """Freeze a holder before it executes an action of a kind.

        Returns None if no holder queued such an action within 120 steps.
        """
        for _ in range(120):
            self.run(STEP)
            for process in self.get_holders():
                if any(isinstance(item[1], kind) for item in process.queue):
                    process.is_frozen = True
                    return process
        return None

    def lose(self, in_flight: list[SentMessage]) -> None:
        """Lose connections; their bytes may still arrive until the timeout."""
        for message in in_flight:
            if message.dies_at is None:
                message.dies_at = self.now + USER_TIMEOUT - 1

    def _log_hosts(self) -> None:
        self.host_log.append((self.now, frozenset(self.processes)))

    # Time.

    def step(self) -> None:
        """Advance by one step and run every process that is not frozen."""
        self.now += STEP
        self.check_holders()
        self.in_flight = [
            message
            for message in self.in_flight
            if message.dies_at is None or self.now < message.dies_at
        ]
        for process in list(self.processes.values()):
            if not process.is_frozen:
                process.run()
            if process.lease.is_released:
                self.kill(process.host)
                self.start(process.host, process.rate)

    def run(self, duration: int, deliver: bool = True) -> None:
        """Advance by a duration, delivering messages at once if asked to."""
        for _ in range(duration // STEP):
            self.step()
            while deliver and self.in_flight:
                self.deliver(0)

    def deliver(self, index: int) -> None:
        """Deliver one message in flight."""
        message = self.in_flight.pop(index)
        sender = message.sender
        if message.target == 'usage':
            self._receive_report(message)
            return
        answer = self._receive_order(message)
        if message.dies_at is None and not sender.is_dead:
            self._answer(message, answer)

    def deliver_newest_first(self) -> None:
        """Deliver all messages in reverse order of sending."""
        while self.in_flight:
            self.deliver(len(self.in_flight) - 1)

    def lose_all_connections(self) -> None:
        """Lose the connections of all messages in flight."""
        for index, _ in enumerate(self.in_flight):
            self.lose_connection(index)

    def lose_connection(self, index: int) -> None:
        """Lose the connection of an order, which may still arrive."""
        message = self.in_flight[index]
        if message.dies_at is None and message.target != 'usage':
            self.lose([message])
            self._answer(message, ot.OrderAnswer.LOST)

    def _answer(self, message: SentMessage, answer: ot.OrderAnswer) -> None:
        order_id = message.content.order_id
        event = om.OrderAnswered(message.target, order_id, answer)
        message.sender.inbox.append((message.sender.outbox, event))

    def crash_target(self, name: str) -> None:
        """Restart a target, which loses its last order."""
        target = self.targets[name]
        target.last = None
        if not self.mechanisms.kept_fence:
            target.fence = 0

    # Targets.

    def _receive_order(self, message: SentMessage) -> ot.OrderAnswer:
        target = self.targets[message.target]
        checks = target.fencing is lt.Fencing.CHECKED
        if checks and self.mechanisms.fence_check:
            if message.fence < target.fence:
                return ot.OrderAnswer.STALE
            target.fence = message.fence
        target.obeyed.append((message.fence, message.content))
        target.last = message.content
        return ot.OrderAnswer.ACCEPTED

    def _receive_report(self, message: SentMessage) -> None:
        window, figures = message.content
        self.reports.setdefault(window, []).append(figures)
        self.report_fences.append(message.fence)

    # Actions.

    def execute(self, process: Process, action: Any) -> list[Any]:
        """Execute one action and return the resulting events."""
        return getattr(self, f'_do_{type(action).__name__}')(process, action)

    def _is_unreachable(self, process: Process) -> bool:
        return self.is_outage or process.is_cut

    def _commit(
        self,
        process: Process,
        conditions: list[Condition],
        writes: list[Write],
        late: Any = None,
    ) -> int:
        """Return the revision, 0 if not applied or the answer was lost."""
        if self._is_unreachable(process):
            return 0
        if self.lose_answers and late is None:
            self.lose_answers -= 1
            if self.random.getrandbits(1):
                self.delayed.append((process, (conditions, writes)))
            else:
                self.tables.commit(conditions, writes)
            return 0
        outcome = self.tables.commit(conditions, writes)
        if isinstance(outcome, Conflict):
            return 0
        self.commits.append(tuple(write.table for write in writes))
        return outcome.revision

    def apply_delayed(self) -> None:
        """Apply the delayed commits whose answers were lost."""
        for _, (conditions, writes) in self.delayed:
            self.tables.commit(conditions, writes)
        self.delayed.clear()

    def _get(self, table: str, key: str) -> tuple[Any, int]:
        row = self.tables.get_row(table, key)
        return (row.value, row.version) if row else (None, 0)

    def _do_ReadLease(self, process: Process, _: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [lm.LeaseCallFailed()]
        return [lm.LeaseRead(*self._get('leases', SCOPE))]

    def _do_ReadFence(self, process: Process, _: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [lm.LeaseCallFailed()]
        return [lm.FenceRead(*self._get('fences', SCOPE))]

    def _do_WriteLease(self, process: Process, action: Any) -> list[Any]:
        row = action.row
        conditions = [Condition('leases', SCOPE, action.version)]
        writes = [Write('leases', SCOPE, row)]
        if action.raises_fence:
            writes.append(Write('fences', SCOPE, row.fence))
        revision = self._commit(process, conditions, writes)
        if revision:
            return [lm.LeaseWritten(row.nonce, revision)]
        return [lm.LeaseCallFailed()]

    def _do_ReadHosts(self, process: Process, _: Any) -> list[Any]:
        if self._is_unreachable(process):
            return []
        shown = [
            hosts
            for since, hosts in self.host_log
            if since <= self.now - self.host_lag
        ]
        hosts = shown[-1] if shown else frozenset()
        return [lm.HostsRead(hosts, process.now)]

    def _fence_condition(self, version: int) -> list[Condition]:
        if not self.mechanisms.fence_condition:
            return []
        return [Condition('fences', SCOPE, version)]

    def _do_ReadOrders(self, process: Process, _: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [om.OrdersRead(None)]
        rows = self.tables.list_rows('orders').rows
        return [
            om.OrdersRead(
                tuple(
                    om.StoredOrder(row.key, row.value, row.version)
                    for row in rows
                )
            )
        ]

    def _do_RecordOrder(self, process: Process, action: Any) -> list[Any]:
        if not self.mechanisms.recorded_first:
            return [om.OrderRecorded(action.target, action.row, self.now)]
        version = action.version
        if not self.mechanisms.fence_condition:
            version = self._get('orders', action.target)[1]
        revision = self._commit(
            process,
            [
                Condition('orders', action.target, version),
                *self._fence_condition(action.fence_version),
            ],
            [Write('orders', action.target, action.row)],
        )
        if revision:
            return [om.OrderRecorded(action.target, action.row, revision)]
        return [om.RecordFailed(action.target)]

    def _do_ReadState(self, process: Process, action: Any) -> list[Any]:
        target = self.targets[action.target]
        if process.is_cut:
            return [om.StateFailed(action.target)]
        last = target.last.order_id if target.last else None
        return [om.StateRead(action.target, last)]

    def _do_SendOrder(self, process: Process, action: Any) -> list[Any]:
        if process.is_cut:
            answer = ot.OrderAnswer.NOT_SENT
            return [
                om.OrderAnswered(action.target, action.row.order_id, answer)
            ]
        message = SentMessage(process, action.target, action.fence, action.row)
        self.in_flight.append(message)
        return []

    def _do_WritePart(self, process: Process, action: Any) -> list[Any]:
        key = f'{action.window}/{process.identity.incarnation}'
        conditions = [Condition('usage_parts', key, action.version)]
        if self.mechanisms.window_condition:
            window = str(action.window)
            conditions.append(Condition('usage_windows', window, 0))
        revision = self._commit(
            process, conditions, [Write('usage_parts', key, action.row)]
        )
        if revision:
            return [um.PartWritten(action.window, action.row, revision)]
        return [um.PartCallFailed()]

    def _do_ReadPart(self, process: Process, action: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [um.PartCallFailed()]
        key = f'{action.window}/{process.identity.incarnation}'
        opened, _ = self._get('usage_windows', 'open')
        row, version = self._get('usage_parts', key)
        if not self.mechanisms.carried_rest:
            row = None
        window = opened.window if opened else 0
        return [um.PartRead(action.window, window, row, version)]

    def _do_ReadWindow(self, process: Process, _: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [cm.CloserCallFailed()]
        opened, open_version = self._get('usage_windows', 'open')
        window = opened.window if opened else 1
        row, version = self._get('usage_windows', str(window - 1))
        return [cm.WindowRead(window, open_version, row, version)]

    def _do_WriteWindow(self, process: Process, action: Any) -> list[Any]:
        key = str(action.window)
        conditions = [
            Condition('usage_windows', key, action.version),
            *self._fence_condition(action.fence_version),
        ]
        writes = [Write('usage_windows', key, action.row)]
        if action.row.state == 'closing':
            opened = um.OpenWindowRow(action.window + 1)
            writes.append(Write('usage_windows', 'open', opened))
            conditions.append(
                Condition('usage_windows', 'open', action.open_version)
            )
        revision = self._commit(process, conditions, writes)
        if revision:
            return [cm.WindowWritten(action.window, action.row, revision)]
        return [cm.CloserCallFailed()]

    def _do_ReadParts(self, process: Process, action: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [cm.CloserCallFailed()]
        return [cm.PartsRead(action.window, self.list_parts(action.window))]

    def list_parts(self, window: int) -> tuple[um.PartRow, ...]:
        """Return the parts written to a window."""
        rows = self.tables.list_rows('usage_parts', f'{window}/').rows
        return tuple(row.value for row in rows)

    def _do_CheckReport(self, process: Process, action: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [cm.CloserCallFailed()]
        is_present = action.window in self.reports
        return [cm.ReportChecked(action.window, is_present)]

    def _do_SendReport(self, process: Process, action: Any) -> list[Any]:
        if self._is_unreachable(process):
            return [cm.CloserCallFailed()]
        figures = action.figures
        if not self.mechanisms.recorded_figures:
            parts = [part.figures for part in self.list_parts(action.window)]
            figures = um.sum_counts(parts)
        content = (action.window, figures)
        fence = process.lease.fence
        self._receive_report(SentMessage(process, 'usage', fence, content))
        if self.lose_answers:
            self.lose_answers -= 1
            return [cm.CloserCallFailed()]
        return [cm.ReportChecked(action.window, is_present=True)]

    # Invariants.

    def check(self) -> None:
        """Assert the invariants that hold at any time."""
        self.check_holders()
        self.check_targets()
        if self.mechanisms.recorded_figures:
            in_order = sorted(self.report_fences)
            assert self.report_fences == in_order, 'two reporters'
        for sent in self.reports.values():
            assert all(figures == sent[0] for figures in sent), 'two figures'
        assert self.count_written() <= self.ended, 'work counted twice'

    def check_holders(self) -> None:
        """Assert that at most one process considers itself lease holder."""
        assert len(self.get_holders()) <= 1, 'two holders at the same time'

    def check_targets(self) -> None:
        """Assert that executed orders are in sequence and consistent."""
        for target in self.targets.values():
            fences = [fence for fence, _ in target.obeyed]
            numbers = [row.sequence for _, row in target.obeyed]
            assert fences == sorted(fences), 'an order of a former holder'
            assert numbers == sorted(numbers), 'conflicting orders'
            contents = {row.order_id: row for _, row in target.obeyed}
            assert all(
                contents[row.order_id].argument == row.argument
                for _, row in target.obeyed
            ), 'one identity for two orders'

    def count_written(self) -> int:
        """Return the sum of the tokens in all parts."""
        rows = self.tables.list_rows('usage_parts').rows
        return sum(row.value.figures.get('tokens', 0) for row in rows)

    def heal(self) -> None:
        """End every fault."""
        self.is_outage = False
        self.lose_answers = 0
        self.apply_delayed()
        for host in ('a', 'b', 'c'):
            if host not in self.processes:
                self.start(host, 1.0)
        for process in self.processes.values():
            process.is_frozen = False
            process.is_cut = False

    def check_end(self) -> None:
        """Assert the final state, reached some time after the last fault."""
        self.check()
        opened = self._get('usage_windows', 'open')[0]
        for window in range(1, opened.window - 1):
            parts = [part.figures for part in self.list_parts(window)]
            assert self.reports.get(window), 'window not reported'
            total = um.sum_counts(parts)
            if not self.mechanisms.recorded_figures:
                continue
            assert self.reports[window][0] == total, 'sum differs from parts'
        for name, target in self.targets.items():
            row = self._get('orders', name)[0]
            assert row is None or row.outcome == 'done', 'order left open'
            assert row is None or target.obeyed, 'order never sent'
