"""Tests of the tick scheduler's timers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any
from unittest import TestCase, mock

import uvloop

from figlane.adapters.ticker import Ticker
from figlane.clock import current_time
from figlane.entities.table import NEVER

# Seconds until the next row is due; uvloop rounds this delay down to zero.
_DELAY_SECONDS = 0.0004
_ROW_COUNT = 50
_LONG_DELAY_SECONDS = 60


@dataclass(slots=True)
class _World:
    """World whose rows become due one after the other."""

    due: float
    remaining: int = _ROW_COUNT
    ticks: int = 0
    inbox: list[Any] = field(default_factory=list)
    outbox: list[Any] = field(default_factory=list)
    failures: list[Exception] = field(default_factory=list)

    def wake_time(self) -> float:
        """Return the due time of the next row."""
        return self.due if self.remaining else NEVER


def _tick(world: _World, now: float) -> None:
    world.ticks += 1
    if world.due <= now:
        world.remaining -= 1
        world.due = now + _DELAY_SECONDS


class TimerTest(TestCase):
    """Timers with delays below the resolution of the event loop."""

    def test_ticks_once_for_a_due_time(self) -> None:
        """A delay that uvloop rounds down causes no premature ticks."""
        self.assertLessEqual(uvloop.run(_count_ticks()), _ROW_COUNT + 2)

    def test_early_timer(self) -> None:
        """A timer that fires before the due time is set again, without a tick.

        The event loop counts delays from the start of its iteration, so that a
        timer fires early if the process is preempted while it sets the timer.
        """
        loop = mock.Mock()
        world = _World(current_time() + _LONG_DELAY_SECONDS)
        ticker = Ticker(world, loop, _tick)
        ticker.run()
        self.assertEqual(world.ticks, 1)
        for _ in range(3):
            _, fire = loop.call_later.call_args.args
            loop.call_later.reset_mock()
            fire()
            delay, _ = loop.call_later.call_args.args
            self.assertAlmostEqual(delay, _LONG_DELAY_SECONDS, delta=1)
        self.assertEqual(world.ticks, 1)


async def _count_ticks() -> int:
    world = _World(current_time() + _DELAY_SECONDS)
    ticker = Ticker(world, asyncio.get_running_loop(), _tick)
    ticker.run()
    async with asyncio.timeout(10):
        while world.remaining:
            await asyncio.sleep(0.01)
    return world.ticks
