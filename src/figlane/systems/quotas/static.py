"""Divides each quota evenly over the members, as a baseline policy."""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.quota import Bucket
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.quotas.shares import (
    eligible_members,
    find_allowance,
    quota_id,
)


def charge_static_share(
    world: World, call: Call, now: float
) -> Refusal | CallPhase:
    """Charge a call to this node's even share of the quota.

    :param world: the tables.
    :param call: a root call of an organisation.
    :param now: the present time in seconds.
    :return: the call's next phase, or the refusal.
    """
    allowance = find_allowance(world, call.service_id, call.organisation_id)
    if allowance is None:
        return CallPhase.ROUTABLE
    share = 1 / len(eligible_members(world))
    quota = quota_id(call.service_id, call.organisation_id)
    bucket = world.quota.bucket_by_id.get(quota)
    if bucket is None:
        bucket = Bucket(quota, now, level=allowance.burst * share)
        world.quota.bucket_by_id[quota] = bucket
    earned = allowance.rate * share * (now - bucket.refilled_at)
    bucket.level = min(allowance.burst * share, bucket.level + earned)
    bucket.refilled_at = now
    if bucket.level < 1:
        retry_after = (1 - bucket.level) / (allowance.rate * share)
        return Refusal(ErrorKind.RATE_EXCEEDED, retry_after=retry_after)
    bucket.level -= 1
    return CallPhase.ROUTABLE
