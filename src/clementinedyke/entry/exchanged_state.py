"""State of a daemon that it exchanges with the other ones."""

from dataclasses import dataclass

from clementinedyke.entry.configuration_view import ConfigurationView
from clementinedyke.entry.endpoint_notices import EndpointNotices
from clementinedyke.entry.endpoint_view import EndpointView
from clementinedyke.entry.endpoint_work import WorkTable
from clementinedyke.entry.relay_port import RelayPort
from clementinedyke.entry.store_contact import StoreContact
from clementinedyke.entry.suspect_component import SuspectComponent


@dataclass(frozen=True, slots=True)
class ExchangedState:
    """Parts of a daemon whose state goes into updates and comes out of them.

    ``work`` is that of all endpoints. ``configuration`` and ``endpoints`` are
    views of the store, and ``store_contact`` tells when it answered.
    ``suspects`` has the evidence against requests and prompt parts, and
    ``notices`` what endpoints said in answers. ``relay_port`` forwards requests
    of daemons that lost their links.
    """

    work: WorkTable
    configuration: ConfigurationView
    endpoints: EndpointView
    store_contact: StoreContact
    suspects: SuspectComponent
    notices: EndpointNotices
    relay_port: RelayPort
