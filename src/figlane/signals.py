"""Signals of a node process: stop and reload."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

import structlog

_log = structlog.get_logger()


def ignore_reloads() -> None:
    """Ignore SIGHUP until the event loop handles it.

    By default the signal ends the process, also one that is still starting.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def handle_signals(
    loop: asyncio.AbstractEventLoop, stop: Callable[[str], None]
) -> None:
    """Stop on SIGTERM or SIGINT, and log SIGHUP.

    A change of the settings takes effect at the next start of the process: its
    addresses stay bound, and no call is cut off.

    :param loop: the event loop that runs the node.
    :param stop: requests a graceful shutdown; it gets the signal's name.
    """
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop, signal_number.name)
    loop.add_signal_handler(signal.SIGHUP, _log_reload_request)


def _log_reload_request() -> None:
    _log.info('settings_changed')
