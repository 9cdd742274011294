"""Loopback addresses whose ports stay reserved until this process ends."""

from __future__ import annotations

import socket

_LOOPBACK = '127.0.0.1'
# Bound sockets that never listen. While one of them exists, the kernel gives
# its port to no other socket, except to one that is bound to the port by number
# with ``SO_REUSEADDR``, as listening sockets are.
_reservations: list[socket.socket] = []


def reserve_addresses(count: int) -> list[str]:
    """Reserve loopback addresses for servers that are started later.

    Connections to a reserved address without a server are refused.

    :param count: the number of addresses.
    :return: the addresses as ``host:port``, with ports that are unused by TCP.
    """
    return [_reserve() for _ in range(count)]


def reserve_peer_address() -> str:
    """Reserve an address for a node's TCP and UDP traffic with other nodes.

    :return: the address. Its port is unused by UDP too; since two sockets
        cannot share a UDP port, only the TCP port stays reserved.
    """
    while True:
        address = _reserve()
        host, _, port = address.partition(':')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((host, int(port)))
            except OSError:
                continue
        return address


def _reserve() -> str:
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((_LOOPBACK, 0))
    _reservations.append(reservation)
    return f'{_LOOPBACK}:{reservation.getsockname()[1]}'
