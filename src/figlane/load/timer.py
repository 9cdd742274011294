"""Timer with microsecond resolution for the load generator."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

from figlane.clock import current_time
from figlane.entities.table import NEVER

_MIN_DELAY_SECONDS = 0.000_001


class IntervalTimer:
    """Calls back at a given time, using the process's interval timer.

    Timers of the event loop have a resolution of 1 ms, which is too coarse:
    the latencies to be measured are shorter.
    """

    __slots__ = ('_loop',)

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        callback: Callable[[], None],
    ) -> None:
        """Install a handler for SIGALRM; one timer per process is possible.

        :param loop: the event loop.
        :param callback: called each time the timer expires.
        """
        self._loop = loop
        loop.add_signal_handler(signal.SIGALRM, callback)

    def arm(self, due: float) -> None:
        """Set the time of the next callback, replacing an earlier one.

        :param due: the time in seconds, or ``NEVER`` to disarm the timer.
        """
        if due == NEVER:
            signal.setitimer(signal.ITIMER_REAL, 0)
            return
        delay = max(_MIN_DELAY_SECONDS, due - current_time())
        signal.setitimer(signal.ITIMER_REAL, delay)

    def close(self) -> None:
        """Disarm the timer and remove the signal handler."""
        signal.setitimer(signal.ITIMER_REAL, 0)
        self._loop.remove_signal_handler(signal.SIGALRM)
