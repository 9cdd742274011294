"""Counts and logs the requests that this node cuts off."""

from __future__ import annotations

from figlane.entities.cut_off import RequestCutOff
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World
from figlane.systems.registry import inbox_handlers

_COUNTER_PREFIX = 'request.cut-off.'
# Seconds in log events are rounded to milliseconds.
_SECONDS_DECIMALS = 3


@inbox_handlers.register(RequestCutOff)
def handle_cut_off(world: World, row: RequestCutOff, now: float) -> None:
    """Count a request that was cut off, and log how far its call had come.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    world.counters[f'{_COUNTER_PREFIX}{row.reason.value}'] += 1
    call = world.calls.get(row.request_id)
    world.outbox.append(
        LogDecision(
            'request_cut_off',
            {
                'request': row.request_id,
                'reason': row.reason.value,
                'is_partial': row.is_partial,
                'seconds': round(row.seconds, _SECONDS_DECIMALS),
                'call': call.phase.value if call else '',
                'node': call.node_id if call else '',
            },
        ),
    )


def count_cut_offs(world: World) -> int:
    """Count the requests that this node has cut off since it started.

    :param world: the tables.
    :return: the number of requests.
    """
    return sum(
        count
        for name, count in world.counters.items()
        if name.startswith(_COUNTER_PREFIX)
    )
