"""Divides the commits of claims over the living daemons."""

import trio

from clementinedyke.claim_component import ClaimComponent
from clementinedyke.components import Component
from clementinedyke.daemons import ControlComponent
from clementinedyke.daemons.component import Change
from clementinedyke.membership_events import MemberChanged

#: Commits per second of all daemons: the platform's budget for claims.
TOTAL_COMMIT_RATE = 200


class ClaimRateComponent(Component):
    """Sets this daemon's share of the commits as members change."""

    def __init__(
        self, control: ControlComponent, claims: ClaimComponent
    ) -> None:
        """Create the component and observe the members.

        :param control: members that this daemon knows.
        :param claims: claims of this daemon.
        """
        self._control = control
        self._claims = claims
        self._rate: float = TOTAL_COMMIT_RATE
        control.observers.append(self._observe)

    @property
    def rate(self) -> float:
        """Commits per second that this daemon may make."""
        return self._rate

    async def start(self, nursery: trio.Nursery) -> None:
        """Set the rate for the members that are known already.

        :param nursery: unused; the component has no task.
        """
        self._update()

    def _observe(self, change: Change) -> None:
        if isinstance(change, MemberChanged):
            self._update()

    def _update(self) -> None:
        self._rate = TOTAL_COMMIT_RATE / self._control.count_living()
        self._claims.core.set_commit_rate(self._rate)
