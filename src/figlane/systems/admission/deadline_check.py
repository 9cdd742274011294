"""Deadline-aware admission: early refusal and bounds on the queue."""

from __future__ import annotations

import math

from figlane.entities.backend_server import BackendServer
from figlane.entities.execution import Execution
from figlane.entities.flow import Flow, FlowPhase
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.latency import ESTIMATE_LIFETIME_SECONDS
from figlane.systems.admission.named_limit import (
    calls_within_limit,
    has_limit_token,
)
from figlane.systems.admission.run_limits import run_limit_refusal
from figlane.systems.registry import deadline_policies

# Upper bound on queued executions per slot of the concurrency limit.
QUEUE_PER_SLOT = 2
# Target for the queue delay of the last execution in the queue.
TARGET_WAIT_SECONDS = 0.25
# The same target as a multiple of the average latency, for slow services.
_TARGET_WAIT_LATENCIES = 0.5
# Longest time in the queue as a multiple of the target.
_MAX_WAIT_TARGETS = 2


@deadline_policies.register('none')
def accept_all(
    world: World,
    execution: Execution,
    backend: BackendServer,
    now: float,
) -> None:
    """Accept every execution, as the baseline without prediction.

    :param world: the tables.
    :param execution: a queued execution.
    :param backend: the backend server that is to run it.
    :param now: the present time in seconds.
    """


@deadline_policies.register('predicted')
def refuse_predicted_miss(
    world: World,
    execution: Execution,
    backend: BackendServer,
    now: float,
) -> Refusal | None:
    """Refuse an execution that is predicted to miss its deadline.

    If the time left is below the tenth percentile of recent latencies of the
    same importance, the execution is refused as past its deadline. If only
    the expected queue delay makes it miss the deadline, it is refused as
    overload, and the entry node can retry it at another node. So it can if
    this node stops before that percentile.

    :param world: the tables.
    :param execution: a queued execution.
    :param backend: the backend server that is to run it.
    :param now: the present time in seconds.
    :return: the refusal, or None.
    """
    seconds = _tenth_percentile(backend, execution, now)
    slack = execution.deadline - now - seconds
    if slack < 0:
        return Refusal(
            ErrorKind.DEADLINE_EXCEEDED,
            'the predicted latency exceeds the time left',
        )
    if slack < _expected_wait(world, execution, backend, now):
        return Refusal(
            ErrorKind.OVERLOADED,
            'the expected queue delay exceeds the time left',
        )
    return run_limit_refusal(world, execution, seconds, now)


def queue_bound(backend: BackendServer, now: float) -> float:
    """Compute the maximum queue length.

    By Little's law it is the length that drains within the target queue
    delay, capped at a fixed number per slot and at what a limit that the server
    names lets start within that delay.

    :param backend: the backend server, with its concurrency limit set.
    :param now: the present time in seconds.
    :return: the maximum number of queued executions.
    """
    bound = min(
        backend.limit * QUEUE_PER_SLOT,
        calls_within_limit(backend, target_wait(backend, now)),
    )
    average = _average_latency(backend, now)
    if not average:
        return bound
    in_time = math.ceil(backend.limit * target_wait(backend, now) / average)
    return min(bound, in_time)


def max_queue_wait(backend: BackendServer, now: float) -> float:
    """Compute the time after which a queued execution is refused.

    :param backend: the backend server.
    :param now: the present time in seconds.
    :return: the time in seconds.
    """
    return _MAX_WAIT_TARGETS * target_wait(backend, now)


def target_wait(backend: BackendServer, now: float) -> float:
    """Compute the target for the queue delay of the last execution.

    :param backend: the backend server.
    :param now: the present time in seconds.
    :return: the time in seconds.
    """
    return max(
        TARGET_WAIT_SECONDS,
        _TARGET_WAIT_LATENCIES * _average_latency(backend, now),
    )


def _average_latency(backend: BackendServer, now: float) -> float:
    if now - backend.latency.seen_at > ESTIMATE_LIFETIME_SECONDS:
        return 0
    return backend.latency.average


def _tenth_percentile(
    backend: BackendServer,
    execution: Execution,
    now: float,
) -> float:
    estimate = backend.latency_by_importance.get(execution.importance)
    if estimate is None or now - estimate.seen_at > ESTIMATE_LIFETIME_SECONDS:
        return 0
    return estimate.tenth_percentile


def _expected_wait(
    world: World,
    execution: Execution,
    backend: BackendServer,
    now: float,
) -> float:
    flow = world.flows.get(execution.flow_id)
    if flow is None:
        return 0
    ahead = _count_ahead(world, flow)
    by_slots = ahead * _average_latency(backend, now) / backend.limit
    if has_limit_token(backend, now):
        return by_slots
    return max(by_slots, ahead / calls_within_limit(backend, 1))


def _count_ahead(world: World, flow: Flow) -> float:
    backlogged = world.flows.in_phase(FlowPhase.BACKLOGGED)
    higher = sum(
        other.count
        for other in backlogged
        if other.importance > flow.importance
    )
    rounds = (flow.count - 1) / flow.weight
    equal = sum(
        min(other.count, rounds * other.weight)
        for other in backlogged
        if other.importance == flow.importance and other is not flow
    )
    return higher + equal + flow.count - 1
