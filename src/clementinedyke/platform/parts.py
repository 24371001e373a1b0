"""Creates the clients and decoders for the users' platform."""

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


class _EmptyHostList:
    """Host list of a platform that has none.

    An empty list is no evidence that a host is gone.
    """

    async def list_hosts(self) -> Result[frozenset[str], TableFailure]:
        """Return an empty set."""
        return Ok(frozenset())


def create_parts(settings: HostSettings) -> PlatformParts:
    """Return the clients, tables and decoders of the users' platform.

    :param settings: settings with the addresses of the platform.
    """
    address = settings.duties_address
    return PlatformParts(
        store=StoreClient(HttpClient(settings.store_address)),
        hosts=_EmptyHostList(),
        duties=None if address is None else DutyClient(address),
        protocol=RequestTranslator(),
        configuration_table=CONFIGURATION_TABLE,
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        endpoints_table=ENDPOINTS_TABLE,
        decode_endpoint=decode_endpoint,
    )
