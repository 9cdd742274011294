"""Adaptive concurrency limit based on the latency of the backend server."""

from __future__ import annotations

import math

from figlane.entities.backend_server import BackendServer
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.latency import LatencyEstimate, LatencyWindow
from figlane.entities.world import World
from figlane.errors import Refusal
from figlane.systems.admission.latency import (
    is_latency_sample,
    latency_estimate,
    own_latency,
    running_backend,
)
from figlane.systems.registry import execution_observers, limit_policies

# Minimum length of a sampling window: in samples, and in average latencies.
_WINDOW_SAMPLES = 40
_WINDOW_LATENCIES = 1.0
# Ratio of latency to baseline above which the server counts as overloaded.
LATENCY_TOLERANCE = 1.5
_DECREASE = 0.8
_INCREASE = 0.05
# Fraction of the announced concurrency below which latencies do not lower the
# limit. Windows up to this concurrency update the baseline.
FLOOR_FRACTION = 0.1
_BASELINE_GAIN = 0.3


@execution_observers.register('concurrency-limit')
def observe_own_latency(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Add the own latency of an execution to the sampling window.

    A complete window is closed and updates the limit.

    :param world: the tables.
    :param execution: the execution that ends, before its phase changes.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    if world.policies.limit == 'none':
        return
    backend = running_backend(world, execution)
    if backend is None or not is_latency_sample(outcome):
        return
    window = backend.window
    importance = execution.importance
    counts = window.count_by_importance
    sums = window.sum_by_importance
    counts[importance] = counts.get(importance, 0) + 1
    sums[importance] = sums.get(importance, 0) + own_latency(execution, now)
    running = world.executions.count(ExecutionPhase.RUNNING)
    window.peak = max(window.peak, running)
    # Creates the estimate that holds the baseline of this importance.
    latency_estimate(backend, execution)
    if _is_complete(backend, now):
        _close_window(world, backend, now)


def _is_complete(backend: BackendServer, now: float) -> bool:
    window = backend.window
    shortest = _WINDOW_LATENCIES * backend.latency.average
    return (
        sum(window.count_by_importance.values()) >= _WINDOW_SAMPLES
        and now - window.opened_at >= shortest
    )


def _close_window(world: World, backend: BackendServer, now: float) -> None:
    window = backend.window
    backend.window = LatencyWindow(opened_at=now)
    ratio = _latency_ratio(backend, window)
    _update_baselines(backend, window)
    decide = limit_policies.find(world.policies.limit)
    current = backend.latency_limit or backend.concurrency
    proposed = decide(current, window.peak, ratio)
    if proposed < current:
        world.counters['limit.lowered'] += 1
    lower_bound = min(current, floor_limit(backend))
    backend.latency_limit = min(max(proposed, lower_bound), backend.concurrency)


@limit_policies.register('none')
def keep_limit(current: float, peak: int, ratio: float) -> float:
    """Keep the limit, as the baseline without adaptation.

    :param current: the limit in force.
    :param peak: the highest concurrency in the window.
    :param ratio: own latency divided by the baseline.
    :return: the new limit.
    """
    return current


@limit_policies.register('aimd')
def aimd_limit(current: float, peak: int, ratio: float) -> float:
    """Apply additive increase, multiplicative decrease (AIMD).

    The limit is not raised if the peak concurrency was well below it.

    :param current: the limit in force.
    :param peak: the highest concurrency in the window.
    :param ratio: own latency divided by the baseline.
    :return: the new limit.
    """
    if ratio > LATENCY_TOLERANCE:
        return min(current, peak) * _DECREASE
    if peak < current * _DECREASE:
        return current
    return current + max(1, current * _INCREASE)


@limit_policies.register('gradient')
def gradient_limit(current: float, peak: int, ratio: float) -> float:
    """Scale the limit by the gradient of baseline to latency.

    The limit is not raised if the peak concurrency was well below it. The
    square root of the limit is added as headroom for the queue.

    :param current: the limit in force.
    :param peak: the highest concurrency in the window.
    :param ratio: own latency divided by the baseline.
    :return: the new limit.
    """
    if ratio <= LATENCY_TOLERANCE and peak < current * _DECREASE:
        return current
    gradient = min(1, max(1 / 2, LATENCY_TOLERANCE / ratio))
    return min(current, peak) * gradient + math.sqrt(current)


def concurrency_limit(backend: BackendServer) -> int:
    """Compute the concurrency limit in force.

    :param backend: the backend server.
    :return: the minimum of slots, connections, the latency-based limit and the
        level of the cold-start ramp.
    """
    limit = min(backend.concurrency, backend.ramp.level)
    if backend.latency_limit is not None:
        limit = min(limit, backend.latency_limit)
    return int(limit)


def floor_limit(backend: BackendServer) -> int:
    """Compute the lower bound of the latency-based limit.

    :param backend: the backend server.
    :return: the lower bound, at least 1.
    """
    return max(1, int(backend.concurrency * FLOOR_FRACTION))


def _latency_ratio(backend: BackendServer, window: LatencyWindow) -> float:
    expected = sum(
        count * _baseline(backend, importance)
        for importance, count in window.count_by_importance.items()
    )
    known = sum(
        total
        for importance, total in window.sum_by_importance.items()
        if _baseline(backend, importance)
    )
    return known / expected if known and expected else 1


def _baseline(backend: BackendServer, importance: int) -> float:
    return backend.latency_by_importance[importance].baseline


def _update_baselines(backend: BackendServer, window: LatencyWindow) -> None:
    is_low_load = window.peak <= floor_limit(backend)
    for importance, total in window.sum_by_importance.items():
        average = total / window.count_by_importance[importance]
        estimate = backend.latency_by_importance[importance]
        _update_baseline(estimate, average, is_low_load)


def _update_baseline(
    estimate: LatencyEstimate,
    average: float,
    is_low_load: bool,
) -> None:
    if not estimate.baseline:
        estimate.baseline = average
    if is_low_load or average < estimate.baseline:
        estimate.baseline += _BASELINE_GAIN * (average - estimate.baseline)
