"""Links between nodes: length-prefixed frames over TCP.

Connections are unidirectional: a node sends on connections that it opened and
receives on connections that its peers opened. Messages that several ticks send
in one iteration of the event loop are written with one system call.
docs/DESIGN.md explains why this replaced pyzmq.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import structlog

from figlane.adapters.keepalive import enable_keepalive
from figlane.entities.inbox import PeerMessage
from figlane.entities.link import (
    CloseConnection,
    PeerSendFailed,
    ReplaceConnection,
)
from figlane.entities.outbox import SendToPeer
from figlane.wire.peer import MAX_FRAME_BYTES, PeerFrameError, decode, encode

_log = structlog.get_logger()

# Maximum number of messages queued for a connection that is being opened.
_MAX_QUEUED_MESSAGES = 10_000
# Write buffer size, in bytes, above which an open connection is congested.
_MAX_UNSENT_BYTES = 8_388_608
_MAX_BODY_BYTES = 16_777_216
# Connect time-out in seconds; the round trip to the most distant peers takes
# some tens of milliseconds.
_CONNECT_TIMEOUT_SECONDS = 1.0
# Frame prefix: lengths of the head and of the body.
_FRAME_PREFIX = struct.Struct('>II')

Deliver = Callable[[PeerMessage | PeerSendFailed], None]


class _IncomingConnection(asyncio.Protocol):
    """Receiving connection, opened by a peer."""

    __slots__ = ('_link', '_partial', '_transport')

    def __init__(self, link: PeerLink) -> None:
        self._link = link
        self._partial = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport.get_extra_info('socket'))
        self._link.incoming.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.incoming.discard(self)

    def data_received(self, data: bytes) -> None:
        received = self._partial + data if self._partial else data
        start = 0
        while len(received) - start >= _FRAME_PREFIX.size:
            head_length, body_length = _FRAME_PREFIX.unpack_from(
                received, start
            )
            if head_length > MAX_FRAME_BYTES or body_length > _MAX_BODY_BYTES:
                self._link.reject(
                    f'frame too large: head of {head_length} bytes, '
                    f'body of {body_length} bytes',
                )
                self.close()
                return
            body_start = start + _FRAME_PREFIX.size + head_length
            end = body_start + body_length
            if len(received) < end:
                break
            head_start = body_start - head_length
            head = received[head_start:body_start]
            self._link.receive(head, received[body_start:end])
            start = end
        self._partial = received[start:]

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class _OutgoingConnection(asyncio.Protocol):
    """Sending connection to a peer, with messages queued until it is open."""

    __slots__ = ('_link', '_transport', 'address', 'is_closed', 'queue')

    def __init__(self, link: PeerLink, address: str) -> None:
        self._link = link
        self.address = address
        self.queue: list[tuple[SendToPeer, bytes]] = []
        self.is_closed = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self.is_closed:
            self._transport.abort()
            return
        enable_keepalive(transport.get_extra_info('socket'))
        self._transport.write(b''.join(frame for _, frame in self.queue))
        self.queue.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._link.remove_closed(self)

    def data_received(self, data: bytes) -> None:
        self._link.reject('received bytes on a send-only connection')

    def send(self, row: SendToPeer, frame: bytes) -> bool:
        transport = self._transport
        if transport is None:
            self.queue.append((row, frame))
            return len(self.queue) <= _MAX_QUEUED_MESSAGES
        transport.write(frame)
        return transport.get_write_buffer_size() <= _MAX_UNSENT_BYTES

    def close(self) -> None:
        self.is_closed = True
        self.queue.clear()
        if self._transport is not None:
            self._transport.abort()


class PeerLink:
    """Message transport between this node and its peers."""

    __slots__ = (
        '_deliver',
        '_loop',
        '_node_id',
        '_outgoing_by_node',
        '_server',
        '_socket',
        '_tasks',
        'incoming',
        'rejected',
    )

    def __init__(
        self,
        node_id: str,
        listener: socket.socket,
        deliver: Deliver,
    ) -> None:
        """Create a transport on a listening socket.

        :param node_id: id of this node.
        :param listener: the socket, which this object closes.
        :param deliver: receives incoming messages and send failures.
        """
        self._node_id = node_id
        self._deliver = deliver
        self._outgoing_by_node: dict[str, _OutgoingConnection] = {}
        self.incoming: set[_IncomingConnection] = set()
        self._socket = listener
        self.rejected = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start to accept connections from peers.

        :param loop: the event loop.
        """
        self._loop = loop
        self._spawn(self._listen(loop))

    def close(self) -> None:
        """Close all connections and drop unsent messages."""
        for task in tuple(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
        self._socket.close()
        for incoming in tuple(self.incoming):
            incoming.close()
        for outgoing in tuple(self._outgoing_by_node.values()):
            outgoing.close()
        self._loop = None

    def send(self, row: SendToPeer) -> None:
        """Queue a message for a peer; failures are reported as inbox rows.

        :param row: the message and the receiver's address.
        """
        outgoing = self._connection_to(row)
        if outgoing is None:
            self._report_failure(row)
            return
        head = encode(self._node_id, row.message)
        lengths = _FRAME_PREFIX.pack(len(head), len(row.body))
        if not outgoing.send(row, b''.join((lengths, head, row.body))):
            if outgoing.queue:
                outgoing.queue.pop()
                self._report_failure(row)

    def replace(self, row: ReplaceConnection) -> None:
        """Close the connection to a node; the next message opens a new one.

        :param row: the node.
        """
        self._close_connection(row.node_id)

    def disconnect(self, row: CloseConnection) -> None:
        """Close the connection to a node.

        :param row: the node.
        """
        self._close_connection(row.node_id)

    def receive(self, head: bytes, body: bytes) -> None:
        """Decode and deliver a received frame.

        :param head: the encoded message.
        :param body: the binary payload.
        """
        try:
            envelope = decode(head)
        except PeerFrameError as error:
            self.reject(str(error))
            return
        self._deliver(PeerMessage(envelope.sender, envelope.message, body))

    def reject(self, reason: str) -> None:
        """Count an invalid frame; only the first one is logged.

        :param reason: error text.
        """
        if not self.rejected:
            _log.warning('peer_frames_refused', first_reason=reason)
        self.rejected += 1

    def remove_closed(self, outgoing: _OutgoingConnection) -> None:
        """Remove a closed connection.

        :param outgoing: the connection.
        """
        for node_id, known in tuple(self._outgoing_by_node.items()):
            if known is outgoing:
                self._outgoing_by_node.pop(node_id)

    def _connection_to(self, row: SendToPeer) -> _OutgoingConnection | None:
        outgoing = self._outgoing_by_node.get(row.node_id)
        if outgoing is not None and outgoing.address == row.address:
            return outgoing
        self._close_connection(row.node_id)
        host, _, port = row.address.rpartition(':')
        if not host or not port.isdecimal():
            return None
        outgoing = _OutgoingConnection(self, row.address)
        self._outgoing_by_node[row.node_id] = outgoing
        if self._loop is not None:
            self._spawn(self._connect(self._loop, outgoing, host, int(port)))
        return outgoing

    def _close_connection(self, node_id: str) -> None:
        outgoing = self._outgoing_by_node.pop(node_id, None)
        if outgoing is not None:
            outgoing.close()

    def _report_failure(self, row: SendToPeer) -> None:
        self.rejected += 1
        self._deliver(PeerSendFailed(row.node_id, row.message))

    async def _listen(self, loop: asyncio.AbstractEventLoop) -> None:
        self._server = await loop.create_server(
            lambda: _IncomingConnection(self),
            sock=self._socket,
        )

    async def _connect(
        self,
        loop: asyncio.AbstractEventLoop,
        outgoing: _OutgoingConnection,
        host: str,
        port: int,
    ) -> None:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(lambda: outgoing, host, port)
        except (OSError, TimeoutError) as error:
            _log.info(
                'peer_unreachable',
                address=outgoing.address,
                reason=str(error),
                waiting=len(outgoing.queue),
            )
            self.remove_closed(outgoing)
            # No byte of these messages was sent, so the peer has none of them.
            for row, _ in outgoing.queue:
                self._report_failure(row)
            outgoing.queue.clear()

    def _spawn(self, coroutine: Any) -> None:
        loop = cast(asyncio.AbstractEventLoop, self._loop)
        task = loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
