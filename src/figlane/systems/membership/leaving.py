"""Graceful shutdown: refuse new work, drain the work in progress, stop."""

from __future__ import annotations

from figlane.entities.execution import ExecutionPhase
from figlane.entities.gossip import MembersResponse, MemberState
from figlane.entities.link import LinkPhase
from figlane.entities.member import MemberPhase
from figlane.entities.node_drain import (
    DRAIN_ID,
    DrainEndRequested,
    DrainPhase,
    DrainRequested,
    NodeDrain,
    NodeDrained,
    NodeDraining,
)
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.execution import end_execution
from figlane.systems.admission.run_limits import end_runs_with_drain
from figlane.systems.calls.stopping import ENTRY_GRACE_SECONDS, end_open_calls
from figlane.systems.links.messages import send_message
from figlane.systems.membership.rendezvous import live_members
from figlane.systems.membership.states import (
    own_member,
    publish_own_member,
    record_of,
)
from figlane.systems.registry import (
    Stage,
    inbox_handlers,
    leaving_hooks,
    system,
)

# Time without work before the node counts as drained, so that the last answers
# are sent.
_IDLE_SECONDS = 0.5
_CHECK_SECONDS = 0.25

_NOT_STARTED = (
    ExecutionPhase.KEYED,
    ExecutionPhase.CLAIMING,
    ExecutionPhase.QUEUED,
)
_UNFINISHED = (
    *_NOT_STARTED,
    ExecutionPhase.RUNNING,
    ExecutionPhase.ANSWERED,
)


@inbox_handlers.register(DrainRequested)
def handle_drain_request(world: World, row: DrainRequested, now: float) -> None:
    """Start draining this node.

    While the node drains, further requests change nothing, except for the first
    one that the process exits after the drain: its time limit goes before that
    of the operator's drain.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    drain = world.node_drains.get(DRAIN_ID)
    if drain is not None:
        if row.stops_process and not drain.stops_process:
            _add_stop(world, drain, row, now)
        return
    world.node_drains.insert(
        NodeDrain(
            now,
            now + row.seconds,
            row.stops_process,
            row.accepts_root_calls,
            due=now,
        ),
    )
    world.members.move(own_member(world), MemberPhase.LEAVING)
    publish_own_member(world)
    _announce_leaving(world)
    for hook in leaving_hooks.by_key.values():
        hook(world, now)
    world.outbox.append(NodeDraining())


def _add_stop(
    world: World, drain: NodeDrain, row: DrainRequested, now: float
) -> None:
    drain.stops_process = True
    drain.accepts_root_calls = row.accepts_root_calls
    drain.ends_by = now + row.seconds
    world.node_drains.move(drain, DrainPhase.DRAINING)
    world.node_drains.schedule(drain, now)
    end_runs_with_drain(world, now)


@inbox_handlers.register(DrainEndRequested)
def handle_drain_end_request(
    world: World, row: DrainEndRequested, now: float
) -> None:
    """End the drain of a node that stops as if its time limit had passed.

    A drain whose time limit has passed is ended already.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    drain = world.node_drains.get(DRAIN_ID)
    if drain is None or not drain.stops_process or drain.ends_by <= now:
        return
    drain.ends_by = now
    world.node_drains.schedule(drain, now)
    end_runs_with_drain(world, now)


def _announce_leaving(world: World) -> None:
    # Only nodes that exchange messages with this one have to know at once. The
    # others learn of it by gossip, or from the refusal of their first call.
    own = own_member(world)
    state = MemberState(record_of(own), own.phase.value)
    for link in world.links.in_phase(LinkPhase.OPEN):
        send_message(world, link.id, MembersResponse([state], is_news=True))


@system(
    Stage.QUOTA,
    RunCondition('node_drains', DrainPhase.DRAINING),
    RunCondition('node_drains', DrainPhase.DRAINED),
)
def refuse_new_work(world: World, now: float) -> None:
    """Refuse executions that arrive while the node drains, before they run.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    drain = world.node_drains.get(DRAIN_ID)
    if drain is None:
        return
    for execution in world.executions.in_phase(ExecutionPhase.QUEUED):
        if execution.queued_at > drain.began_at:
            end_execution(world, execution, Refusal(ErrorKind.DRAINING), now)


@system(Stage.EXPIRY, RunCondition('node_drains'))
def end_drain(world: World, now: float) -> None:
    """End the drain when no work is left or its time limit has passed.

    The process may still wait for callers that read slowly. Until the time
    limit, it accepts calls meanwhile.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for drain in world.node_drains.pop_due(now):
        if drain.phase is DrainPhase.DRAINING:
            _check_drained(world, drain, now)
        if drain.phase is DrainPhase.DRAINED and drain.stops_process:
            _stop_process(world, drain, now)


def _check_drained(world: World, drain: NodeDrain, now: float) -> None:
    _update_idle_since(world, drain, now)
    if _is_drained(world, drain, now):
        world.node_drains.move(drain, DrainPhase.DRAINED)
        return
    next_check_at = min(now + _CHECK_SECONDS, drain.ends_by)
    world.node_drains.schedule(drain, next_check_at)


def _stop_process(world: World, drain: NodeDrain, now: float) -> None:
    if not drain.is_reported:
        drain.is_reported = True
        world.outbox.append(NodeDrained())
    if now >= drain.ends_by:
        end_open_calls(world, now)
        _refuse_unstarted_executions(world, now)
    else:
        world.node_drains.schedule(drain, drain.ends_by)


def _refuse_unstarted_executions(world: World, now: float) -> None:
    for phase in _NOT_STARTED:
        for execution in world.executions.in_phase(phase):
            end_execution(world, execution, Refusal(ErrorKind.DRAINING), now)


def count_open_executions(world: World) -> int:
    """Count the executions that wait or run at this node.

    :param world: the tables.
    :return: the number of executions.
    """
    return sum(world.executions.count(phase) for phase in _UNFINISHED)


def _update_idle_since(world: World, drain: NodeDrain, now: float) -> None:
    if count_open_executions(world) or len(world.calls):
        drain.idle_since = now
    drain.idle_since = min(drain.idle_since, now)


def _is_drained(world: World, drain: NodeDrain, now: float) -> bool:
    if now >= drain.ends_by:
        return True
    if now - drain.idle_since < _IDLE_SECONDS:
        return False
    is_entry_grace_over = now - drain.began_at >= ENTRY_GRACE_SECONDS
    return is_entry_grace_over or not live_members(world)
