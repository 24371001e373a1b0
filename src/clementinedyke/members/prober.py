"""Direct and indirect probes of members."""

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
    #: Address of the daemon that requested the probe, and the sequence number
    #: of its request; None for a probe by this daemon.
    origin: tuple[str, int] | None = None
    indirect: bool = False


class Prober:
    """Sends probes and suspects the members that do not answer."""

    def __init__(
        self,
        view: MemberView,
        random_source: random.Random,
        options: MembershipOptions,
    ) -> None:
        """Create a prober without pending probes.

        :param view: members to probe.
        :param random_source: seeded random generator that selects the members
            asked for an indirect probe.
        :param options: timeouts and number of probes.
        """
        self._view = view
        self._random = random_source
        self._options = options
        self._probes: dict[int, _Probe] = {}
        self._sequence = 0
        self._far_index = 0

    def get_probe_time(self, sequence: int) -> Milliseconds | None:
        """Return when a pending probe was sent, None if it is not pending.

        :param sequence: sequence number of the ping.
        """
        probe = self._probes.get(sequence)
        return None if probe is None else probe.sent_at

    def clear(self) -> None:
        """Drop the pending probes without suspecting their targets."""
        self._probes.clear()

    def resolve(self, sequence: int) -> tuple[str, int] | None:
        """Remove an answered probe and return its origin.

        The origin is the address of the daemon that requested the probe and
        the sequence number of its request, or None for an unknown probe or a
        probe by this daemon.

        :param sequence: sequence number of the ping.
        """
        probe = self._probes.pop(sequence, None)
        return None if probe is None else probe.origin

    def expire(self, now: Milliseconds) -> Iterator[Action]:
        """Request indirect probes of late members, then suspect them.

        A member is suspected if the indirect probes also time out.

        :param now: current time on the clock of the process.
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
                yield from self._send_ping_requests(sequence, probe)
                continue
            self._probes.pop(sequence)
            if probe.origin is None:
                yield from self._view.suspect(probe.target.daemon_id, now)

    def _send_ping_requests(
        self, sequence: int, probe: _Probe
    ) -> Iterator[Action]:
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
        """Probe the closest ring neighbours and, in turn, distant ones.

        :param now: current time on the clock of the process.
        """
        neighbours = self._view.list_neighbours()
        fixed = self._options.ring_probes
        for neighbour in neighbours[:fixed]:
            yield self.ping(neighbour, now)
        far = neighbours[fixed:]
        for _ in far[: self._options.far_probes]:
            self._far_index += 1
            yield self.ping(far[self._far_index % len(far)], now)

    def ping(
        self,
        target: Member,
        now: Milliseconds,
        origin: tuple[str, int] | None = None,
    ) -> Send:
        """Start a probe and return its ping.

        :param target: member to probe.
        :param now: current time on the clock of the process.
        :param origin: address and sequence number of the daemon that
            requested the probe, None for a probe by this daemon.
        """
        self._sequence += 1
        self._probes[self._sequence] = _Probe(target, now, origin)
        updates = self._view.pop_updates()
        if target.state is not MemberState.ALIVE:
            # The target can only refute a suspicion that it receives.
            updates = StateUpdates((target, *updates.members), updates.payloads)
        return Send(target.address, Ping(self._sequence, updates))
