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

from figlane.adapters.http_client import detect_silence
from figlane.entities.inbox import PeerMessage
from figlane.entities.link import (
    CloseConnection,
    PeerSendFailed,
    ReplaceConnection,
)
from figlane.entities.outbox import SendToPeer
from figlane.settings import split_address
from figlane.wire.peer import MAX_HEAD_BYTES, PeerFrameError, decode, encode

_log = structlog.get_logger()

# Maximum number of messages queued for a connection that is being opened.
_HIGH_WATER_MARK = 10_000
# Write buffer size of an open connection, in bytes, above which sending fails.
_MAX_UNSENT_BYTES = 8_388_608
_MAX_BODY_BYTES = 16_777_216
# Connect time-out in seconds; the round trip to the most distant peers takes
# some tens of milliseconds.
_CONNECT_SECONDS = 1.0
_BACKLOG = 1024
# Frame prefix: lengths of the head and of the body.
_LENGTHS = struct.Struct('>II')

Deliver = Callable[[PeerMessage | PeerSendFailed], None]


class _Incoming(asyncio.Protocol):
    """Receiving connection, opened by a peer."""

    __slots__ = ('_link', '_rest', '_transport')

    def __init__(self, link: PeerLink) -> None:
        self._link = link
        self._rest = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        detect_silence(transport.get_extra_info('socket'))
        self._link.incoming.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.incoming.discard(self)

    def data_received(self, data: bytes) -> None:
        received = self._rest + data if self._rest else data
        start = 0
        while len(received) - start >= _LENGTHS.size:
            head_length, body_length = _LENGTHS.unpack_from(received, start)
            if head_length > MAX_HEAD_BYTES or body_length > _MAX_BODY_BYTES:
                self._link.reject(
                    f'frame too large: head of {head_length} bytes, '
                    f'body of {body_length} bytes',
                )
                self.close()
                return
            body_start = start + _LENGTHS.size + head_length
            end = body_start + body_length
            if len(received) < end:
                break
            head_start = body_start - head_length
            head = received[head_start:body_start]
            self._link.take(head, received[body_start:end])
            start = end
        self._rest = received[start:]

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class _Outgoing(asyncio.Protocol):
    """Sending connection to a peer, with messages queued until it is open."""

    __slots__ = ('_link', '_transport', 'address', 'is_closed', 'waiting')

    def __init__(self, link: PeerLink, address: str) -> None:
        self._link = link
        self.address = address
        self.waiting: list[tuple[SendToPeer, bytes]] = []
        self.is_closed = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self.is_closed:
            self._transport.abort()
            return
        detect_silence(transport.get_extra_info('socket'))
        self._transport.write(b''.join(frame for _, frame in self.waiting))
        self.waiting.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._link.forget(self)

    def data_received(self, data: bytes) -> None:
        self._link.reject('received bytes on a send-only connection')

    def send(self, row: SendToPeer, frame: bytes) -> bool:
        transport = self._transport
        if transport is None:
            self.waiting.append((row, frame))
            return len(self.waiting) <= _HIGH_WATER_MARK
        transport.write(frame)
        return transport.get_write_buffer_size() <= _MAX_UNSENT_BYTES

    def close(self) -> None:
        self.is_closed = True
        self.waiting.clear()
        if self._transport is not None:
            self._transport.abort()


class PeerLink:
    """Reliable message transport between this node and its peers."""

    __slots__ = (
        '_deliver',
        '_loop',
        '_node_id',
        '_outgoing_by_node',
        '_server',
        '_socket',
        '_tasks',
        'address',
        'incoming',
        'rejected',
    )

    def __init__(self, node_id: str, address: str, deliver: Deliver) -> None:
        """Bind the listening socket.

        :param node_id: id of this node.
        :param address: ``host:port`` to bind; port 0 selects a free port.
        :param deliver: receives incoming messages and send failures.
        """
        self._node_id = node_id
        self._deliver = deliver
        self._outgoing_by_node: dict[str, _Outgoing] = {}
        self.incoming: set[_Incoming] = set()
        self._socket = socket.create_server(
            split_address(address),
            backlog=_BACKLOG,
        )
        host, port = self._socket.getsockname()
        self.address = f'{host}:{port}'
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
        outgoing = self._outgoing(row)
        if outgoing is None:
            self._refuse(row)
            return
        head = encode(self._node_id, row.message)
        lengths = _LENGTHS.pack(len(head), len(row.body))
        if not outgoing.send(row, b''.join((lengths, head, row.body))):
            if outgoing.waiting:
                outgoing.waiting.pop()
                self._refuse(row)

    def replace(self, row: ReplaceConnection) -> None:
        """Close the connection to a node; the next message opens a new one.

        :param row: the node.
        """
        self._drop(row.node_id)

    def disconnect(self, row: CloseConnection) -> None:
        """Close the connection to a node.

        :param row: the node.
        """
        self._drop(row.node_id)

    def take(self, head: bytes, body: bytes) -> None:
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

    def forget(self, outgoing: _Outgoing) -> None:
        """Remove a closed connection.

        :param outgoing: the connection.
        """
        for node_id, known in tuple(self._outgoing_by_node.items()):
            if known is outgoing:
                self._outgoing_by_node.pop(node_id)

    def _outgoing(self, row: SendToPeer) -> _Outgoing | None:
        outgoing = self._outgoing_by_node.get(row.node_id)
        if outgoing is not None and outgoing.address == row.address:
            return outgoing
        self._drop(row.node_id)
        host, _, port = row.address.rpartition(':')
        if not host or not port.isdecimal():
            return None
        outgoing = _Outgoing(self, row.address)
        self._outgoing_by_node[row.node_id] = outgoing
        if self._loop is not None:
            self._spawn(self._connect(self._loop, outgoing, host, int(port)))
        return outgoing

    def _drop(self, node_id: str) -> None:
        outgoing = self._outgoing_by_node.pop(node_id, None)
        if outgoing is not None:
            outgoing.close()

    def _refuse(self, row: SendToPeer) -> None:
        self.rejected += 1
        self._deliver(PeerSendFailed(row.node_id, row.message))

    async def _listen(self, loop: asyncio.AbstractEventLoop) -> None:
        self._server = await loop.create_server(
            lambda: _Incoming(self),
            sock=self._socket,
        )

    async def _connect(
        self,
        loop: asyncio.AbstractEventLoop,
        outgoing: _Outgoing,
        host: str,
        port: int,
    ) -> None:
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                await loop.create_connection(lambda: outgoing, host, port)
        except (OSError, TimeoutError) as error:
            _log.info(
                'peer_unreachable',
                address=outgoing.address,
                reason=str(error),
                waiting=len(outgoing.waiting),
            )
            self.forget(outgoing)
            # No byte of these messages was sent, so the peer has none of them.
            for row, _ in outgoing.waiting:
                self._refuse(row)
            outgoing.waiting.clear()

    def _spawn(self, coroutine: Any) -> None:
        loop = cast(asyncio.AbstractEventLoop, self._loop)
        task = loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
