"""Builds the parts of the users' platform from a host's settings."""

from result import Ok, Result

from clementinedyke.call_failures import TableFailure
from clementinedyke.entry.host_settings import HostSettings
from clementinedyke.entry.platform_parts import PlatformParts
from clementinedyke.http.client import HttpClient
from clementinedyke.platform.configuration_document import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    decode_configuration,
)
from clementinedyke.platform.duties import DutyClient
from clementinedyke.platform.endpoint_document import (
    ENDPOINTS_TABLE,
    decode_endpoint,
)
from clementinedyke.platform.requests import RequestTranslator
from clementinedyke.platform.store import StoreClient


class _NoHostList:
    """The platform lists no hosts; an empty list proves nothing."""

    async def list_hosts(self) -> Result[frozenset[str], TableFailure]:
        """Return no hosts."""
        return Ok(frozenset())


def create_parts(settings: HostSettings) -> PlatformParts:
    """Return the clients and translations of the users' platform.

    :param settings: addresses of the host.
    """
    address = settings.duties_address
    return PlatformParts(
        store=StoreClient(HttpClient(settings.store_address)),
        hosts=_NoHostList(),
        duties=None if address is None else DutyClient(address),
        protocol=RequestTranslator(),
        configuration_table=CONFIGURATION_TABLE,
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        endpoints_table=ENDPOINTS_TABLE,
        decode_endpoint=decode_endpoint,
    )
