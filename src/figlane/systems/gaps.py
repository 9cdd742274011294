"""Late ticks, before which events may have waited to be handled.

While a process is paused, or its event loop is held up, signals wait. Their
time of arrival is not known when they are handled. Without a pause, the next
tick begins at the latest when its timer is due.
"""

from __future__ import annotations

from figlane.entities.world import TickGap, World

# Delay of a tick, in seconds, above which the event loop may have been held up.
_MIN_GAP_SECONDS = 0.15
# Time after a gap within which events are handled that came in it, in seconds.
# Timers that are due run ticks before them.
_HANDLING_SECONDS = 0.25


def record_gap(world: World, now: float) -> None:
    """Remember for how long the next tick has been overdue if it is a gap.

    A shorter gap does not replace one that has just ended.

    :param world: the tables.
    :param now: the present time in seconds, when the next tick begins.
    """
    due_at = _next_tick_due(world)
    seconds = now - due_at
    if seconds <= _MIN_GAP_SECONDS:
        return
    is_shorter = seconds < world.tick_gap.seconds
    if is_shorter and _has_just_ended(world.tick_gap, now):
        return
    world.tick_gap = TickGap(due_at, now)


def earliest_arrival(world: World, now: float) -> float:
    """Return the earliest time at which an event can have come.

    A pause may have begun before the timer of the next tick was due, so that
    this is too late by less than the time between two ticks.

    :param world: the tables.
    :param now: the present time in seconds, when the event is handled.
    :return: the time in seconds.
    """
    if _has_just_ended(world.tick_gap, now):
        return world.tick_gap.began_at
    due_at = _next_tick_due(world)
    return due_at if now - due_at > _MIN_GAP_SECONDS else now


def _next_tick_due(world: World) -> float:
    return max(world.ticked_at, world.wake_time())


def _has_just_ended(gap: TickGap, now: float) -> bool:
    return now - gap.ended_at <= _HANDLING_SECONDS
