"""Logs the claims and releases of the buckets of organisations."""

from __future__ import annotations

from figlane.entities.charge import OwnedBucket
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World

# Tokens and seconds in log events are rounded to three decimals.
_DECIMALS = 3


def log_claim(
    world: World, bucket: OwnedBucket, outcome: str, previous: str, now: float
) -> None:
    """Log that this node has taken over a bucket.

    :param world: the tables.
    :param bucket: the bucket, not refilled yet.
    :param outcome: how the claim ended.
    :param previous: id of the member that released the bucket, or empty.
    :param now: the present time in seconds.
    """
    world.counters[f'quota.claim.{outcome}'] += 1
    world.outbox.append(
        LogDecision(
            'bucket_claimed',
            {
                'organisation': bucket.id,
                'previous': previous,
                'asked': list(bucket.claimed_from),
                'outcome': outcome,
                'tokens': round(bucket.level, _DECIMALS),
                'refill_seconds': round(now - bucket.refilled_at, _DECIMALS),
            },
        ),
    )


def log_release(
    world: World, bucket: OwnedBucket, claimant: str, now: float
) -> None:
    """Log that this node releases a bucket.

    :param world: the tables.
    :param bucket: the bucket, not refilled yet.
    :param claimant: id of the member that has claimed it.
    :param now: the present time in seconds.
    """
    kind = 'owner' if bucket.is_held else 'other'
    world.counters[f'quota.release.{kind}'] += 1
    world.outbox.append(
        LogDecision(
            'bucket_released',
            {
                'organisation': bucket.id,
                'claimant': claimant,
                'was_owner': bucket.is_held,
                'tokens': round(bucket.level, _DECIMALS),
                'refill_seconds': round(now - bucket.refilled_at, _DECIMALS),
            },
        ),
    )
