"""The tick: runs all systems in stage order, in one or several passes."""

from __future__ import annotations

import importlib
import itertools
import pkgutil
from collections.abc import Iterator
from typing import Any

from figlane import systems
from figlane.entities.world import World
from figlane.registry import System
from figlane.systems.gaps import record_gap
from figlane.systems.registry import node_systems

# A message that a node sends to itself is handled in the next pass of the same
# tick. The limit prevents such messages from making a tick endless.
_MAX_PASSES = 8


def load_systems() -> None:
    """Import every module of systems, so that their decorators run."""
    prefix = f'{systems.__name__}.'
    for module in pkgutil.walk_packages(systems.__path__, prefix):
        importlib.import_module(module.name)


load_systems()


def run_tick(world: World, now: float) -> None:
    """Run passes of the systems until the inbox is empty and no row is due.

    The number of passes is limited; work left after the last one is done in
    the next tick.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if not world.bound_systems.systems:
        world.bound_systems = node_systems.bind(world)
    record_gap(world, now)
    world.seconds_since_last_tick = now - world.ticked_at
    world.ticked_at = now
    for _ in range(_MAX_PASSES):
        _run_pass(world, now)
        if not world.inbox and world.alarm.at > now:
            return


def _run_pass(world: World, now: float) -> None:
    is_due = world.alarm.at <= now
    pending = _due_systems(world, now) if is_due else _runnable_systems(world)
    while not _run_remaining(pending, world, now):
        world.counters['system.failed'] += 1
    if is_due:
        world.alarm.at = world.next_due()


def _runnable_systems(world: World) -> Iterator[System]:
    # Evaluated lazily: a system also runs for rows that an earlier system of
    # the same pass has moved into its phase.
    bound = world.bound_systems
    return itertools.compress(bound.runs, bound.rows)


def _due_systems(world: World, now: float) -> Iterator[System]:
    for run, rows, due_heaps in world.bound_systems.systems:
        if rows or _has_due_row(due_heaps, now):
            yield run


def _run_remaining(
    remaining: Iterator[System],
    world: World,
    now: float,
) -> bool:
    # Stops at the first system that raises; the caller resumes the iterator,
    # so that one failing system does not prevent the others from running.
    try:
        for run in remaining:
            run(world, now)
    except Exception as error:
        world.failures.append(error)
        return False
    return True


def _has_due_row(due_heaps: tuple[list[Any], ...], now: float) -> bool:
    for heap in due_heaps:
        if heap and heap[0][0] <= now:
            return True
    return False
