"""Slow start of backend servers: concurrency ramp driven by outcomes."""

from __future__ import annotations

from figlane.entities.backend_server import BackendServer
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.ramp import Ramp
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.latency import running_backend
from figlane.systems.registry import (
    cold_start_policies,
    execution_observers,
)

# Initial concurrency of a restarted ramp, and its lower bound.
_INITIAL_LEVEL = 1.0
# Multiplicative decrease of the level after a refusal.
_DECREASE = 0.5
# Bounds of the pause before a probe above the ceiling; it doubles with each
# decrease.
_MIN_PROBE_SECONDS = 0.25
_MAX_PROBE_SECONDS = 2.0
# Refusals per answer that are attributed to the requests instead of overload.
_CREDIT_PER_ANSWER = 0.05
_SERVICE_UNAVAILABLE = 503
# The level rises only while at least this fraction of it is in use.
_MIN_UTILISATION = 0.5


@cold_start_policies.register('none')
def disable_ramp(
    ramp: Ramp,
    running: int,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Allow the announced concurrency at once, as the baseline without a ramp.

    :param ramp: the ramp of the backend server.
    :param running: running executions, including the one that ends.
    :param execution: the execution that ends.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    ramp.level = NEVER


@cold_start_policies.register('ramp')
def adjust_ramp(
    ramp: Ramp,
    running: int,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Raise the level after an answer and lower it after a refusal.

    :param ramp: the ramp of the backend server.
    :param running: running executions, including the one that ends.
    :param execution: the execution that ends.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    if execution.started_at >= ramp.lowered_at:
        ramp.allowed_starts += 1
    if _is_refused(execution, outcome):
        _decrease(ramp, running, execution, now)
        return
    if isinstance(outcome, Answer | StreamedAnswer):
        _increase(ramp, running, execution, now)


@execution_observers.register('cold-start')
def apply_ramp_policy(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Apply the cold-start policy to the outcome of a running execution.

    :param world: the tables.
    :param execution: the execution that ends, before its phase changes.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    backend = running_backend(world, execution)
    if backend is None:
        return
    running = world.executions.count(ExecutionPhase.RUNNING)
    adjust = cold_start_policies.find(world.policies.cold_start)
    lowered_at = backend.ramp.lowered_at
    adjust(backend.ramp, running, execution, outcome, now)
    if backend.ramp.lowered_at != lowered_at:
        world.counters['ramp.lowered'] += 1


def has_allowed_start(ramp: Ramp) -> bool:
    """Tell whether the ramp allows one more start.

    Several executions that end at the same time free several slots. If all of
    these slots were filled right after a decrease, all new executions might be
    refused. Only one is started therefore, and the others wait for its outcome.

    :param ramp: the ramp.
    :return: False while the outcome of such a start is awaited.
    """
    return ramp.allowed_starts >= 1


def restart_ramp(world: World, backend: BackendServer) -> None:
    """Reset the ramp to the initial concurrency of a cold backend server.

    :param world: the tables.
    :param backend: the backend server.
    """
    if world.policies.cold_start == 'none':
        return
    world.counters['ramp.restarted'] += 1
    backend.ramp = Ramp(level=_INITIAL_LEVEL)


def _is_refused(
    execution: Execution, outcome: Answer | Refusal | StreamedAnswer
) -> bool:
    if isinstance(outcome, Refusal):
        return outcome.kind is ErrorKind.NO_BACKEND_SERVER
    if isinstance(outcome, StreamedAnswer):
        return False
    # If the execution made child calls, the 503 may come from a downstream
    # service.
    return (
        outcome.status == _SERVICE_UNAVAILABLE and not execution.child_intervals
    )


def _decrease(
    ramp: Ramp,
    running: int,
    execution: Execution,
    now: float,
) -> None:
    if execution.started_at < ramp.lowered_at:
        return
    is_probe = ramp.level > ramp.ceiling
    if ramp.refusal_credit >= 1 and not is_probe:
        ramp.refusal_credit = 0
        return
    sustained = min(ramp.level, running)
    ramp.ceiling = max(_INITIAL_LEVEL, sustained - 1)
    ramp.level = max(_INITIAL_LEVEL, sustained * _DECREASE)
    if is_probe:
        ramp.level = ramp.ceiling
    ramp.lowered_at = now
    ramp.allowed_starts = 1
    ramp.answers_since_change = 0
    ramp.refusal_credit = 0
    ramp.probe_seconds = min(
        max(_MIN_PROBE_SECONDS, 2 * ramp.probe_seconds),
        _MAX_PROBE_SECONDS,
    )
    ramp.probe_at = now + ramp.probe_seconds


def _increase(
    ramp: Ramp,
    running: int,
    execution: Execution,
    now: float,
) -> None:
    if execution.started_at < ramp.lowered_at:
        return
    ramp.allowed_starts += 1
    ramp.refusal_credit = min(1, ramp.refusal_credit + _CREDIT_PER_ANSWER)
    is_utilised = running >= ramp.level * _MIN_UTILISATION
    if ramp.level == NEVER or not is_utilised:
        return
    ramp.answers_since_change += 1
    if ramp.level < ramp.ceiling:
        ramp.level = min(ramp.level + 1, ramp.ceiling)
        ramp.answers_since_change = 0
        return
    if now < ramp.probe_at or ramp.answers_since_change < ramp.level:
        return
    if ramp.level > ramp.ceiling:
        # The probe succeeded: every answer raises the level again.
        ramp.ceiling = NEVER
        ramp.probe_seconds = 0
    ramp.level += 1
    ramp.answers_since_change = 0
