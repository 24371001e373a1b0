"""Options of the daemon port and of the links to peers."""

import ssl
from dataclasses import dataclass
from ipaddress import ip_address

from clementinedyke.clock import Milliseconds
from clementinedyke.configuration.events import ConfigurationOptions
from clementinedyke.exceptions import SettingError
from clementinedyke.members.events import MembershipOptions


@dataclass(frozen=True, slots=True)
class ControlOptions:
    """Address, secrets and bounds of the daemon port.

    With ``certificate``, ``private_key`` and ``authority`` (paths of PEM
    files) both sides of a link must show a certificate of the authority.
    ``secret`` must be the same on all daemons; without TLS it crosses the
    network in clear text.
    """

    host: str = '127.0.0.1'
    port: int = 0
    secret: str = ''
    certificate: str = ''
    private_key: str = ''
    authority: str = ''
    seeds: tuple[str, ...] = ()
    #: Ring distances at 330 daemons need 9 links; the rest is for syncs.
    max_links: int = 32
    connections: int = 128
    connect_timeout: Milliseconds = 2000
    #: A link on which a peer is silent for this long is opened anew: after a
    #: network partition TCP itself retries only after up to two minutes.
    silence_timeout: Milliseconds = 5000
    membership: MembershipOptions = MembershipOptions()
    configuration: ConfigurationOptions = ConfigurationOptions()

    def __post_init__(self) -> None:
        """Refuse a port that strangers could speak on."""
        is_open = not self.secret and not self.certificate
        if is_open and not ip_address(self.host).is_loopback:
            raise SettingError(
                f'daemon port on {self.host} needs a secret or certificates'
            )

    def create_server_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of the port, None without certificates."""
        return self._create_context(ssl.PROTOCOL_TLS_SERVER)

    def create_client_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of links, None without certificates."""
        context = self._create_context(ssl.PROTOCOL_TLS_CLIENT)
        if context is not None:
            # Peers are addressed by IP number; the private authority alone
            # decides who belongs to the cluster.
            context.check_hostname = False
        return context

    def _create_context(self, protocol: int) -> ssl.SSLContext | None:
        if not self.certificate:
            return None
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self.certificate, self.private_key)
        context.load_verify_locations(self.authority)
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(['h2'])
        return context
