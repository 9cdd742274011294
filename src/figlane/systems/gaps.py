"""Gaps between ticks, in which events may have waited to be handled.

While a process is paused, or its event loop is held up, signals wait. Their
time of arrival is not known when they are handled.
"""

from __future__ import annotations

from figlane.entities.world import TickGap, World

# Time without a tick, in seconds, above which the event loop may have been
# held up.
_MIN_GAP_SECONDS = 0.15
# Time after a gap within which events are handled that came in it, in seconds.
# Timers that are due run ticks before them.
_HANDLING_SECONDS = 0.25


def record_gap(world: World, now: float) -> None:
    """Remember the time since the latest tick if it is a gap.

    A shorter gap does not replace one that has just ended.

    :param world: the tables.
    :param now: the present time in seconds, when the next tick begins.
    """
    seconds = now - world.ticked_at
    if seconds <= _MIN_GAP_SECONDS:
        return
    is_shorter = seconds < world.tick_gap.seconds
    if is_shorter and _has_just_ended(world.tick_gap, now):
        return
    world.tick_gap = TickGap(world.ticked_at, now)


def earliest_arrival(world: World, now: float) -> float:
    """Return the earliest time at which an event can have come.

    On a node that had nothing to do this is up to a second too early.

    :param world: the tables.
    :param now: the present time in seconds, when the event is handled.
    :return: the time in seconds.
    """
    if _has_just_ended(world.tick_gap, now):
        return world.tick_gap.began_at
    if now - world.ticked_at > _MIN_GAP_SECONDS:
        return world.ticked_at
    return now


def _has_just_ended(gap: TickGap, now: float) -> bool:
    return now - gap.ended_at <= _HANDLING_SECONDS
