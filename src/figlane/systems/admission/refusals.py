"""Tracks the fraction of calls that a backend server itself refuses.

Covers grey failures: a server that refuses part of its calls although it has
spare capacity and passes its health checks. Entry nodes receive the fraction
with each reply and route fewer calls to the server.
"""

from __future__ import annotations

import math

from figlane.entities.execution import Execution
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.world import World
from figlane.errors import Refusal
from figlane.systems.admission.latency import running_backend
from figlane.systems.registry import execution_observers

# Minimum weight of the newest call in the moving average. The average thus
# covers about the last 20 calls, or the last 2 seconds if calls are rare.
_MIN_EWMA_WEIGHT = 0.05
_DECAY_SECONDS = 2.0


@execution_observers.register('refusals')
def observe_refusals(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Update the refusal fraction of a backend server with an outcome.

    :param world: the tables.
    :param execution: the execution that ends, before its phase changes.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    backend = running_backend(world, execution)
    if backend is None:
        return
    is_refused = isinstance(outcome, Refusal) and outcome.has_reached
    time_weight = 1 - math.exp(
        -max(0, now - backend.refused_at) / _DECAY_SECONDS
    )
    backend.refused_at = now
    weight = max(_MIN_EWMA_WEIGHT, time_weight)
    backend.refused_part += weight * (is_refused - backend.refused_part)
