"""Tests of the account of a process's memory, without a network."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from clementinedyke.exceptions import MemoryShortError
from clementinedyke.http.memory import (
    CONNECTION_BYTES,
    FREE_BYTES,
    MIN_LIMIT,
    ConnectionMemory,
    Holding,
    Kind,
    MemoryAccount,
    ShortageReport,
    Stage,
)

_MEGABYTE = 1048576
_OWNERS = ('192.0.2.1', '192.0.2.2', '192.0.2.3')


def receive(
    account: MemoryAccount, owner: str, size: int, now: int = 0
) -> ConnectionMemory:
    """Return the memory of a connection that receives a body."""
    memory = account.open_connection(owner)
    memory.begin_request().resize(size, now)
    return memory


def fill(account: MemoryAccount, owner: str) -> list[ConnectionMemory]:
    """Receive bodies of 1 MB until the account evicts one."""
    receiving: list[ConnectionMemory] = []
    while not any(memory.is_evicted for memory in receiving):
        receiving.append(receive(account, owner, _MEGABYTE))
    return [memory for memory in receiving if not memory.is_evicted]


def fill_with_sent(account: MemoryAccount) -> None:
    """Send requests with bodies of 1 MB until one is refused."""
    with pytest.raises(MemoryShortError):
        for _ in range(account.limit // _MEGABYTE):
            receive(account, _OWNERS[0], _MEGABYTE).pass_on()


class AccountMachine(RuleBasedStateMachine):
    """Requests of several callers in any order."""

    connections = Bundle('connections')

    def __init__(self) -> None:
        """Create an account without connections."""
        super().__init__()
        self.account = MemoryAccount(MIN_LIMIT)
        self.open: set[ConnectionMemory] = set()
        self.holdings: dict[ConnectionMemory, list[Holding]] = {}
        self.passed_on: set[ConnectionMemory] = set()

    @rule(target=connections, owner=st.sampled_from(_OWNERS))
    def open_connection(self, owner: str) -> ConnectionMemory:
        """Begin a request on a new connection."""
        memory = self.account.open_connection(owner)
        self.open.add(memory)
        self.holdings[memory] = [memory.begin_request()]
        return memory

    @rule(memory=connections, size=st.integers(0, 6 * _MEGABYTE))
    def resize_body(self, memory: ConnectionMemory, size: int) -> None:
        """Receive more of a body, or drop a part of it."""
        self._resize(memory, self.holdings[memory][0], size)

    @rule(memory=connections, size=st.integers(0, 3 * _MEGABYTE))
    def buffer_answer(self, memory: ConnectionMemory, size: int) -> None:
        """Buffer an answer of a request that was sent."""
        if memory in self.passed_on and memory in self.open:
            holding = memory.open_holding(Kind.ANSWER)
            self.holdings[memory].append(holding)
            self._resize(memory, holding, size)

    @rule(memory=connections)
    def complete_body(self, memory: ConnectionMemory) -> None:
        """Receive the end of a body."""
        if self._is_waiting(memory):
            memory.complete_body()

    @rule(memory=connections)
    def pass_on(self, memory: ConnectionMemory) -> None:
        """Send a request; an evicted one must not be sent."""
        if memory.is_evicted:
            with pytest.raises(MemoryShortError):
                memory.pass_on()
        elif memory in self.open:
            memory.pass_on()
            self.passed_on.add(memory)

    @rule(memory=connections)
    def close(self, memory: ConnectionMemory) -> None:
        """Close a connection."""
        memory.close()
        self.open.discard(memory)
        self.holdings[memory] = self.holdings[memory][:1]

    @invariant()
    def charges_add_up(self) -> None:
        """What is used is what the connections use."""
        charges = [memory.charges for memory in self.holdings]
        used = self.account.used
        assert used.bodies == sum(each.bodies for each in charges)
        assert used.answers == sum(each.answers for each in charges)

    @invariant()
    def sent_requests_stay(self) -> None:
        """A request that may have run is never evicted."""
        assert not any(memory.is_evicted for memory in self.passed_on)

    def _is_waiting(self, memory: ConnectionMemory) -> bool:
        is_open = memory in self.open and not memory.is_evicted
        return is_open and memory not in self.passed_on

    def _resize(
        self, memory: ConnectionMemory, holding: Holding, size: int
    ) -> None:
        if memory not in self.open:
            return
        before = self.account.used.total
        try:
            holding.resize(size, 0)
        except MemoryShortError:
            return
        if self.account.used.total > before:
            assert self.account.used.total <= self.account.shared_limit


TestAccountMachine = AccountMachine.TestCase


class TestCalm:
    """Guards against refusals of requests that fit into the memory."""

    @pytest.mark.parametrize(
        ('memory_mb', 'count'), [(96, 1), (160, 12), (552, 50)]
    )
    def test_large_bodies(self, memory_mb: int, count: int) -> None:
        """Bodies of 4 MiB at once on hosts of the users' sizes."""
        account = MemoryAccount((memory_mb - 64) * _MEGABYTE)
        for _ in range(count):
            receive(account, _OWNERS[0], 4 * _MEGABYTE)
        assert account.used.bodies == count * (4 * _MEGABYTE - FREE_BYTES)

    def test_all_connections(self) -> None:
        """The shared part is left when all connections are open."""
        account = MemoryAccount(96 * _MEGABYTE)
        for _ in range(account.max_connections):
            account.open_connection(_OWNERS[0])
        assert account.shared_limit >= 12 * _MEGABYTE
        reserved = account.max_connections * CONNECTION_BYTES
        assert reserved + account.shared_limit <= 97 * _MEGABYTE


class TestShortage:
    """Guards against unfinished bodies that displace other requests."""

    def test_ordinary_request(self) -> None:
        """A request of ordinary size needs nothing of the shared part."""
        account = MemoryAccount(MIN_LIMIT)
        fill(account, _OWNERS[0])
        memory = receive(account, _OWNERS[0], FREE_BYTES)
        memory.complete_body()
        memory.open_holding(Kind.ANSWER).resize(0, 0)
        assert not memory.is_evicted

    def test_caller_that_holds_most(self) -> None:
        """Bodies of the caller that holds most are evicted."""
        account = MemoryAccount(MIN_LIMIT)
        hostile = fill(account, _OWNERS[0])
        ordinary = receive(account, _OWNERS[1], 2 * _MEGABYTE)
        assert not ordinary.is_evicted
        assert any(memory.is_evicted for memory in hostile)

    def test_unfinished_before_whole(self) -> None:
        """A whole request stays while an unfinished one can be evicted."""
        account = MemoryAccount(MIN_LIMIT)
        whole = receive(account, _OWNERS[0], 3 * _MEGABYTE)
        whole.complete_body()
        fill(account, _OWNERS[0])
        assert not whole.is_evicted

    def test_stalled_then_largest_then_slowest(self) -> None:
        """The order in which the bodies of one caller are evicted."""
        account = MemoryAccount(MIN_LIMIT)
        sizes = {'stalled': 1, 'largest': 2, 'slow': 1}
        times = {'stalled': 1, 'largest': 1500, 'slow': 1499}
        bodies = {
            name: receive(account, _OWNERS[0], size * _MEGABYTE, times[name])
            for name, size in sizes.items()
        }
        gone: list[str] = []
        while len(gone) < len(bodies):
            receive(account, _OWNERS[0], _MEGABYTE, 1500)
            gone += [
                name
                for name, memory in bodies.items()
                if memory.is_evicted and name not in gone
            ]
        assert gone == ['stalled', 'largest', 'slow']

    def test_sent_requests_only(self) -> None:
        """If nothing may be evicted, the new request is refused."""
        account = MemoryAccount(MIN_LIMIT)
        fill_with_sent(account)
        assert account.used.bodies <= account.shared_limit

    def test_answers_have_a_floor(self) -> None:
        """Bodies leave memory for answers of requests that have run."""
        account = MemoryAccount(MIN_LIMIT)
        fill_with_sent(account)
        holding = account.open_connection('').open_holding(Kind.ANSWER)
        holding.resize(MIN_LIMIT // 16, 0)

    def test_too_large_answer_evicts_nothing(self) -> None:
        """Bodies stay if an answer exceeds the part that is for answers.

        No eviction makes room for it, and all bodies were evicted in vain.
        """
        account = MemoryAccount(MIN_LIMIT)
        bodies = [receive(account, _OWNERS[0], _MEGABYTE) for _ in range(4)]
        holding = account.open_connection('').open_holding(Kind.ANSWER)
        with pytest.raises(MemoryShortError):
            holding.resize(MIN_LIMIT // 8 + FREE_BYTES + 1, 0)
        assert not any(memory.is_evicted for memory in bodies)

    def test_evicted_request_is_told(self) -> None:
        """The connection of an evicted request is told, once."""
        account = MemoryAccount(MIN_LIMIT)
        memory = receive(account, _OWNERS[0], 2 * _MEGABYTE)
        calls: list[Stage] = []
        memory.evict = lambda: calls.append(memory.stage)
        while not memory.is_evicted:
            receive(account, _OWNERS[0], _MEGABYTE)
        assert calls == [Stage.PASSED_ON]
        assert not memory.charges.total

    def test_reports_are_limited(self) -> None:
        """A shortage is reported once a second with all that it cost."""
        account = MemoryAccount(MIN_LIMIT)
        reports: list[ShortageReport] = []
        account.observers.append(reports.append)
        receiving: list[ConnectionMemory] = []
        for now in range(0, 2500, 5):
            receiving.append(receive(account, _OWNERS[0], _MEGABYTE, now))
            for memory in receiving:
                if memory.is_evicted:
                    memory.close()
        assert 1 < len(reports) <= 3
        assert sum(report.evicted for report in reports) > 300
