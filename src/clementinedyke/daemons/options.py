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
    """Address, credentials and limits of the daemon port.

    With ``certificate``, ``private_key`` and ``authority`` (paths of PEM
    files), links use mutual TLS: both sides must present a certificate that
    the authority issued. ``secret`` must be the same on all daemons; without
    TLS it is sent in clear text.
    """

    host: str = '127.0.0.1'
    port: int = 0
    secret: str = ''
    certificate: str = ''
    private_key: str = ''
    authority: str = ''
    seeds: tuple[str, ...] = ()
    #: Most links opened at a time. The ring distances of 330 daemons need 9;
    #: the rest serves state synchronization.
    max_links: int = 32
    #: Most connections accepted at a time.
    connections: int = 128
    connect_timeout: Milliseconds = 2000
    #: A link is reopened if the peer does not answer for this long: after a
    #: network partition, TCP may wait up to two minutes before it retransmits.
    silence_timeout: Milliseconds = 5000
    membership: MembershipOptions = MembershipOptions()
    configuration: ConfigurationOptions = ConfigurationOptions()

    def __post_init__(self) -> None:
        """Check that a port outside of loopback is authenticated.

        :raises SettingError: if the host is not a loopback address and neither
            a secret nor a certificate is set.
        """
        is_unauthenticated = not self.secret and not self.certificate
        if is_unauthenticated and not ip_address(self.host).is_loopback:
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
            # Peers are addressed by IP address; a certificate of the private
            # authority is what proves membership of the cluster.
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
