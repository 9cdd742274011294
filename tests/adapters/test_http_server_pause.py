"""Time-outs of an HTTP server whose process was paused."""

from __future__ import annotations

import asyncio
import socket
import time
from unittest import TestCase

import uvloop

from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.entities.ingress import CallerLimits
from figlane.settings import split_address
from standins.addresses import reserve_addresses
from tests.adapters.empty_answers import EmptyAnswers

_LIMITS = CallerLimits(head_seconds=0.2, idle_seconds=0.2)
_PAUSE_SECONDS = 0.3
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
# Length of the request line.
_LINE_BYTES = 16
_ANSWER_BYTES = 1000


class PauseInRead(asyncio.Protocol):
    """Pauses the process while the loop reads, before it runs timers."""

    def __init__(self, caller: socket.socket, sent: bytes) -> None:
        """Create the connection.

        :param caller: a caller that sends during the pause.
        :param sent: what it sends.
        """
        self._caller = caller
        self._sent = sent

    def data_received(self, data: bytes) -> None:
        """Let the caller send, and pause.

        :param data: ignored.
        """
        self._caller.sendall(self._sent)
        time.sleep(_PAUSE_SECONDS)


class ServerPauseTest(TestCase):
    """Time-outs that are due when the process goes on."""

    def test_request_during_pause_is_answered(self) -> None:
        """Guards against an idle time-out that resets an unread request."""
        self.assertIn(b' 200 ', uvloop.run(_answer_after_pause(0)))

    def test_head_during_pause_is_answered(self) -> None:
        """Guards against 408 for headers that came in time."""
        self.assertIn(b' 200 ', uvloop.run(_answer_after_pause(_LINE_BYTES)))

    def test_partial_head_during_pause_is_rejected(self) -> None:
        """Headers that are still incomplete after the pause get 408."""
        answer = uvloop.run(_answer_after_pause(_LINE_BYTES, _REQUEST[:-2]))
        self.assertIn(b' 408 ', answer)


async def _answer_after_pause(received: int, sent: bytes = _REQUEST) -> bytes:
    """Pause a server when it has received a part of a request.

    :param received: the number of bytes of the part.
    :param sent: what the caller has sent when the pause ends.
    :return: what it answers.
    """
    loop = asyncio.get_running_loop()
    server = CallbackHttpServer(loop, EmptyAnswers())
    server.state.limits = _LIMITS
    address = split_address(reserve_addresses(1)[0])
    await server.start(*address)
    ours, theirs = socket.socketpair()
    with ours, socket.create_connection(address) as caller:
        caller.sendall(_REQUEST[:received])
        await asyncio.sleep(_LIMITS.idle_seconds / 2)
        paused = PauseInRead(caller, sent[received:])
        await loop.create_connection(lambda: paused, sock=theirs)
        ours.sendall(b'x')
        answer = await asyncio.to_thread(caller.recv, _ANSWER_BYTES)
    server.close()
    return answer
