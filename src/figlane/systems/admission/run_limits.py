"""Time limits of runs whose exit node stops."""

from __future__ import annotations

from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.calls.time_limits import ANSWER_SECONDS, drain_end
from figlane.systems.registry import leaving_hooks


@leaving_hooks.register('executions')
def end_runs_with_drain(world: World, now: float) -> None:
    """Let the runs that are open when the drain begins end with it.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for execution in world.executions.in_phase(ExecutionPhase.RUNNING):
        schedule_end(world, execution)


def run_limit(world: World, execution: Execution) -> float:
    """Return when the backend server has to end an execution at the latest.

    :param world: the tables.
    :param execution: an execution that is about to run.
    :return: the time in seconds.
    """
    return min(execution.deadline, drain_end(world) - ANSWER_SECONDS)


def run_limit_refusal(
    world: World, execution: Execution, seconds: float, now: float
) -> Refusal | None:
    """Decide whether an execution must not start since its node stops.

    :param world: the tables.
    :param execution: an execution that is about to run.
    :param seconds: the time that the backend server needs at least.
    :param now: the present time in seconds.
    :return: the refusal, or None if the drain leaves more than that time.
    """
    limit = run_limit(world, execution)
    if limit == execution.deadline or now + seconds < limit:
        return None
    return Refusal(
        ErrorKind.DRAINING,
        f'the exit node stops, which leaves {max(0, limit - now):.3f} s',
    )


def answered_by(world: World, execution: Execution) -> float:
    """Return until when an answer to an execution is waited for.

    :param world: the tables.
    :param execution: a running execution.
    :return: the time in seconds; the outcome is unknown from then on.
    """
    return min(execution.deadline + execution.answer_seconds, drain_end(world))


def schedule_end(world: World, execution: Execution) -> None:
    """Let a run end with the drain if that comes before its deadline.

    :param world: the tables.
    :param execution: a running execution.
    """
    ends_at = answered_by(world, execution)
    if ends_at < execution.due:
        world.executions.schedule(execution, ends_at)
