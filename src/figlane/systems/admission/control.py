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
from figlane.registry import RunCondition
from figlane.systems.admission.cold_rate import (
    next_token_time,
    take_start_token,
)
from figlane.systems.admission.cold_start import has_allowed_start
from figlane.systems.admission.concurrency_limit import concurrency_limit
from figlane.systems.admission.deadline_check import max_queue_wait, queue_bound
from figlane.systems.admission.execution import end_execution
from figlane.systems.admission.named_limit import (
    FIRST_CALLS,
    has_limit_token,
    next_limit_token_time,
    take_limit_token,
)
from figlane.systems.admission.queue import (
    advance_virtual_time,
    dequeue,
    enqueue,
    new_executions,
    oldest_execution,
    shed_candidate,
    start_candidate,
)
from figlane.systems.admission.run_limits import (
    run_limit,
    run_limit_refusal,
    schedule_end,
)
from figlane.systems.registry import Stage, deadline_policies, system

_TOKEN_BYTES = 16


@system(
    Stage.ADMISSION,
    RunCondition('executions', ExecutionPhase.QUEUED),
    RunCondition('flows'),
)
def admit_executions(world: World, now: float) -> None:
    """Start queued executions up to the limit and shed those over the bound.

    The limit is the concurrency limit of the backend server and the bound the
    maximum length of its queue. Executions past their deadline or the maximum
    time in the queue are refused too.

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
    if backend.awaits_first_answer:
        backend.limit = min(backend.limit, FIRST_CALLS)
    arrived = new_executions(world)
    if _can_bypass_queue(world, backend, len(arrived)):
        arrived = _start_without_queue(world, arrived, backend, now)
        if not arrived and not due_flows:
            return
    enqueue(world, arrived)
    # The check ends the executions that do not pass it.
    for execution in arrived:
        _passes_deadline_check(world, execution, backend, now)
    _start_up_to_limit(world, backend, now)
    for flow in due_flows:
        _refuse_overdue(world, flow, backend, now)
    _shed_excess(world, backend, now)
    _schedule_flows(world, backend, now)


def _can_bypass_queue(world: World, backend: BackendServer, count: int) -> bool:
    # With an empty queue and a free slot for each new execution, the queue
    # order does not matter, and the queue can be bypassed.
    if world.flows.count(FlowPhase.BACKLOGGED):
        return False
    return running_count(world) + count <= backend.limit


def _start_without_queue(
    world: World,
    arrived: list[Execution],
    backend: BackendServer,
    now: float,
) -> list[Execution]:
    remaining = []
    for execution in arrived:
        if not _passes_deadline_check(world, execution, backend, now):
            continue
        if _try_admit(world, backend, now):
            _start(world, execution, backend, now)
        else:
            remaining.append(execution)
    return remaining


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
    serving_ids = world.backend_servers.ids_in_phase(BackendServerPhase.SERVING)
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


def _start_up_to_limit(
    world: World,
    backend: BackendServer,
    now: float,
) -> None:
    while running_count(world) < backend.limit:
        execution = start_candidate(world)
        if execution is None or not has_limit_token(backend, now):
            return
        if not _passes_deadline_check(world, execution, backend, now):
            continue
        if not _try_admit(world, backend, now):
            return
        _start(world, execution, backend, now)


def _try_admit(world: World, backend: BackendServer, now: float) -> bool:
    if not has_allowed_start(backend.ramp) or not has_limit_token(backend, now):
        return False
    if not take_start_token(world, backend, now):
        return False
    take_limit_token(backend)
    return True


def _shed_excess(world: World, backend: BackendServer, now: float) -> None:
    bound = queue_bound(backend, now)
    while queued_count(world) > bound:
        execution = shed_candidate(world)
        if execution is None:
            return
        _refuse(world, execution, ErrorKind.OVERLOADED, now)


def _refuse_overdue(
    world: World,
    flow: Flow,
    backend: BackendServer,
    now: float,
) -> None:
    if flow.phase is FlowPhase.IDLE:
        world.flows.remove(flow.id)
        return
    cutoff = now - max_queue_wait(backend, now)
    while flow.phase is FlowPhase.BACKLOGGED:
        execution = oldest_execution(flow)
        if execution.queued_at > cutoff:
            return
        world.counters['queue.impatient'] += 1
        _refuse(world, execution, ErrorKind.OVERLOADED, now)


def _schedule_flows(world: World, backend: BackendServer, now: float) -> None:
    start_at = min(
        next_token_time(world, backend, now),
        next_limit_token_time(backend, now),
    )
    for flow in world.flows.in_phase(FlowPhase.BACKLOGGED):
        refused_at = oldest_execution(flow).queued_at + max_queue_wait(
            backend, now
        )
        due = max(min(refused_at, start_at), now)
        if flow.due != due:
            world.flows.schedule(flow, due)


def _passes_deadline_check(
    world: World,
    execution: Execution,
    backend: BackendServer,
    now: float,
) -> bool:
    check = deadline_policies.find(world.policies.deadline)
    refusal: Refusal | None = run_limit_refusal(
        world, execution, 0, now
    ) or check(world, execution, backend, now)
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
        advance_virtual_time(world, execution)
        dequeue(world, execution, now)
    token = world.random.randbytes(_TOKEN_BYTES).hex()
    execution.context_token = token
    execution.backend_server_id = backend.id
    execution.started_at = now
    backend.ramp.allowed_starts -= 1
    waited = now - execution.queued_at
    world.latencies.add('queue', execution.service_id, waited)
    world.execution_by_token[token] = execution.id
    world.executions.move(execution, ExecutionPhase.RUNNING)
    schedule_end(world, execution)
    world.outbox.append(
        RunOnBackend(
            execution_id=execution.id,
            backend_server_id=backend.id,
            attempt=execution.attempt,
            address=backend.address,
            connections=backend.connections,
            request=execution.request,
            timeout=max(0, run_limit(world, execution) - now),
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
