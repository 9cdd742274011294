"""Tests of the sockets for traffic between nodes."""

from __future__ import annotations

import socket
from unittest import TestCase, mock

from figlane.adapters import peer_sockets
from standins.addresses import reserve_addresses

_LOOPBACK = '127.0.0.1'


class PeerSocketsTest(TestCase):
    """TCP and UDP sockets on one port."""

    def test_same_port(self) -> None:
        """Both sockets are bound to the address that is returned."""
        sockets = self._bind(f'{_LOOPBACK}:0')
        for bound in (sockets.listener, sockets.datagrams):
            host, port = bound.getsockname()
            self.assertEqual(f'{host}:{port}', sockets.address)

    def test_udp_port_in_use(self) -> None:
        """Another port is taken if the UDP port is in use."""
        blocker = self.enterContext(
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        )
        listeners = [socket.create_server((_LOOPBACK, 0)) for _ in range(2)]
        expected = listeners[1].getsockname()
        blocker.bind(listeners[0].getsockname())
        with mock.patch.object(
            peer_sockets.socket, 'create_server', side_effect=listeners
        ):
            sockets = self._bind(f'{_LOOPBACK}:0')
        self.assertEqual(sockets.datagrams.getsockname(), expected)

    def test_given_port_in_use(self) -> None:
        """A port of the settings that is in use is an error."""
        blocker = self.enterContext(
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        )
        blocker.bind((_LOOPBACK, 0))
        port = blocker.getsockname()[1]
        with self.assertRaises(OSError):
            peer_sockets.bind_peer_sockets(f'{_LOOPBACK}:{port}')

    def _bind(self, address: str) -> peer_sockets.PeerSockets:
        sockets = peer_sockets.bind_peer_sockets(address)
        self.addCleanup(sockets.listener.close)
        self.addCleanup(sockets.datagrams.close)
        return sockets


class ReservationTest(TestCase):
    """Addresses that are reserved for servers of a test."""

    def test_only_listed_by_number(self) -> None:
        """A server can listen there; connections before that are refused."""
        host, _, port = reserve_addresses(1)[0].partition(':')
        with socket.socket() as client, self.assertRaises(ConnectionError):
            client.connect((host, int(port)))
        with socket.create_server((host, int(port))):
            self.enterContext(socket.create_connection((host, int(port))))

    def test_not_given_away(self) -> None:
        """The kernel gives a reserved port to no other socket."""
        host, _, port = reserve_addresses(1)[0].partition(':')
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind((host, int(port)))
