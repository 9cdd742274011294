"""Tick scheduler, driven by inbox rows and timers without polling."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from figlane.clock import current_time
from figlane.entities.table import NEVER

_log = structlog.get_logger()

# Timer resolution of uvloop in seconds. It is added to each delay, because a
# delay that is rounded down fires before the due time and is rearmed in vain.
_TIMER_RESOLUTION_SECONDS = 0.001

Sink = Callable[[Any], None]
RunTick = Callable[[Any, float], None]


class TickerWorld(Protocol):
    """World interface that the ticker uses."""

    inbox: list[Any]
    outbox: list[Any]
    failures: list[Exception]

    def wake_time(self) -> float:
        """Compute when the next tick is due without any inbox row.

        :return: a lower bound in seconds, or ``NEVER``.
        """


class Ticker:
    """Runs the systems and passes outbox rows to the adapters."""

    __slots__ = (
        '_armed_due',
        '_is_scheduled',
        '_loop',
        '_run_tick',
        '_timer',
        'arm_timer',
        'sink_by_type',
        'world',
    )

    def __init__(
        self,
        world: TickerWorld,
        loop: asyncio.AbstractEventLoop,
        run_tick: RunTick,
    ) -> None:
        """Create a ticker without registered sinks.

        :param world: the entity tables.
        :param loop: event loop that runs the ticks.
        :param run_tick: runs all systems of the world once.
        """
        self.world = world
        self.sink_by_type: dict[type, Sink] = {}
        self.arm_timer: Callable[[float], None] = self._arm
        self._loop = loop
        self._run_tick = run_tick
        self._is_scheduled = False
        self._armed_due = NEVER
        self._timer: asyncio.TimerHandle | None = None

    def deliver(self, row: Any) -> None:
        """Append an inbox row and schedule a tick.

        One tick handles all rows of an event loop iteration.

        :param row: the inbox row.
        """
        self.world.inbox.append(row)
        if self._is_scheduled:
            return
        self._is_scheduled = True
        self._loop.call_soon(self.run)

    def run(self) -> None:
        """Run one tick and dispatch the outbox rows that it produced."""
        self._is_scheduled = False
        self._run_tick(self.world, current_time())
        if self.world.failures:
            self._log_failures()
        self._dispatch_outbox()
        if self.world.inbox and not self._is_scheduled:
            # The number of passes per tick is limited; remaining inbox rows
            # need another tick.
            self._is_scheduled = True
            self._loop.call_soon(self.run)
        self.arm_timer(self.world.wake_time())

    def _log_failures(self) -> None:
        for failure in self.world.failures:
            _log.error('row_failed', exc_info=failure)
        self.world.failures.clear()

    def _dispatch_outbox(self) -> None:
        rows = self.world.outbox
        self.world.outbox = []
        for row in rows:
            self.sink_by_type[type(row)](row)

    def _arm(self, due: float) -> None:
        # A timer that is set too early is kept: the tick that finds nothing due
        # and rearms it is cheaper than a new timer in each tick.
        if due >= self._armed_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._armed_due = due
        delay = max(0, due - current_time()) + _TIMER_RESOLUTION_SECONDS
        self._timer = self._loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        due = self._armed_due
        self._timer = None
        self._armed_due = NEVER
        # The event loop counts a delay from the start of the iteration that
        # sets the timer. If the process is preempted in that iteration, the
        # timer fires early.
        if current_time() < due:
            self._arm(due)
            return
        self.run()
