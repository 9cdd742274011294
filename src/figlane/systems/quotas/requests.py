"""Requests the tokens that an entry node needs from the holders of rights."""

from __future__ import annotations

import math

from figlane.entities.quota import PendingRequest, ReportedBucket, Stock
from figlane.entities.quota_messages import TokenRequest
from figlane.entities.right import RightPhase
from figlane.entities.service import Allowance
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.links.messages import send_message
from figlane.systems.quotas.minting import MAX_TOKEN_LIFETIME_SECONDS
from figlane.systems.quotas.shares import rights_of_quota

# Time after which a request for tokens times out.
_REQUEST_TIMEOUT_SECONDS = 0.1
# Back-off before the next request to a holder that did not answer in time.
_BACKOFF_SECONDS = 1.0
# Shortest pause before the next request to holders without tokens.
_MIN_RETRY_SECONDS = 0.01
# Shortest lifetime of a token.
_MIN_TOKEN_LIFETIME_SECONDS = 0.05
# Fraction of the burst that granted, unexpired tokens take up if tokens are
# granted at the full rate.
_OUTSTANDING_FRACTION = 0.25
# Fraction of a token's lifetime whose demand is requested in advance.
_PREFETCH_FRACTION = 0.5
# A nearby holder is preferred if it is estimated to have at least this multiple
# of the tokens that are requested.
_HEADROOM_FACTOR = 2
# Time after which the bucket state that a holder reported is discarded.
_REPORT_MAX_AGE_SECONDS = 1.0
_ID_BITS = 64


def request_tokens(
    world: World,
    stock: Stock,
    allowance: Allowance,
    now: float,
) -> float:
    """Request tokens from holders if the stock does not cover the demand.

    :param world: the tables.
    :param stock: the stock.
    :param allowance: the quota's allowance.
    :param now: the present time in seconds.
    :return: when to retry if no answer arrives before, or ``NEVER``.
    """
    available = sum(batch.count for batch in stock.batches)
    available += sum(pending.count for pending in stock.pending_by_id.values())
    surplus = available - len(stock.waiting)
    if surplus >= 0:
        _prefetch_tokens(world, stock, allowance, surplus, now)
        return NEVER
    return _request_for_waiting(world, stock, allowance, -surplus, now)


def token_lifetime(allowance: Allowance) -> float:
    """Compute the lifetime of a quota's tokens.

    Granted tokens count against the capacity of the holder's bucket until they
    expire. Their lifetime is therefore a fraction of the time in which the
    burst refills.

    :param allowance: the quota's allowance.
    :return: the lifetime in seconds.
    """
    lifetime = _OUTSTANDING_FRACTION * allowance.burst / allowance.rate
    return min(
        MAX_TOKEN_LIFETIME_SECONDS, max(_MIN_TOKEN_LIFETIME_SECONDS, lifetime)
    )


def expire_requests(stock: Stock, now: float) -> None:
    """Drop requests that timed out; their holders get none for a while.

    :param stock: the stock.
    :param now: the present time in seconds.
    """
    for request_id, pending in tuple(stock.pending_by_id.items()):
        if now < pending.sent_at + _REQUEST_TIMEOUT_SECONDS:
            continue
        stock.pending_by_id.pop(request_id)
        bucket = stock.bucket_by_holder[pending.holder]
        bucket.backoff_until = now + _BACKOFF_SECONDS


def next_request_timeout(stock: Stock) -> float:
    """Compute when the oldest pending request times out.

    :param stock: the stock.
    :return: the time in seconds, or ``NEVER``.
    """
    return min(
        (
            pending.sent_at + _REQUEST_TIMEOUT_SECONDS
            for pending in stock.pending_by_id.values()
        ),
        default=NEVER,
    )


def _current_demand(stock: Stock, now: float) -> float:
    return (
        stock.demand
        if now - stock.demand_at < MAX_TOKEN_LIFETIME_SECONDS
        else 0
    )


def _prefetch_tokens(
    world: World,
    stock: Stock,
    allowance: Allowance,
    surplus: int,
    now: float,
) -> None:
    lifetime = token_lifetime(allowance)
    target = int(_current_demand(stock, now) * lifetime * _PREFETCH_FRACTION)
    if surplus >= target / 2:
        return
    wanted = target - surplus
    candidates = _ranked_holders(world, stock, allowance, wanted, now)
    if candidates and candidates[0][1].estimated_level(now) >= 2:
        counts = (0, wanted)
        _send_request(world, stock, candidates[0][0], counts, lifetime, now)


def _request_for_waiting(
    world: World,
    stock: Stock,
    allowance: Allowance,
    needed: int,
    now: float,
) -> float:
    lifetime = token_lifetime(allowance)
    candidates = _ranked_holders(world, stock, allowance, needed, now)
    for holder, bucket in candidates:
        count = min(needed, math.floor(bucket.estimated_level(now)))
        if count > 0:
            _send_request(world, stock, holder, (count, 0), lifetime, now)
            needed -= count
        if not needed:
            return NEVER
    stock.is_exhausted = True
    if stock.pending_by_id:
        return NEVER
    return _next_token_at(candidates, now)


def _ranked_holders(
    world: World,
    stock: Stock,
    allowance: Allowance,
    count: int,
    now: float,
) -> list[tuple[str, ReportedBucket]]:
    busy = {pending.holder for pending in stock.pending_by_id.values()}
    candidates = []
    for holder, share in _share_by_holder(world, stock.id, allowance).items():
        bucket = stock.bucket_by_holder.get(holder)
        if (
            bucket is None
            or bucket.reported_at + _REPORT_MAX_AGE_SECONDS <= now
        ):
            bucket = ReportedBucket(
                allowance.burst * share,
                allowance.burst * share,
                allowance.rate * share,
                now,
                bucket.backoff_until if bucket else -NEVER,
            )
            stock.bucket_by_holder[holder] = bucket
        if holder not in busy and bucket.backoff_until <= now:
            candidates.append((holder, bucket))
    candidates.sort(
        key=lambda entry: _holder_rank(world, *entry, count, now),
        reverse=True,
    )
    return candidates


def _holder_rank(
    world: World,
    holder: str,
    bucket: ReportedBucket,
    count: int,
    now: float,
) -> tuple[bool, bool, float]:
    estimated_level = bucket.estimated_level(now)
    member = world.members.get(holder)
    is_local = holder == world.identity.node_id
    is_same_domain = member is not None and (
        member.failure_domain == world.identity.failure_domain
    )
    has_enough = estimated_level >= _HEADROOM_FACTOR * max(count, 1)
    return (
        has_enough and is_local,
        has_enough and is_same_domain,
        estimated_level,
    )


def _share_by_holder(
    world: World,
    quota: str,
    allowance: Allowance,
) -> dict[str, float]:
    right_ids = rights_of_quota(world, quota, allowance)
    shares: dict[str, float] = {}
    for right_id in right_ids:
        for holder in _holders_of_right(world, right_id):
            shares[holder] = shares.get(holder, 0) + 1 / len(right_ids)
    return shares


def _holders_of_right(world: World, right_id: str) -> set[str]:
    """Return the known holder, and this node as well if it holds the right."""
    holders = set()
    right = world.quota.rights.get(right_id)
    if right is not None and right.phase is RightPhase.HELD:
        holders.add(world.identity.node_id)
    known = world.quota.holder_by_right.get(right_id)
    preferred = world.quota.preferred_holder_by_right.get(right_id, '')
    if known is not None and _is_reachable(world, known.holder):
        holders.add(known.holder)
    elif _is_reachable(world, preferred):
        holders.add(preferred)
    return holders


def _is_reachable(world: World, holder: str) -> bool:
    return holder in world.members or holder == world.identity.node_id


def _send_request(
    world: World,
    stock: Stock,
    holder: str,
    counts: tuple[int, int],
    lifetime: float,
    now: float,
) -> None:
    request_id = f'{world.random.getrandbits(_ID_BITS):x}'
    stock.pending_by_id[request_id] = PendingRequest(
        holder,
        sum(counts),
        now,
        now + lifetime,
    )
    request = TokenRequest(
        request_id=request_id,
        service_id=stock.service_id,
        organisation_id=stock.organisation_id,
        needed=counts[0],
        wanted=counts[1],
        lifetime=lifetime,
    )
    send_message(world, holder, request)


def _next_token_at(
    candidates: list[tuple[str, ReportedBucket]],
    now: float,
) -> float:
    delays = [
        (1 - bucket.estimated_level(now)) / bucket.rate
        for _, bucket in candidates
        if bucket.rate
    ]
    if not delays:
        return NEVER
    return now + max(_MIN_RETRY_SECONDS, min(delays))
