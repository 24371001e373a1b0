"""Tests of requests that the client gives up."""

import socket
from contextlib import suppress

import trio

from clementinedyke.exceptions import AnswerLostError
from clementinedyke.http.client import Address, HttpClient, HttpRequest

#: The kernel takes the whole request, but most of it can't be sent yet.
_BODY = b'x' * 12000
#: Smallest receive buffer that the kernel allows, in bytes.
_RECEIVE_BUFFER = 2304


async def open_listener() -> trio.SocketListener:
    """Return a listener whose connections receive only a few bytes ahead."""
    listening = trio.socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
    await listening.bind(('127.0.0.1', 0))
    listening.listen()
    return trio.SocketListener(listening)


async def read_until_end(stream: trio.SocketStream) -> bytes:
    """Return the bytes received until the connection ends."""
    chunks: list[bytes] = []
    with suppress(trio.BrokenResourceError):
        async for chunk in stream:
            chunks.append(bytes(chunk))
    return b''.join(chunks)


class TestAbandonedRequests:
    """Guards against requests that reach a peer after they were given up."""

    def test_unsent_bytes_are_dropped(self) -> None:
        """A request that waits in a full link must not arrive after all."""
        received = b''

        async def main() -> None:
            nonlocal received
            listener = await open_listener()
            port = listener.socket.getsockname()[1]
            async with HttpClient(Address('127.0.0.1', port)) as client:
                with suppress(AnswerLostError):
                    await client.request(
                        HttpRequest('POST', '/', (), _BODY), timeout=200
                    )
            received = await read_until_end(await listener.accept())

        trio.run(main)
        assert len(received) < len(_BODY)
