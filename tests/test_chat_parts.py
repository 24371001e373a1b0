"""Tests of messages in chats under which engines ended, for ``serve``."""

import json

import pytest

from clementinedyke.callers.work import estimate_chat_work
from clementinedyke.quarantine.core import Evidence, Verdict
from clementinedyke.quarantine.part_losses import PartLosses

_FATAL = ('fatal',)
_SETTLED = 10000


class Fleet:
    """Two daemons that share evidence, and engines with boot numbers."""

    def __init__(self) -> None:
        """Create daemons without evidence."""
        self.daemons = [PartLosses(), PartLosses()]
        self.boots: dict[str, int] = {}
        self.now = 0
        self.crashes = 0

    def send(self, daemon: int, number: int, parts: tuple[str, ...]) -> Verdict:
        """Send a chat, twice if its engine ends; return the last verdict."""
        request_id = f'r-{number}'
        losses = self.daemons[daemon]
        verdict = Verdict.CLEAR
        for attempt in range(2):
            self.now += 100
            verdict = losses.get_verdict(request_id, parts, self.now)
            if verdict is not Verdict.CLEAR:
                break
            engine = f'e-{(number + attempt) % 5}'
            losses.record_start(request_id, engine, parts)
            if 'fatal' not in parts:
                losses.record_end(request_id, self.now, is_complete=True)
                break
            self._crash(daemon, request_id, engine)
        losses.end_trial(request_id)
        return verdict

    def _crash(self, daemon: int, request_id: str, engine: str) -> None:
        losses = self.daemons[daemon]
        boot = self.boots.get(engine, 0)
        self.crashes += 1
        losses.record_loss(engine, f'{boot}', self.now)
        losses.record_end(request_id, self.now, is_complete=False)
        self.boots[engine] = boot + 1
        self.now += 500
        found = losses.record_answer(
            engine, f'{boot + 1}', self.now - 1, self.now
        )
        other = self.daemons[1 - daemon]
        assert not other.receive_evidence(found, self.now)


class TestPartLosses:
    """Guards against engines that end all day under one message of chats."""

    def test_message_is_refused(self) -> None:
        """Few engines end, at both daemons together, and others are served."""
        fleet = Fleet()
        for number in range(40):
            parts = _FATAL if number % 2 else ('rules',)
            verdict = fleet.send(number // 2 % 2, number, parts)
            if parts != _FATAL:
                assert verdict is Verdict.CLEAR
        assert fleet.crashes <= 5
        for daemon in range(2):
            assert fleet.send(daemon, 99, _FATAL) is Verdict.CONVICTED

    def test_shared_message_is_served(self) -> None:
        """A message that harmless chats have too is not refused."""
        fleet = Fleet()
        for number in range(60):
            is_fatal = number % 3 == 0
            parts = ('rules', 'fatal') if is_fatal else ('rules',)
            verdict = fleet.send(number % 2, number, parts)
            if not is_fatal:
                assert verdict is Verdict.CLEAR
        assert fleet.crashes <= 6

    def test_broken_connection(self) -> None:
        """A loss does not count if the engine answers with the same boot."""
        losses = PartLosses()
        for number in range(10):
            losses.record_start(f'r-{number}', 'e', _FATAL)
            losses.record_loss('e', 'boot', number)
            losses.record_end(f'r-{number}', number, is_complete=False)
            assert not losses.record_answer('e', 'boot', number, number)
        assert losses.get_verdict('r', _FATAL, _SETTLED) is Verdict.CLEAR

    def test_one_trial_at_a_time(self) -> None:
        """A second chat waits while the first one is on trial."""
        losses = PartLosses()
        evidence = [
            Evidence(f'e-{number}', 'boot', 'p:fatal', is_crash=True)
            for number in range(2)
        ]
        assert not losses.receive_evidence(evidence, 0)
        assert losses.get_verdict('first', _FATAL, 1) is Verdict.CLEAR
        assert losses.get_verdict('second', _FATAL, 2) is Verdict.HELD
        losses.end_trial('first')
        assert losses.get_verdict('second', _FATAL, 3) is Verdict.CLEAR

    def test_evidence_against_requests(self) -> None:
        """Evidence against whole requests is left to others."""
        item = Evidence('e', 'boot', '0123', is_crash=True)
        assert PartLosses().receive_evidence([item], 0) == (item,)


class TestMessagesOfChats:
    """Guards against chats whose common messages are not recognised."""

    @pytest.mark.parametrize('customer', ['loft', 'coop'])
    def test_equal_messages(self, customer: str) -> None:
        """The parts are all messages but the last, for any customer."""
        messages = [
            {'role': 'system', 'content': 'rules'},
            {'role': 'user', 'content': [{'type': 'text', 'text': 'é'}]},
            {'role': 'user', 'content': 'question'},
        ]
        first = compute_parts('loft', messages)
        assert len(first) == 2
        assert compute_parts(customer, [*messages[:2], {}]) == first
        assert compute_parts(customer, messages[1:]) == first[1:]
        assert not compute_parts(customer, messages[2:])

    def test_nested_message(self) -> None:
        """A message that cannot be written again is no part."""
        nested: list = []
        for _ in range(100_000):
            nested = [nested]
        assert not compute_parts('loft', [nested, {}])


def compute_parts(customer: str, messages: list) -> tuple[str, ...]:
    """Return the parts of a chat with these messages."""
    content = {'model': 'm', 'messages': messages}
    body = json.dumps({'model': 'm'}).encode()
    return estimate_chat_work(customer, 'chat', body, content).parts
