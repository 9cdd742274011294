"""Limits the time of attempts that are sent while their entry node stops.

A call may have more time left than its entry node. What is sent then ends with
the drain: a backend server that does not get done answers at that time limit,
and its answer comes back before the node closes the connections of its callers.
"""

from __future__ import annotations

from figlane.entities.call import Call
from figlane.entities.node_drain import DRAIN_ID
from figlane.entities.table import NEVER
from figlane.entities.world import World

# Time after the drain in which answers of exit nodes are still accepted. The
# node's interface closes the connections of callers later than that.
ANSWER_SECONDS = 0.15


def drain_end(world: World) -> float:
    """Return when the drain ends after which the process of this node exits.

    :param world: the tables.
    :return: the time in seconds; never if the process goes on.
    """
    drain = world.node_drains.get(DRAIN_ID)
    if drain is None or not drain.stops_process:
        return NEVER
    return drain.ends_by


def time_limit(world: World, call: Call) -> float:
    """Return when an attempt that is sent now ends at the latest.

    :param world: the tables.
    :param call: an identified call.
    :return: the time in seconds: the call's deadline, or the end of the drain
        if the process stops before.
    """
    return min(call.deadline, drain_end(world))


def answer_seconds(world: World, call: Call) -> float:
    """Return how long after its time limit an attempt may still be answered.

    :param world: the tables.
    :param call: an identified call.
    :return: the time in seconds, 0 if the limit is the call's deadline.
    """
    return min(ANSWER_SECONDS, call.deadline - time_limit(world, call))
