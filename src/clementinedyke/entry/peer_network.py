"""UDP socket for the other daemons, and their addresses."""

import socket
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Protocol, TypeAlias

import trio

from clementinedyke.entry.journal import Journal
from clementinedyke.http.client import Address

#: Largest payload of a UDP datagram over IPv4, in bytes.
_MAX_DATAGRAM = 65507
#: Datagrams that are received before other tasks run.
_DATAGRAMS_IN_A_ROW = 16
#: Datagrams that a request may have to wait for; the buffer of the socket holds
#: some hundreds.
_MAX_WAITING = 1000

#: Processes a datagram of another daemon, and its sender.
Receiver: TypeAlias = Callable[[bytes, Address], Awaitable[None]]


class DatagramNetwork(Protocol):
    """Socket for the other daemons."""

    @property
    def addresses(self) -> Mapping[str, Address]:
        """Addresses of the other daemons by host."""

    async def send(self, payload: bytes, addresses: Iterable[Address]) -> None:
        """Send a datagram to other daemons; it may be lost."""


class PeerNetwork:
    """Sends datagrams to the other daemons and receives theirs."""

    def __init__(self, journal: Journal) -> None:
        """Create a network without known daemons.

        :param journal: log of failed sends.
        """
        self._journal = journal
        self._addresses: dict[str, Address] = {}
        self._zones: dict[str, str] = {}
        self._socket = _open_socket()
        self._received = 0
        #: Receivers of the datagrams that are no state updates, by first byte.
        self._receivers: dict[bytes, Receiver] = {}
        #: Processes state updates.
        self.receive_update: Receiver = _ignore_datagram

    @property
    def addresses(self) -> Mapping[str, Address]:
        """Addresses of all daemons ever listed or heard from, by host."""
        return self._addresses

    def get_zone(self, host: str) -> str:
        """Return the availability zone of a daemon, empty if unknown.

        :param host: host of the daemon.
        """
        return self._zones.get(host, '')

    def add_receiver(self, prefix: bytes, receiver: Receiver) -> None:
        """Have datagrams with a first byte processed.

        :param prefix: first byte, with which no state update begins.
        :param receiver: processes the datagrams.
        """
        self._receivers[prefix] = receiver

    def record_listed(self, host: str, address: Address, zone: str) -> None:
        """Record a daemon that is listed in the store.

        The address of its last datagram takes precedence.

        :param host: host of the daemon.
        :param address: address in the list.
        :param zone: availability zone of the host.
        """
        self._addresses.setdefault(host, address)
        self._zones[host] = zone

    def record_sender(self, host: str, address: Address) -> None:
        """Record the address from which a daemon sent a datagram.

        :param host: host of the daemon.
        :param address: sender of the datagram.
        """
        self._addresses[host] = address

    async def bind(self, address: Address) -> int:
        """Bind the socket and return its port.

        :param address: IP address and port; port 0 selects a free one.
        :raises OSError: if the port is in use.
        """
        self._socket.bind((address.host, address.port))
        return int(self._socket.getsockname()[1])

    def reopen(self) -> None:
        """Replace the socket by one that is not bound."""
        self.close()
        self._socket = _open_socket()

    def close(self) -> None:
        """Close the socket."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
        self._socket.close()

    async def send(self, payload: bytes, addresses: Iterable[Address]) -> None:
        """Send a datagram to other daemons; it may be lost.

        :param payload: bytes of the datagram.
        :param addresses: addresses of the daemons.
        """
        for peer in addresses:
            try:
                await self._send_datagram(payload, peer)
            except OSError as error:
                self._journal.write(
                    'news_error', peer=str(peer), error=str(error)
                )

    async def receive(self) -> tuple[bytes, Address]:
        """Return the next state update and its sender.

        Other datagrams that come before it are passed to their receivers.

        :raises trio.ClosedResourceError: if the socket is closed.
        """
        while True:
            try:
                datagram, sender = await self._receive_datagram()
            except OSError as error:
                # ICMP error from an unreachable peer; others can still send.
                self._journal.write('news_error', error=str(error))
                continue
            address = Address(sender[0], sender[1])
            receiver = self._receivers.get(datagram[:1])
            if receiver is None:
                return datagram, address
            await receiver(datagram, address)

    async def process_waiting(self) -> int:
        """Pass the datagrams that have arrived to their receivers.

        A daemon that stood still finds requests and datagrams waiting. The
        datagrams may tell that a request must not run.

        :return: number of datagrams.
        """
        with trio.CancelScope(shield=True):
            for count in range(_MAX_WAITING):
                try:
                    datagram, sender = self._socket.recvfrom(_MAX_DATAGRAM)
                except BlockingIOError:
                    return count
                except OSError as error:
                    self._journal.write('news_error', error=str(error))
                    continue
                receiver = self._receivers.get(
                    datagram[:1], self.receive_update
                )
                await receiver(datagram, Address(sender[0], sender[1]))
        return _MAX_WAITING

    async def _send_datagram(self, payload: bytes, peer: Address) -> None:
        while True:
            try:
                self._socket.sendto(payload, (peer.host, peer.port))
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)
            else:
                return

    async def _receive_datagram(self) -> tuple[bytes, tuple[str, int]]:
        self._received += 1
        if self._received % _DATAGRAMS_IN_A_ROW == 0:
            await trio.lowlevel.checkpoint()
        while self._socket.fileno() >= 0:
            try:
                return self._socket.recvfrom(_MAX_DATAGRAM)
            except BlockingIOError:
                await trio.lowlevel.wait_readable(self._socket)
        raise trio.ClosedResourceError


async def _ignore_datagram(datagram: bytes, sender: Address) -> None:
    """Do nothing; default receiver of state updates."""


def _open_socket() -> socket.socket:
    # A socket of trio makes two checkpoints and looks the address up again for
    # each datagram, of which there are a hundred a second on large sites.
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    return opened
