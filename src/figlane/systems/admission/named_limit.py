"""Keeps to the rate of calls that a backend server names in its answers.

Only this node sends calls to the server, so that its bucket is the whole
fleet's.
"""

from __future__ import annotations

import math

from figlane.entities.backend_server import BackendServer
from figlane.entities.outbox import LogDecision
from figlane.entities.server_notice import NamedLimit, ServerNotice
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.registry import notice_observers

# Capacity of the bucket in seconds of the rate; one call at least.
_BURST_SECONDS = 0.25
# Lower bound of the rate, in calls per second: without calls there would be no
# answer that names a higher limit.
_MIN_RATE = 0.5
# Calls that run at once until the first answer tells whether there is a limit.
FIRST_CALLS = 4


@notice_observers.register('limit')
def apply_named_limit(
    world: World,
    backend: BackendServer,
    notice: ServerNotice,
    asked_at: float,
    now: float,
) -> None:
    """Set, change or lift the limit that a server names.

    An answer without a limit lifts it only if its request was sent after the
    latest answer that named one; others may have been on their way.

    :param world: the tables.
    :param backend: the backend server.
    :param notice: what the answer says.
    :param asked_at: when the request was sent, in seconds.
    :param now: the present time in seconds.
    """
    limit = backend.named_limit
    if notice.calls_per_second is None:
        if limit is not None and asked_at >= limit.named_at:
            backend.named_limit = None
            _log_limit(world, backend, None)
        return
    rate = max(_MIN_RATE, notice.calls_per_second)
    if limit is None:
        limit = NamedLimit(rate, now, now)
        backend.named_limit = limit
        _log_limit(world, backend, rate)
    elif limit.rate != rate:
        _refill(limit, now)
        limit.rate = rate
        _log_limit(world, backend, rate)
    limit.named_at = now


def has_limit_token(backend: BackendServer, now: float) -> bool:
    """Check whether one more call stays within the limit that a server names.

    :param backend: the backend server.
    :param now: the present time in seconds.
    :return: True also if it names none.
    """
    limit = backend.named_limit
    if limit is None:
        return True
    _refill(limit, now)
    return limit.tokens >= 1


def take_limit_token(backend: BackendServer) -> None:
    """Take the token that ``has_limit_token`` has found, if there is a limit.

    :param backend: the backend server.
    """
    if backend.named_limit is not None:
        backend.named_limit.tokens -= 1


def next_limit_token_time(backend: BackendServer, now: float) -> float:
    """Compute when the next call stays within the limit that a server names.

    :param backend: the backend server.
    :param now: the present time in seconds.
    :return: the time in seconds, or ``NEVER`` if no token is awaited.
    """
    limit = backend.named_limit
    if limit is None or limit.tokens >= 1:
        return NEVER
    return now + (1 - limit.tokens) / limit.rate


def calls_within_limit(backend: BackendServer, seconds: float) -> float:
    """Compute how many calls the limit that a server names allows in a time.

    :param backend: the backend server.
    :param seconds: the time in seconds.
    :return: the number, at least 1, and ``NEVER`` without a limit.
    """
    limit = backend.named_limit
    if limit is None:
        return NEVER
    return max(1, math.ceil(limit.rate * seconds))


def _refill(limit: NamedLimit, now: float) -> None:
    capacity = max(1, limit.rate * _BURST_SECONDS)
    added = (now - limit.refilled_at) * limit.rate
    limit.tokens = min(capacity, limit.tokens + added)
    limit.refilled_at = now


def _log_limit(
    world: World, backend: BackendServer, rate: float | None
) -> None:
    world.counters['backend.limit-named'] += 1
    inputs = {
        'backend_server': backend.id,
        'service': backend.service_id,
        'calls_per_second': rate,
    }
    world.outbox.append(LogDecision('backend_server_limit', inputs))
