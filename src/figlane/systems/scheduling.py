"""Rescheduling of routines and jitter for periodic work."""

from __future__ import annotations

from figlane.entities.world import World

# Jitter is uniform between 0.5 and 1.5 times the period.
_MIN_JITTER_FACTOR = 0.5


def bring_forward(world: World, key: str, due: float) -> None:
    """Reschedule a routine to run no later than the given time.

    :param world: the tables.
    :param key: key of the routine; a routine that is not scheduled, as before
        the start of the node, is left alone.
    :param due: the latest time of the next run in seconds.
    """
    routine = world.routines.get(key)
    if routine is not None and due < routine.due:
        world.routines.schedule(routine, due)


def jittered(world: World, seconds: float) -> float:
    """Add jitter to a period, so that nodes do not act at the same time.

    :param world: the tables.
    :param seconds: the mean period in seconds.
    :return: the jittered period in seconds.
    """
    return seconds * (_MIN_JITTER_FACTOR + world.random.random())
