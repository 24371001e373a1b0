"""Combines the membership, configuration and platform list cores."""

import random
from collections.abc import Iterable, Iterator, Sequence

from msgspec.structs import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.core import ConfigurationCore
from clementinedyke.configuration.events import (
    AdvertReceived,
    ConfigurationOptions,
    ListAnswered,
    MembersUpdated,
    PollAnswered,
    PollFailed,
)
from clementinedyke.configuration.messages import (
    Advert,
    Changes,
    FetchChanges,
    FetchList,
    Hint,
    ListContent,
)
from clementinedyke.control.messages import Ack, Member, Ping
from clementinedyke.control.platform_lists import PlatformListCore
from clementinedyke.members.core import Membership
from clementinedyke.members.events import (
    MemberChanged,
    MembershipOptions,
    Received,
    Send,
    Tick,
)

_CONFIGURATION = (Hint, FetchChanges, Changes)
_LISTS = (FetchList, ListContent)


class ControlNode:
    """Passes events to the three cores and adds adverts to pings and acks.

    Confirmations of the configuration spread with the adverts on the probes.
    If the watchers instead pushed them to 66 daemons a second, each watcher
    would send 23 KB/s.
    """

    def __init__(
        self,
        own: Member,
        seeds: Sequence[str],
        random_source: random.Random,
        membership_options: MembershipOptions,
        configuration_options: ConfigurationOptions,
    ) -> None:
        """Create the cores of one daemon.

        :param own: record of this daemon.
        :param seeds: addresses of the daemons to contact first.
        :param random_source: seeded random generator.
        :param membership_options: intervals and sizes of the membership.
        :param configuration_options: intervals and sizes of the configuration
            and list cores.
        """
        self.membership = Membership(
            own, seeds, random_source, membership_options
        )
        self.configuration = ConfigurationCore(
            own, random_source, configuration_options
        )
        self.lists = PlatformListCore(configuration_options, random_source)
        self._has_stale_members = True

    def handle(self, event: object, now: Milliseconds) -> list[object]:
        """Pass an event to its cores and return the actions to execute.

        :param event: an event of any of the three cores.
        :param now: current time on the clock of the process.
        """
        return [
            self._add_advert(action, now) for action in self._route(event, now)
        ]

    def _route(self, event: object, now: Milliseconds) -> Iterator[object]:
        if isinstance(event, Received):
            yield from self._receive(event, now)
        elif isinstance(event, ListAnswered):
            yield from self.lists.handle(event, now)
        elif isinstance(event, PollAnswered | PollFailed):
            yield from self.configuration.handle(event, now)
        else:
            yield from self._track_members(self.membership.handle(event, now))
        if isinstance(event, Tick):
            yield from self._tick(event, now)

    def _receive(self, event: Received, now: Milliseconds) -> Iterator[object]:
        message = event.message
        if isinstance(message, _CONFIGURATION):
            yield from self.configuration.handle(event, now)
        elif isinstance(message, _LISTS):
            yield from self.lists.handle(event, now)
        else:
            yield from self._handle_advert(event, now)
            yield from self._track_members(self.membership.handle(event, now))

    def _handle_advert(
        self, event: Received, now: Milliseconds
    ) -> Iterator[object]:
        message = event.message
        if not isinstance(message, Ping | Ack):
            return
        asked_at = None
        if isinstance(message, Ack):
            asked_at = self.membership.prober.get_probe_time(message.sequence)
        received = AdvertReceived(event.address, message.advert, asked_at)
        yield from self.configuration.handle(received, now)
        yield from self.lists.handle(received, now)

    def _tick(self, event: Tick, now: Milliseconds) -> Iterator[object]:
        if self._has_stale_members:
            self._has_stale_members = False
            seen = MembersUpdated(
                self.membership.view.table.list_ring(),
                self.membership.view.list_neighbours(),
            )
            self.configuration.handle(seen, now)
        yield from self.configuration.handle(event, now)
        daemons = len(self.membership.view.table.list_ring())
        yield from self.lists.poll(now, daemons=daemons)

    def _track_members(self, actions: Iterable[object]) -> Iterator[object]:
        for action in actions:
            if isinstance(action, MemberChanged):
                self._has_stale_members = True
            yield action

    def _add_advert(self, action: object, now: Milliseconds) -> object:
        if not isinstance(action, Send):
            return action
        message = action.message
        if not isinstance(message, Ping | Ack):
            return action
        advert: Advert = replace(
            self.configuration.feed.get_advert(now),
            lists=self.lists.list_adverts(now),
        )
        return Send(action.address, replace(message, advert=advert))
