"""Interfaces that a platform adapter implements for the entry daemon."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Result

from clementinedyke.entry.catalog import EntryConfiguration, EntryEndpoint
from clementinedyke.entry.endpoint_protocol import EndpointProtocol
from clementinedyke.entry.order_component import OrderSender
from clementinedyke.entry.store_calls import StoreCall
from clementinedyke.entry.usage_duty import UsageReporter
from clementinedyke.entry.watch import TableFeed
from clementinedyke.http.lost_connection import LostConnection
from clementinedyke.leases.component import HostList
from clementinedyke.rows import RowStore


class Store(RowStore, TableFeed, Protocol):
    """Store with conditional writes and change feeds.

    ``record_call`` is called after each call to the store, and
    ``return_observers`` when it has returned from an older copy, with the first
    answer that tells so.
    """

    record_call: Callable[[StoreCall], None]
    return_observers: list[Callable[[], None]]

    def observe_losses(
        self, observer: Callable[[LostConnection], None]
    ) -> None:
        """Have connections that a call lost reported to an observer."""


class Duties(UsageReporter, OrderSender, Protocol):
    """Calls that only one daemon at a time may make."""


@dataclass(frozen=True, slots=True)
class PlatformParts:
    """Clients and decoders of a platform.

    ``duties`` is None if the platform has none. The decoders return the reason
    as an error if the content is invalid.
    """

    store: Store
    hosts: HostList
    duties: Duties | None
    protocol: EndpointProtocol
    configuration_table: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Result[EntryConfiguration, str]]
    endpoints_table: str
    decode_endpoint: Callable[[str, bytes], Result[EntryEndpoint, str]]
