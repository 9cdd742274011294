"""Token bucket for the rate of calls to a backend server in cold start.

It keeps a backend server that has restarted, or whose failure domain has
returned, from receiving its usual rate at once and crashing. It limits the rate
instead of the concurrency, since a cold server may answer so quickly that a
concurrency limit is never reached.
"""

from __future__ import annotations

from figlane.entities.backend_server import BackendServer
from figlane.entities.outbox import LogDecision
from figlane.entities.table import NEVER
from figlane.entities.world import World

# Fraction of the configured rate that is used; the rest is a margin for the
# difference between the clocks of this node and of the server.
_RATE_FRACTION = 0.85
# Time after the announced end for which a server counts as cold. The rest of a
# cold start is announced in whole milliseconds, and calls that wait start all
# at once when it ends.
_END_MARGIN_SECONDS = 0.05
# Capacity of the bucket in calls.
_BURST_CALLS = 3.0


def take_start_token(world: World, backend: BackendServer, now: float) -> bool:
    """Take a token for the start of a call while the server is cold.

    :param world: the tables.
    :param backend: the backend server.
    :param now: the present time in seconds.
    :return: False if the server is cold and the bucket is empty.
    """
    if now >= backend.cold_until:
        return True
    rate = _rate(world, backend)
    if rate == NEVER:
        return True
    if not rate:
        return False
    refill = (now - backend.cold_refilled_at) * rate
    backend.cold_tokens = min(_BURST_CALLS, backend.cold_tokens + refill)
    backend.cold_refilled_at = now
    if backend.cold_tokens < 1:
        return False
    backend.cold_tokens -= 1
    world.counters['backend.cold-call'] += 1
    return True


def next_token_time(world: World, backend: BackendServer, now: float) -> float:
    """Compute when the next token is available.

    :param world: the tables.
    :param backend: the backend server.
    :param now: the present time in seconds.
    :return: the time in seconds, or ``NEVER`` if no token is awaited: the
        server is not cold, or its rate is unlimited or unknown.
    """
    if now >= backend.cold_until or backend.cold_tokens >= 1:
        return NEVER
    rate = _rate(world, backend)
    is_limited = 0 < rate < NEVER
    return now + (1 - backend.cold_tokens) / rate if is_limited else NEVER


def cold_end(backend: BackendServer, cold_seconds: float, now: float) -> float:
    """Compute when a server is surely warm.

    :param backend: the backend server.
    :param cold_seconds: the rest of its cold start, as it has just told.
    :param now: the present time in seconds.
    :return: the time in seconds, the present one if it was warm and is.
    """
    if not cold_seconds and now >= backend.cold_until:
        return now
    return now + cold_seconds + _END_MARGIN_SECONDS


def set_cold_until(
    world: World,
    backend: BackendServer,
    cold_until: float,
    now: float,
    source: str,
) -> None:
    """Set the end of the cold start, and log it if the state changes by that.

    :param world: the tables.
    :param backend: the backend server.
    :param cold_until: the time in seconds, ``NEVER`` if it is unknown.
    :param now: the present time in seconds.
    :param source: what tells the state, for the log.
    """
    was_cold = now < backend.cold_until
    backend.cold_until = cold_until
    if was_cold is (now < cold_until):
        return
    service = world.services.get(backend.service_id)
    inputs = {
        'backend_server': backend.id,
        'service': backend.service_id,
        'is_cold': not was_cold,
        'source': source,
        'cold_seconds': None if cold_until == NEVER else cold_until - now,
        'sequence': backend.sequence,
        'cold_rate': None if service is None else service.cold_rate,
        'configuration': world.ingress.version,
    }
    world.outbox.append(LogDecision('backend_server_cold', inputs))


def _rate(world: World, backend: BackendServer) -> float:
    # Without a configuration the rate is unknown, while peers that have one may
    # already send calls.
    service = world.services.get(backend.service_id)
    return 0 if service is None else service.cold_rate * _RATE_FRACTION
