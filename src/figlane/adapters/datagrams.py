"""UDP datagrams between nodes, on the same port number as the peer link."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any, cast

from figlane.entities.gossip import SendDatagram
from figlane.entities.inbox import PeerMessage
from figlane.settings import split_address
from figlane.wire.peer import PeerFrameError, decode, encode

# Maximum payload of a datagram in bytes; it fits into one Ethernet frame
# without fragmentation.
MAX_DATAGRAM_BYTES = 1400


class DatagramLink(asyncio.DatagramProtocol):
    """Unreliable transport for gossip and probe messages."""

    __slots__ = (
        '_deliver',
        '_node_id',
        '_socket',
        '_transport',
        'rejected',
    )

    def __init__(
        self,
        node_id: str,
        bound_socket: socket.socket,
        deliver: Callable[[PeerMessage], None],
    ) -> None:
        """Create a transport on a bound UDP socket.

        :param node_id: id of this node.
        :param bound_socket: the socket, which this object closes.
        :param deliver: receives each incoming message.
        """
        self._node_id = node_id
        self._deliver = deliver
        self._socket = bound_socket
        self.rejected = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Attach the socket to the event loop.

        :param loop: the event loop.
        """
        await loop.create_datagram_endpoint(lambda: self, sock=self._socket)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, row: SendDatagram) -> None:
        """Send a message, dropping member states until it fits the datagram.

        :param row: the message and the receiver's address.
        """
        if self._transport is None:
            return
        frame = encode(self._node_id, row.message)
        while len(frame) > MAX_DATAGRAM_BYTES and row.message.states:
            row.message.states.pop()
            frame = encode(self._node_id, row.message)
        self._transport.sendto(frame, split_address(row.address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the socket.

        :param transport: the datagram transport.
        """
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decode and deliver a message; malformed datagrams are counted.

        :param data: the datagram.
        :param addr: the sender's address.
        """
        try:
            envelope = decode(data)
        except PeerFrameError:
            self.rejected += 1
            return
        self._deliver(PeerMessage(envelope.sender, envelope.message))

    def error_received(self, exc: Exception) -> None:
        """Count a send error; the probe of that member times out.

        :param exc: the socket error.
        """
        self.rejected += 1
