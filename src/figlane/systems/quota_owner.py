"""Keeps the buckets of the organisations that this node owns.

A bucket exists once in the fleet. A node that becomes its owner, because it
joined or because the owner leaves, first claims it from the previous owner,
which then charges no more calls. Nothing is kept in the platform's object
store, so that the limit holds at a restart of the whole fleet and while the
store is unavailable: a new bucket starts empty.
"""

from __future__ import annotations

from figlane.entities.charge import (
    OwnedBucket,
    OwnedBucketPhase,
    Requester,
)
from figlane.entities.inbox import PeerMessage
from figlane.entities.member import MemberPhase
from figlane.entities.quota_messages import (
    BucketClaim,
    BucketRelease,
    ChargeReply,
    ChargeRequest,
)
from figlane.entities.service import Allowance
from figlane.entities.table import NEVER
from figlane.entities.world import QuotaBounds, World
from figlane.registry import RunCondition
from figlane.systems.membership import own_member
from figlane.systems.node_messages import send_message
from figlane.systems.quota_ring import owner_of, previous_owner_of
from figlane.systems.registry import Stage, peer_handlers, system

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
# Least time without a request after which a requester has fallen silent.
_ASKED_SECONDS = 1.0
# Interval at which an owner looks for requesters that have fallen silent.
_CHECK_SECONDS = 0.25
# A requester has fallen silent after this multiple of the mean time between its
# requests. It is looked at until it must have been declared dead.
_SILENT_GAPS = 5
_SILENT_MAX_SECONDS = 10.0
# Weight of the newest sample in the mean time between requests.
_GAP_GAIN = 0.25
# Time without an answer after which the previous owner counts as gone.
_CLAIM_TIMEOUT_SECONDS = 0.1
# Time to the next token that is named while no token is added.
_NO_RATE_SECONDS = 1.0
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
    bucket = _find_bucket(world, request.organisation_id, now)
    owner_id = _current_owner(world, bucket, now)
    if owner_id == world.identity.node_id:
        _record_requester(bucket, row.sender, now)
        _claim_if_needed(world, bucket, now)
        bucket.waiting_requests.append((row.sender, request))
        if bucket.phase is OwnedBucketPhase.OWNED:
            _answer_waiting(world, bucket, now)
        return
    if bucket.phase is not OwnedBucketPhase.UNCLAIMED:
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

    :param world: the tables.
    :param row: the claim.
    :param now: the present time in seconds.
    """
    claim: BucketClaim = row.message
    bucket = _find_bucket(world, claim.organisation_id, now)
    was_owner = bucket.phase is OwnedBucketPhase.OWNED
    _refill(world, bucket, now)
    release = BucketRelease(claim.organisation_id, bucket.level, was_owner)
    world.quota.owned_buckets.move(bucket, OwnedBucketPhase.UNCLAIMED)
    bucket.released_to = row.sender
    bucket.released_at = now
    send_message(world, row.sender, release)
    for sender, request in bucket.waiting_requests:
        reply = ChargeReply(
            request.request_id, request.organisation_id, owner_id=row.sender
        )
        send_message(world, sender, reply)
    bucket.waiting_requests.clear()


@peer_handlers.register(BucketRelease)
def handle_bucket_release(world: World, row: PeerMessage, now: float) -> None:
    """Take over a bucket with the level that it had at its previous owner.

    :param world: the tables.
    :param row: the answer to this node's claim.
    :param now: the present time in seconds.
    """
    release: BucketRelease = row.message
    bucket = world.quota.owned_buckets.get(release.organisation_id)
    if bucket is None or bucket.phase is not OwnedBucketPhase.CLAIMING:
        return
    if release.was_owner:
        bucket.level = release.level
        bucket.refilled_at = now
        bucket.created_at = -NEVER
    else:
        # No member has charged calls lately, unless it was this node before its
        # latest start.
        bucket.refilled_at = min(now, world.started_at)
    _start_serving(world, bucket, now)


@system(Stage.QUOTA, RunCondition('quota.owned_buckets'))
def end_claims(world: World, now: float) -> None:
    """Take over the buckets whose previous owner has not answered in time.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for bucket in world.quota.owned_buckets.pop_due(now):
        if bucket.phase is OwnedBucketPhase.CLAIMING:
            world.counters['quota.claim.unanswered'] += 1
            _start_serving(world, bucket, now)


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


def _find_bucket(world: World, organisation_id: str, now: float) -> OwnedBucket:
    own_member(world)
    bucket = world.quota.owned_buckets.get(organisation_id)
    if bucket is None:
        bucket = OwnedBucket(organisation_id, now)
        world.quota.owned_buckets.insert(bucket)
    return bucket


def _current_owner(world: World, bucket: OwnedBucket, now: float) -> str:
    owner_id = owner_of(world, bucket.id)
    released = world.members.get(bucket.released_to)
    if owner_id != world.identity.node_id or not bucket.released_to:
        return owner_id
    if now >= bucket.released_at + _RELEASED_SECONDS:
        return owner_id
    # A member that this node has not heard of yet has just joined.
    is_gone = released is not None and released.phase is not MemberPhase.ALIVE
    return owner_id if is_gone else bucket.released_to


def _claim_if_needed(world: World, bucket: OwnedBucket, now: float) -> None:
    if bucket.phase is not OwnedBucketPhase.UNCLAIMED:
        return
    bucket.level = 0
    bucket.refilled_at = now
    bucket.created_at = now
    bucket.released_to = ''
    previous = previous_owner_of(world, bucket.id)
    if not previous:
        bucket.refilled_at = min(now, world.started_at)
        _start_serving(world, bucket, now)
        return
    world.quota.owned_buckets.move(bucket, OwnedBucketPhase.CLAIMING)
    due = now + _CLAIM_TIMEOUT_SECONDS
    world.quota.owned_buckets.schedule(bucket, due)
    send_message(world, previous, BucketClaim(bucket.id))


def _start_serving(world: World, bucket: OwnedBucket, now: float) -> None:
    world.quota.owned_buckets.move(bucket, OwnedBucketPhase.OWNED)
    _answer_waiting(world, bucket, now)


def _answer_waiting(world: World, bucket: OwnedBucket, now: float) -> None:
    rate = _refill(world, bucket, now)
    requests = bucket.waiting_requests
    bucket.waiting_requests = []
    for sender, request in requests:
        # Without an allowance, this node does not know the organisation yet,
        # or its calls are no longer limited.
        granted = request.count
        if _allowance(world, bucket) is not None:
            granted = _take(request.count, bucket.level)
            bucket.level -= granted
        reply = ChargeReply(
            request.request_id,
            bucket.id,
            granted,
            _next_token_in(bucket.level, rate),
        )
        send_message(world, sender, reply)


def _record_requester(bucket: OwnedBucket, node_id: str, now: float) -> None:
    requester = bucket.requester_by_node.get(node_id)
    if requester is None:
        bucket.requester_by_node[node_id] = Requester(now)
        return
    gap = now - requester.asked_at
    mean_gap = requester.mean_gap or gap
    requester.mean_gap = mean_gap + _GAP_GAIN * (gap - mean_gap)
    requester.asked_at = now


def _has_silent_requester(bucket: OwnedBucket, now: float) -> bool:
    if now < bucket.checked_at + _CHECK_SECONDS:
        return bucket.has_silent_requester
    bucket.checked_at = now
    bucket.requester_by_node = {
        node_id: requester
        for node_id, requester in bucket.requester_by_node.items()
        if now - requester.asked_at < _SILENT_MAX_SECONDS
    }
    bucket.has_silent_requester = any(
        _is_silent(requester, now)
        for requester in bucket.requester_by_node.values()
    )
    return bucket.has_silent_requester


def _is_silent(requester: Requester, now: float) -> bool:
    patience = max(_ASKED_SECONDS, _SILENT_GAPS * requester.mean_gap)
    return now - requester.asked_at > patience


def _charge_fallback(
    world: World, bucket: OwnedBucket, row: PeerMessage, now: float
) -> None:
    request: ChargeRequest = row.message
    _record_requester(bucket, row.sender, now)
    rate = _refill_fallback(world, bucket, now)
    granted = _take(request.count, bucket.fallback_level)
    bucket.fallback_level -= granted
    world.counters['quota.fallback'] += granted
    reply = ChargeReply(
        request.request_id,
        bucket.id,
        granted,
        _next_token_in(bucket.fallback_level, rate),
    )
    send_message(world, row.sender, reply)


def _next_token_in(level: float, rate: float) -> float:
    if not rate:
        return _NO_RATE_SECONDS
    return max(0, 1 - level) / rate


def _take(count: int, level: float) -> int:
    return max(0, min(count, int(level)))


def _refill(world: World, bucket: OwnedBucket, now: float) -> float:
    allowance = _allowance(world, bucket)
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
    if dead or is_new or _has_silent_requester(bucket, now):
        return allowance.rate
    return limit.rate


def _refill_fallback(world: World, bucket: OwnedBucket, now: float) -> float:
    allowance = _allowance(world, bucket)
    if allowance is None:
        return 0
    limit = sustained_allowance(world.quota_bounds, allowance)
    capacity = max(1, limit.burst * _FALLBACK_BURST_FRACTION)
    asking = sum(
        not _is_silent(requester, now)
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


def _allowance(world: World, bucket: OwnedBucket) -> Allowance | None:
    organisation = world.organisations.get(bucket.id)
    return None if organisation is None else organisation.allowance
