"""Keeps the buckets of the organisations that this node owns.

A bucket exists once in the fleet. A node that becomes its owner, because it
joined or because the owner leaves, first claims it from the members that may
hold it. They charge no more calls, and one that held it before names the member
that claimed it since. Nothing is kept in the platform's object store, so that
the limit holds at a restart of the whole fleet and while the store is
unavailable: a new bucket starts empty.
"""

from __future__ import annotations

from figlane.entities.charge import OwnedBucket, OwnedBucketPhase
from figlane.entities.inbox import PeerMessage
from figlane.entities.member import MemberPhase
from figlane.entities.quota_messages import (
    BucketClaim,
    BucketRelease,
    ChargeReply,
    ChargeRequest,
)
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.registry import RunCondition
from figlane.systems.links.messages import send_message
from figlane.systems.membership.states import own_member
from figlane.systems.quotas.buckets import (
    allowance_of,
    find_bucket,
    refill,
    refill_fallback,
    seconds_to_next_token,
    whole_tokens,
)
from figlane.systems.quotas.claim_log import log_claim, log_release
from figlane.systems.quotas.requesters import record_requester
from figlane.systems.quotas.ring import owner_of, previous_owners_of
from figlane.systems.registry import Stage, peer_handlers, system

# Time after which a claim ends without the members that have not answered.
_CLAIM_TIMEOUT_SECONDS = 0.1
# Largest number of members that are asked to release one bucket.
_MAX_CLAIMS = 16
# Time after a release for which requests are sent on to the new owner, of which
# this node may not have heard yet.
_RELEASED_SECONDS = 5.0


@peer_handlers.register(ChargeRequest)
def handle_charge_request(world: World, row: PeerMessage, now: float) -> None:
    """Charge calls to the bucket, or name its owner.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    request: ChargeRequest = row.message
    bucket = find_bucket(world, request.organisation_id, now)
    owner_id = _current_owner(world, bucket, now)
    if owner_id == world.identity.node_id:
        record_requester(bucket, row.sender, now)
        _claim_if_needed(world, bucket, now)
        bucket.waiting_requests.append((row.sender, request))
        if bucket.phase is OwnedBucketPhase.OWNED:
            _answer_waiting(world, bucket, now)
        return
    if bucket.phase is OwnedBucketPhase.OWNED:
        world.quota.owned_buckets.move(bucket, OwnedBucketPhase.UNCLAIMED)
    if owner_id and not request.is_fallback:
        reply = ChargeReply(
            request.request_id, request.organisation_id, owner_id=owner_id
        )
        send_message(world, row.sender, reply)
        return
    _charge_fallback(world, bucket, row, now)


@peer_handlers.register(BucketClaim)
def handle_bucket_claim(world: World, row: PeerMessage, now: float) -> None:
    """Release a bucket to the member that owns it from now on.

    During a claim of this node, the level is not known: the answer waits.

    :param world: the tables.
    :param row: the claim.
    :param now: the present time in seconds.
    """
    claim: BucketClaim = row.message
    bucket = find_bucket(world, claim.organisation_id, now)
    bucket.claimant = row.sender
    bucket.claimant_incarnation = claim.incarnation
    if bucket.phase is not OwnedBucketPhase.CLAIMING:
        _release(world, bucket, now)


@peer_handlers.register(BucketRelease)
def handle_bucket_release(world: World, row: PeerMessage, now: float) -> None:
    """Take over a bucket with the level that it had at its holder.

    :param world: the tables.
    :param row: an answer to this node's claim.
    :param now: the present time in seconds.
    """
    release: BucketRelease = row.message
    bucket = world.quota.owned_buckets.get(release.organisation_id)
    if bucket is None:
        return
    bucket.fallback_charged += release.charged
    if bucket.phase is not OwnedBucketPhase.CLAIMING:
        return
    if release.released_to and own_member(world).phase is MemberPhase.LEAVING:
        # A leaving member claims nothing: this claim ends unanswered.
        return
    bucket.awaited.discard(row.sender)
    if release.was_owner:
        bucket.level = release.level
        bucket.refilled_at = now
        bucket.created_at = -NEVER
        log_claim(world, bucket, 'released', row.sender, now)
        _start_serving(world, bucket, now)
        return
    _send_claim(world, bucket, release.released_to)
    if not bucket.awaited:
        _start_unheld(world, bucket, 'not-owner', now)


@system(Stage.QUOTA, RunCondition('quota.owned_buckets'))
def end_claims(world: World, now: float) -> None:
    """Take over the buckets that no member has released in time.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for bucket in world.quota.owned_buckets.pop_due(now):
        if bucket.phase is OwnedBucketPhase.CLAIMING:
            _empty(bucket, now)
            log_claim(world, bucket, 'unanswered', '', now)
            _start_serving(world, bucket, now)


def _current_owner(world: World, bucket: OwnedBucket, now: float) -> str:
    owner_id = owner_of(world, bucket.id)
    released = world.members.get(bucket.released_to)
    if owner_id != world.identity.node_id or not bucket.released_to:
        return owner_id
    if now >= bucket.released_at + _RELEASED_SECONDS:
        return owner_id
    # A member that this node has not heard of yet has just joined, and one that
    # claimed the bucket with a later incarnation has been started anew.
    # Any other one has not heard of this node yet.
    is_outdated = released is None or (
        released.incarnation == bucket.outdated_incarnation
    )
    return bucket.released_to if is_outdated else owner_id


def _claim_if_needed(world: World, bucket: OwnedBucket, now: float) -> None:
    if bucket.phase is not OwnedBucketPhase.UNCLAIMED:
        return
    if not bucket.is_held:
        _empty(bucket, now)
    _drop_old_fallback(world, bucket, now)
    bucket.claimed_from.clear()
    bucket.awaited.clear()
    world.quota.owned_buckets.move(bucket, OwnedBucketPhase.CLAIMING)
    due = now + _CLAIM_TIMEOUT_SECONDS
    world.quota.owned_buckets.schedule(bucket, due)
    _send_claim(world, bucket, bucket.released_to)
    for member_id in previous_owners_of(world, bucket.id):
        _send_claim(world, bucket, member_id)
    bucket.released_to = ''
    if not bucket.awaited:
        _start_unheld(world, bucket, 'alone', now)


def _send_claim(world: World, bucket: OwnedBucket, member_id: str) -> None:
    if len(bucket.claimed_from) >= _MAX_CLAIMS:
        return
    asked = (world.identity.node_id, *bucket.claimed_from)
    member = world.members.get(member_id)
    if member is None or member_id in asked:
        return
    if member.phase is MemberPhase.DEAD:
        return
    bucket.claimed_from.append(member_id)
    bucket.awaited.add(member_id)
    claim = BucketClaim(bucket.id, own_member(world).incarnation)
    send_message(world, member_id, claim)


def _start_unheld(
    world: World, bucket: OwnedBucket, outcome: str, now: float
) -> None:
    if bucket.is_held:
        log_claim(world, bucket, 'kept', '', now)
    else:
        # No member has charged calls lately, unless it was this node before its
        # latest start.
        bucket.refilled_at = min(now, world.started_at)
        bucket.created_at = bucket.refilled_at
        # Its level was not kept on filling while successors let calls through.
        bucket.fallback_charged = 0
        log_claim(world, bucket, outcome, '', now)
    _start_serving(world, bucket, now)


def _release(world: World, bucket: OwnedBucket, now: float) -> None:
    claimant = bucket.claimant
    log_release(world, bucket, claimant, now)
    _drop_old_fallback(world, bucket, now)
    refill(world, bucket, now)
    release = BucketRelease(
        bucket.id,
        bucket.level,
        bucket.is_held,
        '' if bucket.is_held else bucket.released_to,
        bucket.fallback_charged,
    )
    bucket.fallback_charged = 0
    world.quota.owned_buckets.move(bucket, OwnedBucketPhase.UNCLAIMED)
    bucket.is_held = False
    bucket.claimant = ''
    bucket.released_to = claimant
    bucket.released_at = now
    bucket.outdated_incarnation = 0
    member = world.members.get(claimant)
    if member is not None and member.phase is not MemberPhase.ALIVE:
        if member.incarnation < bucket.claimant_incarnation:
            bucket.outdated_incarnation = member.incarnation
    send_message(world, claimant, release)


def _drop_old_fallback(world: World, bucket: OwnedBucket, now: float) -> None:
    window = world.quota_bounds.window_seconds
    if now >= bucket.fallback_refilled_at + window:
        bucket.fallback_charged = 0


def _empty(bucket: OwnedBucket, now: float) -> None:
    bucket.level = 0
    bucket.refilled_at = now
    bucket.created_at = now


def _start_serving(world: World, bucket: OwnedBucket, now: float) -> None:
    world.quota.owned_buckets.move(bucket, OwnedBucketPhase.OWNED)
    bucket.is_held = True
    _answer_waiting(world, bucket, now)
    if bucket.claimant:
        _release(world, bucket, now)


def _answer_waiting(world: World, bucket: OwnedBucket, now: float) -> None:
    rate = refill(world, bucket, now)
    bucket.level = max(0, bucket.level - bucket.fallback_charged)
    bucket.fallback_charged = 0
    requests = bucket.waiting_requests
    bucket.waiting_requests = []
    for sender, request in requests:
        # Without an allowance, this node does not know the organisation yet,
        # or its calls are no longer limited.
        granted = request.count
        if allowance_of(world, bucket) is not None:
            granted = whole_tokens(request.count, bucket.level)
            bucket.level -= granted
        reply = ChargeReply(
            request.request_id,
            bucket.id,
            granted,
            seconds_to_next_token(bucket.level, rate),
        )
        send_message(world, sender, reply)


def _charge_fallback(
    world: World, bucket: OwnedBucket, row: PeerMessage, now: float
) -> None:
    request: ChargeRequest = row.message
    record_requester(bucket, row.sender, now)
    rate = refill_fallback(world, bucket, now)
    granted = whole_tokens(request.count, bucket.fallback_level)
    bucket.fallback_level -= granted
    bucket.fallback_charged += granted
    world.counters['quota.fallback'] += granted
    reply = ChargeReply(
        request.request_id,
        bucket.id,
        granted,
        seconds_to_next_token(bucket.fallback_level, rate),
    )
    send_message(world, row.sender, reply)
