"""Keeps a bounded sample of refused calls for diagnosis.

Each error kind has its own row limit. Once it is reached, further refusals of
this kind are not recorded until rows have passed the retention time of 60 s.
Thus a flood of one kind neither fills the table nor displaces other kinds.
"""

from __future__ import annotations

from figlane.entities.call import Call
from figlane.entities.refused_call import RefusedCall
from figlane.entities.world import World
from figlane.errors import Refusal
from figlane.registry import RunCondition
from figlane.systems.registry import Stage, system

RETENTION_SECONDS = 60.0
MAX_ROWS_PER_KIND = 64


@system(Stage.EXPIRY, RunCondition('refused_calls'))
def evict_refused_calls(world: World, now: float) -> None:
    """Evict refused calls whose retention time has expired.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for row in world.refused_calls.pop_due(now):
        world.refused_calls.remove(row.id)


def record_refused_call(world: World, call: Call, now: float) -> None:
    """Record a refused call unless the row limit of its kind is reached.

    :param world: the tables.
    :param call: a finished call; one that was not refused is ignored.
    :param now: the present time in seconds.
    """
    refusal = call.outcome
    if not isinstance(refusal, Refusal):
        return
    if world.refused_calls.count(refusal.kind) >= MAX_ROWS_PER_KIND:
        return
    world.refused_calls.insert(
        RefusedCall(
            id=call.id,
            phase=refusal.kind,
            detail=refusal.detail,
            service_id=call.service_id,
            organisation_id=call.organisation_id,
            due=now + RETENTION_SECONDS,
        ),
    )
