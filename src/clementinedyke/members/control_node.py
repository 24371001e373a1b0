"""All control knowledge of one daemon: members, records and lists."""

import random
from collections.abc import Iterable, Iterator, Sequence

from msgspec.structs import replace

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.core import ConfigurationCore
from clementinedyke.configuration.events import (
    AdvertReceived,
    ConfigurationOptions,
    ListAnswered,
    MembersSeen,
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
    """Runs the three cores together; adverts ride on pings and their answers.

    Direct pushes by the watchers to 66 daemons a second would cost a watcher
    23 KB/s, so confirmations spread over the probes that are sent anyway.
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
        :param seeds: addresses to contact first.
        :param random_source: seeded source of choices.
        :param membership_options: intervals and sizes of the membership.
        :param configuration_options: intervals of the configuration.
        """
        self.membership = Membership(
            own, seeds, random_source, membership_options
        )
        self.configuration = ConfigurationCore(
            own, random_source, configuration_options
        )
        self.lists = PlatformListCore(configuration_options, random_source)
        self._is_stale = True

    def handle(self, event: object, now: Milliseconds) -> list[object]:
        """Return the actions that an event calls for.

        :param event: an event of any of the cores.
        :param now: current instant on this process's clock.
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
            yield from self._watch(self.membership.handle(event, now))
        if isinstance(event, Tick):
            yield from self._tick(event, now)

    def _receive(self, event: Received, now: Milliseconds) -> Iterator[object]:
        message = event.message
        if isinstance(message, _CONFIGURATION):
            yield from self.configuration.handle(event, now)
        elif isinstance(message, _LISTS):
            yield from self.lists.handle(event, now)
        else:
            yield from self._hear(event, now)
            yield from self._watch(self.membership.handle(event, now))

    def _hear(self, event: Received, now: Milliseconds) -> Iterator[object]:
        message = event.message
        if not isinstance(message, Ping | Ack):
            return
        asked_at = None
        if isinstance(message, Ack):
            asked_at = self.membership.prober.get_probe_time(message.sequence)
        heard = AdvertReceived(event.address, message.advert, asked_at)
        yield from self.configuration.handle(heard, now)
        yield from self.lists.handle(heard, now)

    def _tick(self, event: Tick, now: Milliseconds) -> Iterator[object]:
        if self._is_stale:
            self._is_stale = False
            seen = MembersSeen(
                self.membership.view.table.list_ring(),
                self.membership.view.list_neighbours(),
            )
            self.configuration.handle(seen, now)
        yield from self.configuration.handle(event, now)
        daemons = len(self.membership.view.table.list_ring())
        yield from self.lists.poll(now, daemons=daemons)

    def _watch(self, actions: Iterable[object]) -> Iterator[object]:
        for action in actions:
            if isinstance(action, MemberChanged):
                self._is_stale = True
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
