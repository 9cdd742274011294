"""Latency estimates of the backend server, with and without child calls."""

from __future__ import annotations

from figlane.entities.backend_server import BackendServer
from figlane.entities.call import CallPhase
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.latency import LatencyEstimate
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.registry import Stage, execution_observers, system

# Time after the last sample at which an estimate expires. Refusals based on an
# estimate prevent new samples and would never end without the expiry.
ESTIMATE_LIFETIME_SECONDS = 2.0
# Lower bound of a sample, since an estimate of 0 means unknown.
_MIN_SAMPLE_SECONDS = 1e-6
_AVERAGE_GAIN = 0.1
# Quantile that ``tenth_percentile`` tracks, and the relative step per sample.
_QUANTILE = 0.1
_QUANTILE_STEP = 0.1
# Lowest HTTP status code of a server error.
_MIN_SERVER_ERROR_STATUS = 500


@system(Stage.COMPLETION, RunCondition('calls', CallPhase.FINISHED))
def record_child_intervals(world: World, now: float) -> None:
    """Add the intervals of finished child calls to their parent executions.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for call in world.calls.in_phase(CallPhase.FINISHED):
        parent = world.executions.get(call.parent_id)
        if parent is not None:
            parent.child_intervals.append((call.arrived_at, now))


@execution_observers.register('latency')
def observe_latency(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Update the estimates with the latency of an execution that ran.

    An execution that reached its deadline without an answer counts with its
    elapsed time. One that was cancelled or never reached the backend server
    does not count.

    :param world: the tables.
    :param execution: the execution that ends, before its phase changes.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    backend = running_backend(world, execution)
    if backend is None or not is_latency_sample(outcome):
        return
    sample = max(now - execution.started_at, _MIN_SAMPLE_SECONDS)
    world.latencies.add('backend', execution.service_id, sample)
    _update_estimate(backend.latency, sample, now)
    _update_estimate(latency_estimate(backend, execution), sample, now)


def running_backend(world: World, execution: Execution) -> BackendServer | None:
    """Return the backend server of a running execution.

    :param world: the tables.
    :param execution: an execution.
    :return: the backend server, or None if the execution does not run or the
        backend server is no longer registered.
    """
    if execution.phase is not ExecutionPhase.RUNNING:
        return None
    return world.backend_servers.get(execution.backend_server_id)


def latency_estimate(
    backend: BackendServer, execution: Execution
) -> LatencyEstimate:
    """Return the estimate for the importance of an execution.

    :param backend: the backend server.
    :param execution: the execution.
    :return: the estimate, created if there is none.
    """
    return backend.latency_by_importance.setdefault(
        execution.importance,
        LatencyEstimate(),
    )


def own_latency(execution: Execution, now: float) -> float:
    """Compute the latency of an execution without its child calls.

    Time during which at least one child call was open is excluded, so that a
    slow downstream service does not look like overload of this one.

    :param execution: an execution that ends.
    :param now: the present time in seconds.
    :return: the time in seconds.
    """
    child_seconds: float = 0
    covered_until = execution.started_at
    for opened_at, closed_at in sorted(execution.child_intervals):
        begin = max(opened_at, covered_until)
        child_seconds += max(0, closed_at - begin)
        covered_until = max(covered_until, closed_at)
    return now - execution.started_at - child_seconds


def is_latency_sample(outcome: Answer | Refusal | StreamedAnswer) -> bool:
    """Tell whether an outcome counts as a latency sample.

    :param outcome: the outcome of an execution that ran.
    :return: True for answers without a server error, and for executions with
        an unknown outcome, such as those that reached their deadline.
    """
    if isinstance(outcome, Answer):
        return outcome.status < _MIN_SERVER_ERROR_STATUS
    # The duration of a streamed answer depends on how fast the caller reads.
    if isinstance(outcome, StreamedAnswer):
        return False
    return outcome.kind is ErrorKind.OUTCOME_UNKNOWN


def _update_estimate(
    estimate: LatencyEstimate, sample: float, now: float
) -> None:
    if now - estimate.seen_at > ESTIMATE_LIFETIME_SECONDS:
        estimate.average = sample
        estimate.tenth_percentile = sample
    estimate.seen_at = now
    estimate.average += _AVERAGE_GAIN * (sample - estimate.average)
    step = _QUANTILE_STEP * estimate.tenth_percentile
    if sample > estimate.tenth_percentile:
        estimate.tenth_percentile += step * _QUANTILE
        return
    estimate.tenth_percentile -= step * (1 - _QUANTILE)
    estimate.tenth_percentile = max(estimate.tenth_percentile, sample)
