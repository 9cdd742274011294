"""Adds a randomised Retry-After time to refusals of calls that did not run.

Without jitter, the callers refused in a surge would all retry at the same
moment. Their retries are spread over the time in which capacity is expected to
become free; a caller with little time left gets a short time. Callers of a node
that stops are told to come back once its next process can be up.
"""

from __future__ import annotations

from figlane.entities.call import Call
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.errors import ErrorKind, ExecutionStatus, Refusal
from figlane.systems.calls.time_limits import drain_end, time_limit

# Bounds of the retry-after time. Queues drain within half a second; the lower
# bound is about the duration of one call.
_MIN_RETRY_AFTER_SECONDS = 0.1
_MAX_RETRY_AFTER_SECONDS = 1.0
# Time from the end of a drain until the next process of the node serves calls.
_START_SECONDS = 1.0
# Largest fraction of the caller's remaining time to spend before a retry.
_MAX_WAIT_FRACTION = 0.3
_RETRY_AFTER_KINDS = frozenset(
    (
        ErrorKind.OVERLOADED,
        ErrorKind.NO_BACKEND_SERVER,
        ErrorKind.DRAINING,
        ErrorKind.UNREACHABLE,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.STALE_CONFIGURATION,
        ErrorKind.QUOTA_UNAVAILABLE,
        ErrorKind.ATTEMPTS_EXHAUSTED,
    ),
)


def with_retry_after(
    world: World,
    call: Call,
    refusal: Refusal,
    now: float,
) -> Refusal:
    """Add a retry-after time to a refusal that permits a retry.

    :param world: the tables.
    :param call: the refused call.
    :param refusal: the refusal of the call.
    :param now: the present time in seconds.
    :return: the refusal itself, or a copy with a time if it has none yet, its
        call did not run, and its cause is temporary.
    """
    if refusal.retry_after is not None:
        return refusal
    if refusal.answer.execution_status is not ExecutionStatus.NOT_RUN:
        return refusal
    if refusal.kind not in _RETRY_AFTER_KINDS:
        return refusal
    seconds_left = call.arrived_at + call.caller_timeout - now
    earliest = _seconds_until_restart(world, call, refusal, now)
    longest_wait = max(0, seconds_left * _MAX_WAIT_FRACTION)
    upper = min(earliest + _MAX_RETRY_AFTER_SECONDS, longest_wait)
    lower = min(earliest + _MIN_RETRY_AFTER_SECONDS, upper)
    seconds = lower + (upper - lower) * world.random.random()
    return Refusal(refusal.kind, refusal.detail, seconds)


def _seconds_until_restart(
    world: World, call: Call, refusal: Refusal, now: float
) -> float:
    ends_at = drain_end(world)
    if ends_at == NEVER or not _is_refused_by_stop(world, call, refusal):
        return 0
    return max(0, ends_at - now) + _START_SECONDS


def _is_refused_by_stop(world: World, call: Call, refusal: Refusal) -> bool:
    if refusal.kind is ErrorKind.DEADLINE_EXCEEDED:
        return time_limit(world, call) < call.deadline
    return refusal.kind is ErrorKind.DRAINING
