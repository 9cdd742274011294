"""Systems of the load generator: arrivals, outcomes and retries."""

from __future__ import annotations

import enum

from figlane.load.source import (
    LoadRequest,
    RequestEnded,
    RequestPhase,
    SendRequest,
    Source,
    Verdict,
)
from figlane.load.world import LoadWorld
from figlane.registry import SystemRegistry

# Seconds that a caller waits before it retries a request.
RETRY_DELAY_SECONDS = 0.1
_US_PER_SECOND = 1_000_000

load_systems = SystemRegistry()


@enum.unique
class LoadStage(enum.IntEnum):
    """Order in which the systems run within a tick."""

    OUTCOMES = 1
    ARRIVALS = 2
    SENDING = 3


def schedule_first_arrivals(world: LoadWorld, now: float) -> None:
    """Schedule the first arrival of each source.

    :param world: state of the load generator.
    :param now: the present time in seconds, at which the load starts.
    """
    for source in world.sources:
        _schedule_next(world, source, now)


@load_systems.register(LoadStage.OUTCOMES)
def process_outcomes(world: LoadWorld, now: float) -> None:
    """Record the outcomes of finished requests or schedule their retries.

    :param world: state of the load generator.
    :param now: the present time in seconds.
    """
    rows = world.inbox
    world.inbox = []
    for row in rows:
        request = world.requests.get(row.request_id)
        if request is not None:
            _process_outcome(world, request, row, now)


@load_systems.register(LoadStage.ARRIVALS)
def generate_arrivals(world: LoadWorld, now: float) -> None:
    """Create the requests whose intended send time has passed.

    A late tick creates every request that was due, each with its intended
    time, so that latencies include the delay (no coordinated omission).

    :param world: state of the load generator.
    :param now: the present time in seconds.
    """
    due_by_id = {source.id: source.due for source in world.sources}
    for source in world.sources.pop_due(now):
        intended_at = due_by_id[source.id]
        while intended_at <= now:
            _create_request(world, source, intended_at)
            intended_at = _next_arrival_time(world, source, intended_at)
        _schedule_at(world, source, intended_at)


@load_systems.register(LoadStage.SENDING)
def send_requests(world: LoadWorld, now: float) -> None:
    """Send new requests and the retries that are due.

    :param world: state of the load generator.
    :param now: the present time in seconds.
    """
    for request in world.requests.pop_due(now):
        world.requests.move(request, RequestPhase.SENT)
        world.outbox.append(SendRequest(request))


def run_load_tick(world: LoadWorld, now: float) -> None:
    """Run all systems of the load generator once, in their order.

    :param world: state of the load generator.
    :param now: the present time in seconds.
    """
    for run_system in load_systems.ordered():
        run_system(world, now)


def _create_request(
    world: LoadWorld,
    source: Source,
    intended_at: float,
) -> None:
    source.made += 1
    token = f'{source.id}-{source.made}'
    counts = world.counts_by_source[source.id]
    counts.made += 1
    second = int(intended_at - world.started_at)
    counts.made_by_second[second] = counts.made_by_second.get(second, 0) + 1
    world.requests.insert(
        LoadRequest(
            id=token,
            source=source,
            token=token,
            target=world.random.choice(source.targets),
            intended_at=intended_at,
            due=intended_at,
        ),
    )


def _process_outcome(
    world: LoadWorld,
    request: LoadRequest,
    row: RequestEnded,
    now: float,
) -> None:
    source = request.source
    if row.verdict is not Verdict.SUCCESS and _may_retry(request, row):
        request.retry_count += 1
        request.target = world.random.choice(source.targets)
        world.requests.move(request, RequestPhase.DUE)
        world.requests.schedule(request, now + RETRY_DELAY_SECONDS)
        return
    world.requests.remove(request.id)
    _record_outcome(world, request, row)


def _may_retry(request: LoadRequest, row: RequestEnded) -> bool:
    if request.retry_count >= request.source.retries:
        return False
    return row.verdict is Verdict.NOT_RUN or request.source.method == 'GET'


def _record_outcome(
    world: LoadWorld,
    request: LoadRequest,
    row: RequestEnded,
) -> None:
    source = request.source
    counts = world.counts_by_source[source.id]
    _increment(counts.count_by_verdict, row.verdict.value)
    if row.verdict is Verdict.NOT_RUN and source.method != 'GET':
        counts.not_run_tokens.append(request.token)
    if row.verdict is not Verdict.SUCCESS:
        _increment(counts.count_by_kind, row.kind)
        return
    second = int(request.intended_at - world.started_at)
    counts.whole_by_second[second] = counts.whole_by_second.get(second, 0) + 1
    latency = row.ended_at - request.intended_at
    histogram = world.latency_by_source[source.id]
    histogram.record_value(max(1, int(latency * _US_PER_SECOND)))


def _increment(count_by_name: dict[str, int], name: str) -> None:
    count_by_name[name] = count_by_name.get(name, 0) + 1


def _schedule_next(world: LoadWorld, source: Source, after: float) -> None:
    _schedule_at(world, source, _next_arrival_time(world, source, after))


def _schedule_at(world: LoadWorld, source: Source, when: float) -> None:
    if when >= world.ends_at:
        world.sources.remove(source.id)
        return
    world.sources.schedule(source, when)


def _next_arrival_time(world: LoadWorld, source: Source, after: float) -> float:
    elapsed = after - world.started_at
    rate = source.rate_at(elapsed)
    if rate <= 0:
        return _next_step_time(world, source, elapsed)
    return after + world.random.expovariate(rate)


def _next_step_time(world: LoadWorld, source: Source, elapsed: float) -> float:
    later = (step.start for step in source.steps if step.start > elapsed)
    start = min(later, default=None)
    if start is None:
        return world.ends_at
    return world.started_at + start
