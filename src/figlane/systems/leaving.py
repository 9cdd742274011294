"""Graceful shutdown: refuse new work, drain the work in progress, stop."""

from __future__ import annotations

from figlane.entities.call import CallPhase
from figlane.entities.departure import (
    DEPARTURE_ID,
    Departure,
    DeparturePhase,
    LeaveRequested,
    NodeDrained,
    NodeDraining,
)
from figlane.entities.execution import ExecutionPhase
from figlane.entities.gossip import MembersAnswer, MemberState
from figlane.entities.member import MemberPhase
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import Wake
from figlane.systems.execution import end_execution
from figlane.systems.lifecycle import finish_call
from figlane.systems.membership import own_member, record_of, write_member
from figlane.systems.post import post
from figlane.systems.registry import (
    Stage,
    leaving_hooks,
    message_handlers,
    system,
)
from figlane.systems.rendezvous import live_members

# Time for which a leaving node still accepts root calls as entry node.
ENTRY_GRACE_SECONDS = 2.0
# Time without work before the node counts as drained, so that the last answers
# are sent.
_IDLE_SECONDS = 0.5
_CHECK_SECONDS = 0.25

_UNFINISHED = (
    ExecutionPhase.QUEUED,
    ExecutionPhase.RUNNING,
    ExecutionPhase.ANSWERED,
)


@message_handlers.register(LeaveRequested)
def handle_leave(world: World, row: LeaveRequested, now: float) -> None:
    """Start draining this node.

    A repeated request has one effect: it can add that the process exits.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    departure = world.departures.get(DEPARTURE_ID)
    if departure is not None:
        departure.exits = departure.exits or row.exits
        world.departures.schedule(departure, now)
        return
    world.departures.insert(
        Departure(
            now,
            now + row.seconds,
            row.exits,
            row.keeps_callers,
            due=now,
        ),
    )
    world.members.move(own_member(world), MemberPhase.LEAVING)
    write_member(world)
    _announce_leaving(world)
    for hook in leaving_hooks.by_key.values():
        hook(world, now)
    world.outbox.append(NodeDraining())


def _announce_leaving(world: World) -> None:
    own = own_member(world)
    state = MemberState(record_of(own), own.phase.value)
    for member in live_members(world):
        post(world, member.id, MembersAnswer([state]))


@system(
    Stage.QUOTA,
    Wake('departures', DeparturePhase.DRAINING),
    Wake('departures', DeparturePhase.DRAINED),
)
def refuse_new_work(world: World, now: float) -> None:
    """Refuse calls that arrive while the node drains, before they run.

    Child calls of executions that still run here are accepted.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    departure = world.departures.get(DEPARTURE_ID)
    if departure is None:
        return
    for execution in world.executions.in_phase(ExecutionPhase.QUEUED):
        if execution.queued_at > departure.began_at:
            end_execution(world, execution, Refusal(ErrorKind.DRAINING), now)
    is_entry_grace = now < departure.began_at + ENTRY_GRACE_SECONDS
    if is_entry_grace or departure.keeps_callers:
        return
    for call in world.calls.in_phase(CallPhase.ARRIVED):
        if not call.context_token:
            finish_call(world, call, Refusal(ErrorKind.DRAINING))


@system(Stage.COMPLETION, Wake('departures'))
def end_departure(world: World, now: float) -> None:
    """End the drain when no work is left or its time limit has passed.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for departure in world.departures.pop_due(now):
        _update_idle_since(world, departure, now)
        if not _is_drained(world, departure, now):
            next_check_at = min(now + _CHECK_SECONDS, departure.ends_by)
            world.departures.schedule(departure, next_check_at)
            continue
        world.departures.move(departure, DeparturePhase.DRAINED)
        if departure.exits:
            world.outbox.append(NodeDrained())


def _update_idle_since(world: World, departure: Departure, now: float) -> None:
    unfinished = sum(world.executions.count(phase) for phase in _UNFINISHED)
    if unfinished or len(world.calls):
        departure.idle_since = now
    departure.idle_since = min(departure.idle_since, now)


def _is_drained(world: World, departure: Departure, now: float) -> bool:
    if now >= departure.ends_by:
        return True
    if now - departure.idle_since < _IDLE_SECONDS:
        return False
    is_entry_grace_over = now - departure.began_at >= ENTRY_GRACE_SECONDS
    return is_entry_grace_over or not live_members(world)
