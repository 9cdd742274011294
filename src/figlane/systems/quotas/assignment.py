"""Assigns minting rights to members and refills the buckets periodically."""

from __future__ import annotations

from figlane.entities.quota import Timer
from figlane.entities.right import ReleaseRights, RightPhase
from figlane.entities.service import Allowance, ConfigurationPhase
from figlane.entities.world import World
from figlane.systems.quotas.minting import refill_bucket, refill_buckets
from figlane.systems.quotas.rights import ensure_right
from figlane.systems.quotas.shares import (
    MINTING_POLICIES,
    choose_preferred_holders,
    eligible_members,
    quota_id,
    rights_of_quota,
)
from figlane.systems.registry import (
    Stage,
    inbox_handlers,
    leaving_hooks,
    system,
)

_TIMER_ID = 'quota-duties'
# Interval between two reviews of the members and the service documents.
_REVIEW_SECONDS = 1.0


@system(Stage.MEMBERSHIP)
def review_assignments(world: World, now: float) -> None:
    """Reassign rights when the members change, and refill the buckets.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if world.policies.rate not in MINTING_POLICIES:
        return
    timers = world.quota.timers
    if not timers.by_id:
        timers.insert(Timer(_TIMER_ID, due=now))
    for timer in timers.pop_due(now):
        timers.schedule(timer, now + _REVIEW_SECONDS)
        _assign_rights(world, now)
        _create_buckets(world, now)
        refill_buckets(world, now)


@inbox_handlers.register(ReleaseRights)
def handle_release_rights(
    world: World,
    row: ReleaseRights,
    now: float,
) -> None:
    """Release all rights before a planned stop.

    :param world: the tables.
    :param row: the request to release.
    :param now: the present time in seconds.
    """
    release_rights(world, now)


@leaving_hooks.register('quota-rights')
def release_rights(world: World, now: float) -> None:
    """Release all rights to the object store and acquire no more.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    world.quota.is_leaving = True
    _assign_rights(world, now)
    for right in world.quota.rights.in_phase(RightPhase.HELD):
        right.release_to = world.quota.preferred_holder_by_right.get(
            right.id, ''
        )
        world.quota.rights.schedule(right, now)


def has_released(world: World) -> bool:
    """Check whether all rights of this node have been released.

    :param world: the tables.
    :return: True if the store has confirmed each release. A node that stops
        before that is recorded as a former holder that may still mint.
    """
    rights = world.quota.rights
    return not (
        rights.count(RightPhase.HELD) or rights.count(RightPhase.RELEASED)
    )


def _assign_rights(world: World, now: float) -> None:
    member_ids = eligible_members(world)
    if member_ids == world.quota.candidate_ids:
        return
    world.quota.preferred_holder_by_right = choose_preferred_holders(
        member_ids,
        world.quota.candidate_ids,
        world.quota.preferred_holder_by_right,
    )
    world.quota.candidate_ids = member_ids
    for right_id, preferred in world.quota.preferred_holder_by_right.items():
        if preferred == world.identity.node_id:
            world.quota.rights.schedule(ensure_right(world, right_id), now)


def _create_buckets(world: World, now: float) -> None:
    """Create the buckets of the quotas for which this node may mint."""
    held = {right.id for right in world.quota.rights.in_phase(RightPhase.HELD)}
    if not held:
        return
    for quota, allowance in _quotas_without_bucket(world):
        if not held.isdisjoint(rights_of_quota(world, quota, allowance)):
            refill_bucket(world, quota, allowance, now)


def _quotas_without_bucket(world: World) -> list[tuple[str, Allowance]]:
    existing = world.quota.bucket_by_id
    services = world.services.in_phase(ConfigurationPhase.IN_FORCE)
    return [
        (quota, allowance)
        for service in services
        for organisation, allowance in (
            service.allowance_by_organisation.items()
        )
        if (quota := quota_id(service.id, organisation)) not in existing
    ]
