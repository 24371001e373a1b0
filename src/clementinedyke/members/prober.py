"""Probes of a daemon, direct and on behalf of others."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from clementinedyke.clock import Milliseconds
from clementinedyke.control.messages import (
    Member,
    MemberState,
    Ping,
    PingRequest,
    StateUpdates,
)
from clementinedyke.members.events import Action, MembershipOptions, Send
from clementinedyke.members.view import MemberView


@dataclass(slots=True)
class _Probe:
    target: Member
    sent_at: Milliseconds
    #: Daemon that asked for the probe and its sequence number.
    origin: tuple[str, int] | None = None
    indirect: bool = False


class Prober:
    """Sends probes and notices those without an answer."""

    def __init__(
        self,
        view: MemberView,
        random_source: random.Random,
        options: MembershipOptions,
    ) -> None:
        """Create a prober without open probes.

        :param view: members to probe.
        :param random_source: seeded source for the choice of helpers.
        :param options: intervals.
        """
        self._view = view
        self._random = random_source
        self._options = options
        self._probes: dict[int, _Probe] = {}
        self._sequence = 0
        self._turn = 0

    def get_probe_time(self, sequence: int) -> Milliseconds | None:
        """Return when an open probe was sent.

        :param sequence: sequence number of the ping.
        """
        probe = self._probes.get(sequence)
        return None if probe is None else probe.sent_at

    def clear(self) -> None:
        """Drop the open probes without a conclusion."""
        self._probes.clear()

    def resolve(self, sequence: int) -> tuple[str, int] | None:
        """Close a probe that was answered and return who asked for it.

        :param sequence: sequence number of the ping.
        """
        probe = self._probes.pop(sequence, None)
        return None if probe is None else probe.origin

    def expire(self, now: Milliseconds) -> Iterator[Action]:
        """Ask others about late answers, then suspect the members.

        :param now: current instant.
        """
        timeout = self._options.probe_timeout
        late = [
            sequence
            for sequence, probe in self._probes.items()
            if now - probe.sent_at >= timeout * (1 + probe.indirect)
        ]
        for sequence in late:
            probe = self._probes[sequence]
            if probe.origin is None and not probe.indirect:
                yield from self._ask_helpers(sequence, probe)
                continue
            self._probes.pop(sequence)
            if probe.origin is None:
                yield from self._view.suspect(probe.target.daemon_id, now)

    def _ask_helpers(self, sequence: int, probe: _Probe) -> Iterator[Action]:
        probe.indirect = True
        if not self._options.indirect:
            return
        others = [
            member
            for member in self._view.list_neighbours()
            if member.daemon_id != probe.target.daemon_id
        ]
        count = min(self._options.helpers, len(others))
        request = PingRequest(sequence, probe.target.daemon_id)
        for helper in self._random.sample(others, count):
            yield Send(helper.address, request)

    def probe_neighbours(self, now: Milliseconds) -> Iterator[Action]:
        """Probe the next members of the ring and some farther away.

        :param now: current instant.
        """
        neighbours = self._view.list_neighbours()
        fixed = self._options.ring_probes
        for neighbour in neighbours[:fixed]:
            yield self.ping(neighbour, now)
        far = neighbours[fixed:]
        for _ in far[: self._options.far_probes]:
            self._turn += 1
            yield self.ping(far[self._turn % len(far)], now)

    def ping(
        self,
        target: Member,
        now: Milliseconds,
        origin: tuple[str, int] | None = None,
    ) -> Send:
        """Return the ping of a member.

        :param target: member to probe.
        :param now: current instant.
        :param origin: address and sequence of a daemon that asked for it.
        """
        self._sequence += 1
        self._probes[self._sequence] = _Probe(target, now, origin)
        news = self._view.take_news()
        if target.state is not MemberState.ALIVE:
            # It can refute only what it hears.
            news = StateUpdates((target, *news.members), news.payloads)
        return Send(target.address, Ping(self._sequence, news))
