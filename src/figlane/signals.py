"""Signals of a node process: stop and reload."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

import structlog

_log = structlog.get_logger()


class Stoppable(Protocol):
    """What signals can stop."""

    def stop(self, signal_name: str) -> None:
        """Start a graceful shutdown, unless one has started.

        :param signal_name: name of the signal.
        """

    def stop_now(self, signal_name: str) -> None:
        """End without waiting for open work.

        :param signal_name: name of the signal.
        """


class _InterruptHandler:
    """Counts SIGINT: the first one stops gracefully, the others at once."""

    __slots__ = ('_is_interrupted', '_node')

    def __init__(self, node: Stoppable) -> None:
        self._node = node
        self._is_interrupted = False

    def handle(self) -> None:
        """Handle one SIGINT."""
        name = signal.SIGINT.name
        if self._is_interrupted:
            self._node.stop_now(name)
            return
        self._is_interrupted = True
        self._node.stop(name)


def ignore_reloads() -> None:
    """Ignore SIGHUP until the event loop handles it.

    By default the signal ends the process, also one that is still starting.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def ignore_signals() -> None:
    """Ignore all handled signals in a process whose work has ended.

    The interpreter restores their default handlers before it exits, by which
    they would end the process with an exit code that tells of a failure.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


def handle_signals(loop: asyncio.AbstractEventLoop, node: Stoppable) -> None:
    """Stop on SIGTERM or SIGINT, and log SIGHUP.

    A repeated SIGTERM changes nothing, since supervisors may send several. A
    second SIGINT, from a terminal, ends the process at once.

    A change of the settings takes effect at the next start of the process: its
    addresses stay bound, and no call is cut off.

    :param loop: the event loop that runs the node.
    :param node: the node.
    """
    loop.add_signal_handler(signal.SIGTERM, node.stop, signal.SIGTERM.name)
    loop.add_signal_handler(signal.SIGINT, _InterruptHandler(node).handle)
    loop.add_signal_handler(signal.SIGHUP, _log_reload_request)


def _log_reload_request() -> None:
    _log.info('settings_changed')
