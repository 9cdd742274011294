"""Mints tokens at the holders of rights and grants them to entry nodes.

A right is a lease on a part of the rate and burst of each quota that is mapped
to it. For each of these quotas, the holder refills a token bucket at its part
of the rate and grants tokens out of it.
"""

from __future__ import annotations

import math

from figlane.entities.inbox import PeerMessage
from figlane.entities.quota import Bucket, OutstandingGrant
from figlane.entities.quota_messages import TokenGrant, TokenRequest
from figlane.entities.right import KnownHolder, Right, RightPhase
from figlane.entities.service import Allowance
from figlane.entities.world import World
from figlane.systems.links.messages import send_message
from figlane.systems.quotas.shares import (
    find_allowance,
    quota_id,
    rights_of_quota,
)
from figlane.systems.registry import peer_handlers

# Largest rate error of a node's clock, fast or slow.
MAX_CLOCK_RATE_ERROR = 0.001
# Factor by which a duration on this clock is extended to be certain that it has
# passed on every other clock.
CLOCK_MARGIN_FACTOR = (1 + MAX_CLOCK_RATE_ERROR) / (1 - MAX_CLOCK_RATE_ERROR)
# Lease duration: a holder mints its full share for this long after a renewal.
LEASE_SECONDS = 60.0
# Time after the last renewal at which a holder stops minting.
MAX_UNRENEWED_SECONDS = 21_600.0
# Fraction of its share that a holder mints after its lease has expired, until
# it stops. A successor mints the rest.
UNRENEWED_FRACTION = 0.875
# Longest lifetime of a token.
MAX_TOKEN_LIFETIME_SECONDS = 1.0
# Fraction of the available tokens that may be granted ahead of demand.
_PREFETCH_FRACTION = 0.5
_NO_ALLOWANCE = Allowance(0, 0, 0)


@peer_handlers.register(TokenRequest)
def handle_token_request(world: World, row: PeerMessage, now: float) -> None:
    """Grant tokens, deducting them from the bucket before the reply is sent.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    request: TokenRequest = row.message
    quota = quota_id(request.service_id, request.organisation_id)
    allowance = find_allowance(
        world,
        request.service_id,
        request.organisation_id,
    )
    bucket = refill_bucket(world, quota, allowance or _NO_ALLOWANCE, now)
    count = _deduct(bucket, request, now)
    world.counters['quota.granted'] += count
    hints = {}
    if count < request.needed:
        hints = _known_holders(world, quota, allowance or _NO_ALLOWANCE)
    grant = TokenGrant(
        request_id=request.request_id,
        service_id=request.service_id,
        organisation_id=request.organisation_id,
        count=count,
        level=bucket.level,
        capacity=bucket.capacity,
        rate=bucket.rate,
        holder_by_right=hints,
    )
    send_message(world, row.sender, grant)


def refill_bucket(
    world: World,
    quota: str,
    allowance: Allowance,
    now: float,
) -> Bucket:
    """Refill a bucket, creating an empty one if needed.

    The time since the last refill counts at the lower of the rates then and
    now, so that a share that has grown earns no tokens retroactively.

    :param world: the tables.
    :param quota: the quota's id.
    :param allowance: the quota's allowance.
    :param now: the present time in seconds.
    :return: the bucket.
    """
    bucket = world.quota.bucket_by_id.get(quota)
    if bucket is None:
        bucket = Bucket(quota, now)
        world.quota.bucket_by_id[quota] = bucket
    _drop_expired_grants(bucket, now)
    share = held_share(world, quota, allowance, now)
    rate = allowance.rate * share * (1 - MAX_CLOCK_RATE_ERROR)
    earned = min(rate, bucket.rate) * max(0, now - bucket.refilled_at)
    bucket.refilled_at = now
    bucket.rate = rate
    bucket.capacity = allowance.burst * share
    room = max(0, bucket.capacity - bucket.outstanding_tokens)
    bucket.level = min(room, bucket.level + earned)
    return bucket


def refill_buckets(world: World, now: float) -> None:
    """Refill all buckets.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for quota in world.quota.bucket_by_id:
        service_id, _, organisation_id = quota.partition('/')
        allowance = find_allowance(world, service_id, organisation_id)
        refill_bucket(world, quota, allowance or _NO_ALLOWANCE, now)


def held_share(
    world: World,
    quota: str,
    allowance: Allowance,
    now: float,
) -> float:
    """Compute the share of a quota that this node may mint.

    :param world: the tables.
    :param quota: the quota's id.
    :param allowance: the quota's allowance.
    :param now: the present time in seconds.
    :return: the share, from 0 to 1.
    """
    right_ids = rights_of_quota(world, quota, allowance)
    rights = map(world.quota.rights.get, right_ids)
    held = sum(
        minting_share(right, now) for right in rights if right is not None
    )
    return held / len(right_ids)


def minting_share(right: Right, now: float) -> float:
    """Compute the share of a right that this node may mint.

    :param right: the right.
    :param now: the present time in seconds.
    :return: the share, from 0 to 1.
    """
    if right.phase is not RightPhase.HELD or now < right.minting_starts_at:
        return 0
    share = right.record.share if right.record else 0
    if now < right.renewed_at + LEASE_SECONDS:
        return share
    if now < right.renewed_at + MAX_UNRENEWED_SECONDS:
        return share * UNRENEWED_FRACTION
    return 0


def _deduct(bucket: Bucket, request: TokenRequest, now: float) -> int:
    if not 0 < request.lifetime <= MAX_TOKEN_LIFETIME_SECONDS:
        return 0
    available = math.floor(bucket.level)
    needed = min(max(request.needed, 0), available)
    spare = int((available - needed) * _PREFETCH_FRACTION)
    count = needed + min(max(request.wanted, 0), spare)
    if count:
        bucket.level -= count
        bucket.outstanding_tokens += count
        until = now + request.lifetime * CLOCK_MARGIN_FACTOR
        bucket.outstanding_grants.append(OutstandingGrant(count, until))
    return count


def _drop_expired_grants(bucket: Bucket, now: float) -> None:
    expired = [
        entry for entry in bucket.outstanding_grants if entry.until <= now
    ]
    if not expired:
        return
    bucket.outstanding_tokens -= sum(entry.count for entry in expired)
    bucket.outstanding_grants = type(bucket.outstanding_grants)(
        entry for entry in bucket.outstanding_grants if entry.until > now
    )


def _known_holders(
    world: World,
    quota: str,
    allowance: Allowance,
) -> dict[str, KnownHolder]:
    known = world.quota.holder_by_right
    return {
        right_id: known[right_id]
        for right_id in rights_of_quota(world, quota, allowance)
        if right_id in known
    }
