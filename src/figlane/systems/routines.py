"""Starts the periodic routines of a node and runs those that are due."""

from __future__ import annotations

from figlane.entities.inbox import NodeStarted
from figlane.entities.routine import Routine
from figlane.entities.world import World
from figlane.registry import RunCondition
from figlane.systems.membership.states import publish_own_member
from figlane.systems.registry import (
    Stage,
    inbox_handlers,
    routines,
    system,
)


@inbox_handlers.register(NodeStarted)
def handle_node_started(world: World, row: NodeStarted, now: float) -> None:
    """Publish this node's member record and schedule its routines.

    :param world: the tables.
    :param row: the event; lists the routines that must not be started.
    :param now: the present time in seconds.
    """
    world.started_at = now
    publish_own_member(world)
    for key in routines.by_key.keys() - row.disabled_routines:
        world.routines.insert(Routine(key, due=now))


@system(Stage.MEMBERSHIP, RunCondition('routines'))
def run_routines(world: World, now: float) -> None:
    """Run each due routine and reschedule it for the time it returns.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for routine in world.routines.pop_due(now):
        due = routines.find(routine.id)(world, now)
        world.routines.schedule(routine, due)
