"""Composition root of the load generator."""

from __future__ import annotations

import asyncio

from figlane.adapters.ticker import Ticker
from figlane.clock import current_time
from figlane.load.arrivals import run_load_tick, schedule_first_arrivals
from figlane.load.plan import Plan, make_world
from figlane.load.report import Report, make_report
from figlane.load.sender import LoadSender
from figlane.load.source import SendRequest
from figlane.load.timer import IntervalTimer
from figlane.load.world import LoadWorld

# Time that open requests get to finish after the last arrival.
_GRACE_SECONDS = 30.0


async def run_plan(plan: Plan) -> Report:
    """Generate the load of a plan and wait until all requests have ended.

    :param plan: a valid plan.
    :return: report on the outcomes of the requests.
    """
    loop = asyncio.get_running_loop()
    world = make_world(plan, current_time())
    ended = asyncio.Event()

    def run_tick(ticked: LoadWorld, now: float) -> None:
        run_load_tick(ticked, now)
        if ticked.has_ended:
            ended.set()

    ticker = Ticker(world, loop, run_tick)
    timer = IntervalTimer(loop, ticker.run)
    ticker.arm_timer = timer.arm
    sender = LoadSender(world, loop, ticker.deliver)
    ticker.sink_by_type = {SendRequest: sender.send}
    schedule_first_arrivals(world, current_time())
    ticker.run()
    try:
        async with asyncio.timeout(plan.seconds + _GRACE_SECONDS):
            await ended.wait()
    except TimeoutError:
        """Requests that are still open are reported without an outcome."""
    timer.close()
    sender.close()
    return make_report(world)
