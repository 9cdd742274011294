"""Detects dead peers of TCP connections."""

from __future__ import annotations

import socket

# TCP keep-alive: the kernel closes a connection after this number of
# unanswered probes, sent one second apart, or when sent data stays
# unacknowledged for longer than TCP_USER_TIMEOUT.
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 3
_USER_TIMEOUT_MS = 3000


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keep-alive and a user time-out to detect dead peers.

    :param sock: the connection's socket.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    )
    for level, option, content in options:
        sock.setsockopt(level, option, content)
