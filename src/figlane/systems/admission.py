"""Admission control for the local backend server of an exit node."""

from __future__ import annotations

from figlane.entities.backend_server import (
    BackendServer,
    BackendServerPhase,
)
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.flow import Flow, FlowPhase
from figlane.entities.outbox import RunOnBackend
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import Wake
from figlane.systems.cold_rate import may_start, next_start
from figlane.systems.cold_start import has_trial
from figlane.systems.concurrency_limit import concurrency_limit
from figlane.systems.deadline_check import patience, queue_bound
from figlane.systems.execution import end_execution
from figlane.systems.queue import (
    charge_start,
    enqueue,
    leave_queue,
    new_executions,
    next_to_shed,
    next_to_start,
    oldest,
)
from figlane.systems.registry import Stage, deadline_policies, system

_TOKEN_BYTES = 16


@system(
    Stage.ADMISSION, Wake('executions', ExecutionPhase.QUEUED), Wake('flows')
)
def admit_executions(world: World, now: float) -> None:
    """Start queued executions up to the concurrency limit and shed the rest.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    due_flows = world.flows.pop_due(now)
    if not queued_count(world) and not due_flows:
        return
    backend = serving_backend(world)
    if backend is None:
        _refuse_all(world, now)
        return
    backend.limit = concurrency_limit(backend)
    fresh = new_executions(world)
    if _fits(world, backend, len(fresh)):
        fresh = _start_at_once(world, fresh, backend, now)
        if not fresh and not due_flows:
            return
    enqueue(world, fresh)
    for execution in fresh:
        _check_deadline(world, execution, backend, now)
    _start_while_room(world, backend, now)
    for flow in due_flows:
        _refuse_impatient(world, flow, backend, now)
    _shed_excess(world, backend, now)
    _schedule_flows(world, backend, now)


def _fits(world: World, backend: BackendServer, count: int) -> bool:
    # With an empty queue and a free slot for each new execution, the queue
    # order does not matter, so that the queue can be bypassed.
    if world.flows.count(FlowPhase.BACKLOGGED):
        return False
    return running_count(world) + count <= backend.limit


def _start_at_once(
    world: World,
    fresh: list[Execution],
    backend: BackendServer,
    now: float,
) -> list[Execution]:
    held_back = []
    for execution in fresh:
        if not _may_start(world, backend, now):
            held_back.append(execution)
        elif _check_deadline(world, execution, backend, now):
            _start(world, execution, backend, now)
    return held_back


def _refuse_all(world: World, now: float) -> None:
    kind = ErrorKind.NO_BACKEND_SERVER
    if world.backend_servers.count(BackendServerPhase.DRAINING):
        kind = ErrorKind.DRAINING
    for execution in world.executions.in_phase(ExecutionPhase.QUEUED):
        _refuse(world, execution, kind, now)


def serving_backend(world: World) -> BackendServer | None:
    """Return the backend server in the serving phase.

    :param world: the tables.
    :return: the backend server, or None if none accepts work.
    """
    serving_ids = world.backend_servers.ids_in(BackendServerPhase.SERVING)
    return world.backend_servers.get(next(iter(serving_ids), ''))


def running_count(world: World) -> int:
    """Return the number of executions that hold a slot.

    :param world: the tables.
    :return: the number of running executions.
    """
    return world.executions.count(ExecutionPhase.RUNNING)


def queued_count(world: World) -> int:
    """Return the number of executions that wait for a slot.

    :param world: the tables.
    :return: the number of queued executions.
    """
    return world.executions.count(ExecutionPhase.QUEUED)


def _start_while_room(
    world: World,
    backend: BackendServer,
    now: float,
) -> None:
    while running_count(world) < backend.limit:
        execution = next_to_start(world)
        if execution is None or not _may_start(world, backend, now):
            return
        if _check_deadline(world, execution, backend, now):
            _start(world, execution, backend, now)


def _may_start(world: World, backend: BackendServer, now: float) -> bool:
    return has_trial(backend.ramp) and may_start(world, backend, now)


def _shed_excess(world: World, backend: BackendServer, now: float) -> None:
    bound = queue_bound(backend, now)
    while queued_count(world) > bound:
        execution = next_to_shed(world)
        if execution is None:
            return
        _refuse(world, execution, ErrorKind.OVERLOADED, now)


def _refuse_impatient(
    world: World,
    flow: Flow,
    backend: BackendServer,
    now: float,
) -> None:
    if flow.phase is FlowPhase.IDLE:
        world.flows.remove(flow.id)
        return
    latest = now - patience(backend, now)
    while flow.phase is FlowPhase.BACKLOGGED:
        execution = oldest(flow)
        if execution.queued_at > latest:
            return
        world.counters['queue.impatient'] += 1
        _refuse(world, execution, ErrorKind.OVERLOADED, now)


def _schedule_flows(world: World, backend: BackendServer, now: float) -> None:
    start_at = next_start(world, backend, now)
    for flow in world.flows.in_phase(FlowPhase.BACKLOGGED):
        refused_at = oldest(flow).queued_at + patience(backend, now)
        due = max(min(refused_at, start_at), now)
        if flow.due != due:
            world.flows.schedule(flow, due)


def _check_deadline(
    world: World,
    execution: Execution,
    backend: BackendServer,
    now: float,
) -> bool:
    check = deadline_policies.find(world.policies.deadline)
    refusal: Refusal | None = check(world, execution, backend, now)
    if refusal is None:
        return True
    end_execution(world, execution, refusal, now)
    return False


def _start(
    world: World,
    execution: Execution,
    backend: BackendServer,
    now: float,
) -> None:
    if execution.flow_id:
        charge_start(world, execution)
        leave_queue(world, execution, now)
    token = world.random.randbytes(_TOKEN_BYTES).hex()
    execution.context_token = token
    execution.backend_server_id = backend.id
    execution.started_at = now
    backend.ramp.trials -= 1
    waited = now - execution.queued_at
    world.latencies.add('queue', execution.service_id, waited)
    world.execution_by_token[token] = execution.id
    world.executions.move(execution, ExecutionPhase.RUNNING)
    world.outbox.append(
        RunOnBackend(
            execution_id=execution.id,
            backend_server_id=backend.id,
            attempt=execution.attempt,
            address=backend.address,
            connections=backend.connections,
            request=execution.request,
            timeout=execution.deadline - now,
            organisation_id=execution.organisation_id,
            context_token=token,
            trace_parent=execution.trace_parent,
        ),
    )


def _refuse(
    world: World,
    execution: Execution,
    kind: ErrorKind,
    now: float,
) -> None:
    backend = serving_backend(world)
    limit = 0 if backend is None else backend.limit
    waited = now - execution.queued_at
    detail = (
        f'{world.identity.node_id}: {running_count(world)} running, '
        f'{queued_count(world)} queued, limit {limit}, waited {waited:.3f} s'
    )
    end_execution(world, execution, Refusal(kind, detail), now)
