"""Estimates how long a call of a route may take at most."""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.latencies import RouteDuration
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.registry import Stage, system

# The estimate covers the present window and the one before it.
WINDOW_SECONDS = 3.0
# Number of calls for which the estimate is twice the longest of them. The next
# call exceeds the longest of n calls with a probability of 1 / (n + 1).
MARGIN_CALLS = 20


@system(Stage.EXPIRY, RunCondition('route_durations'))
def start_windows(world: World, now: float) -> None:
    """Start the next window of each row that is due; remove idle rows.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for row in world.route_durations.pop_due(now):
        if not row.count:
            world.route_durations.remove(row.id)
            continue
        row.longest_before = row.longest
        row.count_before = row.count
        row.longest = 0
        row.count = 0
        world.route_durations.schedule(row, now + WINDOW_SECONDS)


def record_duration(world: World, call: Call, now: float) -> None:
    """Record how long a finished call took.

    A refusal does not count unless the call may have run: it tells nothing of
    how long the service takes.

    :param world: the tables.
    :param call: a finished call.
    :param now: the present time in seconds.
    """
    outcome = call.outcome
    if call.route is None:
        return
    if isinstance(outcome, Refusal):
        if outcome.kind is not ErrorKind.OUTCOME_UNKNOWN:
            return
    row_id = _row_id(call)
    row = world.route_durations.get(row_id)
    if row is None:
        row = RouteDuration(row_id, due=now + WINDOW_SECONDS)
        world.route_durations.insert(row)
    row.count += 1
    row.longest = max(row.longest, now - call.arrived_at)


def longest_duration(world: World, call: Call, now: float) -> float:
    """Estimate the longest time until a call that is sent now has an outcome.

    It is the longest of the route's recent and open calls, with a margin that
    is the larger the fewer calls have ended. The margin ends at the route's
    target latency, and the estimate at the time left to the call.

    :param world: the tables.
    :param call: a call with a route.
    :param now: the present time in seconds.
    :return: the time in seconds.
    """
    seconds_left = call.deadline - now
    if call.route is None:
        return seconds_left
    row_id = _row_id(call)
    longest = _longest_open(world, row_id, now)
    estimate = call.route.target_latency
    row = world.route_durations.get(row_id)
    if row is not None:
        count = row.count + row.count_before
        longest = max(longest, row.longest, row.longest_before)
        estimate = min(estimate, longest * (1 + MARGIN_CALLS / count))
    return min(max(longest, estimate), seconds_left)


def _longest_open(world: World, row_id: str, now: float) -> float:
    return max(
        (
            now - call.arrived_at
            for call in world.calls.in_phase(CallPhase.SENT)
            if _row_id(call) == row_id
        ),
        default=0,
    )


def _row_id(call: Call) -> str:
    route = call.route
    return f'{call.service_id}/{route.name}' if route else call.service_id
