"""Plans of the load generator, read from JSON with comments."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Annotated, Literal

import msgspec

from figlane.load.source import Source, SourceCounts, Step
from figlane.load.world import LoadWorld, new_histogram
from figlane.settings import Address
from figlane.wire.checking import check, parse_text

MAX_RATE_PER_SECOND = 100_000
MAX_SECONDS = 3600

Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_SECOND)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]


class StepPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate in requests per second, from ``start`` seconds into the plan."""

    rate: Rate
    start: Seconds = 0


class SourcePlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests to one path; a ``token`` is added to the query of each.

    ``importance`` and ``within_rate`` do not change what is sent; experiments
    use them to evaluate the source.
    """

    name: str
    path: Annotated[str, msgspec.Meta(pattern='^/')]
    steps: Annotated[list[StepPlan], msgspec.Meta(min_length=1)]
    targets: list[Address] = []
    method: Literal['GET', 'POST'] = 'GET'
    key: str = ''
    organisation: str = ''
    importance: int = 0
    within_rate: bool = True
    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load to send to a set of nodes for ``seconds``.

    ``targets`` are the entry addresses of nodes, local or remote; a source
    may override them. The same ``seed`` gives the same arrival times.
    """

    targets: Annotated[list[Address], msgspec.Meta(min_length=1)]
    seconds: Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]
    sources: Annotated[list[SourcePlan], msgspec.Meta(min_length=1)]
    seed: int = 1


def load_plan(path: Path) -> Plan:
    """Read and validate a plan; raises ``CheckError`` or ``OSError``.

    :param path: file with the plan.
    :return: the plan.
    """
    return check(parse_text(path.read_text(encoding='utf-8')), Plan)


def make_world(plan: Plan, now: float) -> LoadWorld:
    """Create the state of the load generator for a plan.

    :param plan: a valid plan.
    :param now: the present time in seconds, at which the load starts.
    :return: the state, with no arrivals scheduled yet.
    """
    world = LoadWorld(Random(plan.seed), now, now + plan.seconds)
    for source_plan in plan.sources:
        source = _to_source(source_plan, plan)
        world.sources.insert(source)
        world.source_by_name[source_plan.name] = source
        world.counts_by_source[source_plan.name] = SourceCounts()
        world.latency_by_source[source_plan.name] = new_histogram()
    return world


def _to_source(source_plan: SourcePlan, plan: Plan) -> Source:
    return Source(
        id=source_plan.name,
        targets=tuple(source_plan.targets or plan.targets),
        method=source_plan.method,
        path=source_plan.path,
        steps=tuple(Step(step.start, step.rate) for step in source_plan.steps),
        key=source_plan.key,
        organisation=source_plan.organisation,
        importance=source_plan.importance,
        within_rate=source_plan.within_rate,
        retries=source_plan.retries,
    )
