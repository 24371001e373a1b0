"""Decides when this daemon fetches the state that it missed from another."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Protocol

import trio

from clementinedyke.clock import Clock, Milliseconds
from clementinedyke.components import Component
from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.news import PeerTable
from clementinedyke.tasks import run_restarting

_MILLISECONDS_PER_SECOND = 1000
#: Time for which a daemon lags behind another one before it fetches its state.
#: A call of the store that is waiting returns a change within milliseconds.
_RECOVERY_DELAY: Milliseconds = 250
_CHECK_INTERVAL: Milliseconds = 200
#: Bounds of the random delay before another daemon is asked after one that
#: did not lend its state.
_MIN_RETRY: Milliseconds = 250
_MAX_RETRY: Milliseconds = 1000


class Feed(Protocol):
    """Feed of a table of the store."""

    @property
    def is_pausing(self) -> bool:
        """Whether the feed pauses although the store answers it."""


class RecoveryComponent(Component):
    """Fetches the state of a daemon that is ahead of this one.

    A daemon that the store refuses to serve gets the configuration and the
    endpoints from a daemon that the store still serves.
    """

    def __init__(
        self,
        peer_table: PeerTable,
        views: tuple[ConfigurationView, EndpointView],
        feeds: tuple[Feed, Feed],
        fetch_state: Callable[[str], Awaitable[bool]],
        clock: Clock,
        generator: Random,
    ) -> None:
        """Create the component.

        :param peer_table: updates of the other daemons.
        :param views: views of the configuration and of the endpoints.
        :param feeds: feeds of the two views.
        :param fetch_state: fetches and applies the state of the daemon on the
            given host; returns False if that failed.
        :param clock: clock of the host.
        :param generator: random generator for the selection of daemons.
        """
        self._peer_table = peer_table
        self._configuration = views[0]
        self._endpoints = views[1]
        self._feeds = feeds
        self._fetch_state = fetch_state
        self._clock = clock
        self._generator = generator
        self._lagging_since: Milliseconds | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task.

        :param nursery: nursery that runs the task.
        """
        nursery.start_soon(run_restarting, self._run, 'recovery')

    async def _run(self) -> None:
        while True:
            now = self._clock.get_now()
            await trio.sleep(self._get_wait(now) / _MILLISECONDS_PER_SECOND)
            host = self._select_lender(self._clock.get_now())
            if host is not None and not await self._fetch_state(host):
                delay = self._generator.randint(_MIN_RETRY, _MAX_RETRY)
                await trio.sleep(delay / _MILLISECONDS_PER_SECOND)

    def _get_wait(self, now: Milliseconds) -> Milliseconds:
        """Return the time until the next check, in milliseconds."""
        if self._lagging_since is None:
            return _CHECK_INTERVAL
        left = self._lagging_since + _RECOVERY_DELAY - now
        return left if 0 < left < _CHECK_INTERVAL else _CHECK_INTERVAL

    def _select_lender(self, now: Milliseconds) -> str | None:
        """Return the host to fetch the state from, None if not lagging.

        A pausing feed is not lagging: its next call returns all changes.
        """
        configuration_feed, endpoints_feed = self._feeds
        host = self._peer_table.select_newer_peer(
            None
            if configuration_feed.is_pausing
            else self._configuration.version,
            None
            if endpoints_feed.is_pausing
            else self._endpoints.as_of_revision,
            now,
            self._generator,
        )
        if host is None:
            self._lagging_since = None
            return None
        if self._lagging_since is None:
            self._lagging_since = now
        is_due = now - self._lagging_since >= _RECOVERY_DELAY
        return host if is_due else None
