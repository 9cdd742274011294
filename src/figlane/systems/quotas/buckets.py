"""Levels of the buckets of organisations: rates, bursts and refills."""

from __future__ import annotations

from figlane.entities.charge import OwnedBucket
from figlane.entities.member import MemberPhase
from figlane.entities.service import Allowance
from figlane.entities.table import NEVER
from figlane.entities.world import QuotaBounds, World
from figlane.systems.membership.states import own_member
from figlane.systems.quotas.requesters import has_silent_requester, is_silent

# Fraction of overage and slack that is used as the bucket's burst.
_BURST_FRACTION = 0.3
# Fraction of the allowance's burst that is added to the rate, spread evenly
# over a window.
_BURST_RATE_FRACTION = 0.75
# Fraction of the rate that the smaller part of a partitioned fleet uses.
_ISOLATED_FACTOR = 0.7
# Fraction of the rate that all successors of a silent owner let through
# together, as the owner may still serve the nodes that reach it. With the plain
# rate and the burst of the owner, it stays below the window's limit.
_FALLBACK_FACTOR = 0.28
# Fraction of the burst that a successor lets through at once.
_FALLBACK_BURST_FRACTION = 0.25
# Time to the next token that is named while no token is added.
_NO_RATE_SECONDS = 1.0


def sustained_allowance(bounds: QuotaBounds, allowance: Allowance) -> Allowance:
    """Convert a windowed allowance to the rate and burst of a token bucket.

    A windowed allowance may be used in any pattern within each window. Used
    evenly, its burst raises the sustained rate.

    :param bounds: the window and the tolerances of the quota.
    :param allowance: the organisation's allowance.
    :return: rate and burst of the bucket; the same allowance if no window is
        configured.
    """
    if not bounds.window_seconds:
        return allowance
    window_limit = allowance.rate * bounds.window_seconds + allowance.burst
    burst = (window_limit * bounds.overage + bounds.slack) * _BURST_FRACTION
    extra_rate = _BURST_RATE_FRACTION * allowance.burst / bounds.window_seconds
    return Allowance(
        allowance.rate + extra_rate,
        max(1, burst),
        allowance.weight,
    )


def find_bucket(world: World, organisation_id: str, now: float) -> OwnedBucket:
    """Find an organisation's bucket at this node, or create it.

    :param world: the tables.
    :param organisation_id: the organisation.
    :param now: the present time in seconds.
    :return: the bucket.
    """
    own_member(world)
    bucket = world.quota.owned_buckets.get(organisation_id)
    if bucket is None:
        bucket = OwnedBucket(organisation_id, now)
        world.quota.owned_buckets.insert(bucket)
    return bucket


def allowance_of(world: World, bucket: OwnedBucket) -> Allowance | None:
    """Look up the allowance of a bucket's organisation.

    :param world: the tables.
    :param bucket: the bucket.
    :return: the allowance; None if its calls are not limited, or if this node
        does not know the organisation yet.
    """
    organisation = world.organisations.get(bucket.id)
    return None if organisation is None else organisation.allowance


def whole_tokens(count: int, level: float) -> int:
    """Count the tokens that a request gets.

    :param count: number of tokens requested.
    :param level: level of the bucket in tokens.
    :return: number of tokens.
    """
    return max(0, min(count, int(level)))


def seconds_to_next_token(level: float, rate: float) -> float:
    """Compute the time to the next whole token.

    :param level: level of the bucket in tokens.
    :param rate: tokens added in a second.
    :return: the time in seconds.
    """
    if not rate:
        return _NO_RATE_SECONDS
    return max(0, 1 - level) / rate


def refill(world: World, bucket: OwnedBucket, now: float) -> float:
    """Add the tokens of the time since the last refill.

    :param world: the tables.
    :param bucket: a bucket that this node owns.
    :param now: the present time in seconds.
    :return: the rate at which tokens are added, in tokens a second.
    """
    allowance = allowance_of(world, bucket)
    elapsed = now - bucket.refilled_at
    bucket.refilled_at = now
    if allowance is None:
        return 0
    limit = sustained_allowance(world.quota_bounds, allowance)
    rate = _rate(world, bucket, allowance, limit, now)
    bucket.level = min(limit.burst, bucket.level + elapsed * rate)
    return rate


def _rate(
    world: World,
    bucket: OwnedBucket,
    allowance: Allowance,
    limit: Allowance,
    now: float,
) -> float:
    # Dead members and silent requesters may be partitioned off and be served by
    # a successor on their side, and a new bucket does not include the calls
    # that its previous owner let through: the burst is not added to the rate.
    dead = world.members.count(MemberPhase.DEAD)
    others = len(world.members) - dead
    if others <= dead:
        part = others / max(1, len(world.members))
        return _ISOLATED_FACTOR * allowance.rate * part
    is_new = now - bucket.created_at < world.quota_bounds.window_seconds
    if dead or is_new or has_silent_requester(bucket, now):
        return allowance.rate
    return limit.rate


def refill_fallback(world: World, bucket: OwnedBucket, now: float) -> float:
    """Add the tokens that this node lets through in place of a silent owner.

    :param world: the tables.
    :param bucket: a bucket that another member owns.
    :param now: the present time in seconds.
    :return: the rate at which tokens are added, in tokens a second.
    """
    allowance = allowance_of(world, bucket)
    if allowance is None:
        return 0
    limit = sustained_allowance(world.quota_bounds, allowance)
    capacity = max(1, limit.burst * _FALLBACK_BURST_FRACTION)
    asking = sum(
        not is_silent(requester, now)
        for requester in bucket.requester_by_node.values()
    )
    part = min(1, asking / max(1, len(world.members)))
    rate = _FALLBACK_FACTOR * allowance.rate * part
    if bucket.fallback_refilled_at == -NEVER:
        bucket.fallback_level = capacity
    else:
        elapsed = now - bucket.fallback_refilled_at
        bucket.fallback_level += elapsed * rate
    bucket.fallback_level = min(capacity, bucket.fallback_level)
    bucket.fallback_refilled_at = now
    return rate
