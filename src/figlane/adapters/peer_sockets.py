"""Sockets for traffic between nodes: TCP and UDP on the same port number."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from figlane.settings import split_address

_BACKLOG = 1024
_PORT_ATTEMPTS = 20


@dataclass(slots=True, frozen=True)
class PeerSockets:
    """Bound sockets of a node.

    ``listener`` accepts links and ``datagrams`` carries gossip and probes; both
    have the same ``address``, given as ``host:port``.
    """

    listener: socket.socket
    datagrams: socket.socket
    address: str


def bind_peer_sockets(address: str) -> PeerSockets:
    """Bind both sockets; raises ``OSError`` if the port is in use.

    :param address: ``host:port`` to bind; port 0 selects a port that is free
        for both protocols.
    :return: the sockets.
    """
    host, port = split_address(address)
    for _ in range(_PORT_ATTEMPTS):
        listener = socket.create_server((host, port), backlog=_BACKLOG)
        bound = listener.getsockname()
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.setblocking(False)
        try:
            datagrams.bind(bound)
        except OSError:
            listener.close()
            datagrams.close()
            if port:
                raise
            continue
        return PeerSockets(listener, datagrams, f'{bound[0]}:{bound[1]}')
    raise OSError('found no port that is free for both TCP and UDP')
