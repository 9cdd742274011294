"""Limits each organisation's rate by call counts that all nodes exchange.

The callers of an organisation may concentrate on a few nodes and move between
them, so that static shares of the rate would refuse calls within it. Each node
therefore keeps its own estimate of one fleet-wide token bucket per
organisation: it deducts the calls that it admits, the calls that peers report,
and the calls that peers are expected to admit until their next report. Calls
admitted in excess make the level negative; no further call is admitted until
the bucket has been refilled. A second, local bucket bounds this overshoot:
between two reports a node admits little more than its share of the demand.
Nothing is kept in the platform's object store, so that the limit holds at a
restart of the whole fleet and while the store is unavailable.
"""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.member import MemberPhase
from figlane.entities.quota import DemandBucket
from figlane.entities.service import Allowance
from figlane.entities.world import QuotaBounds, World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.readiness import has_member_list
from figlane.systems.registry import (
    configuration_observers,
    rate_policies,
)

DEMAND_POLICY = 'demand'
# Fraction of its share of the rate that a partitioned node uses: the nodes on
# the other side may have taken over some of it.
_ISOLATED_FACTOR = 0.7
# Fraction of overage and slack that is used as the bucket's burst; the rest
# covers overshoot from reports that arrive late.
_BURST_FRACTION = 0.3
# Factor by which a node may exceed its share of the rate between reports.
_LOCAL_RATE_FACTOR = 1.4
# Extra capacity and refill rate (per second) of all local buckets together, in
# multiples of the fleet-wide burst.
_LOCAL_EXTRA_CAPACITY = 2.5
_LOCAL_EXTRA_RATE = 0.8
# Fraction of the allowance's burst that is added to the rate, spread evenly
# over a window.
_BURST_RATE_FRACTION = 0.75
# Smallest share of a node as a multiple of an even share, so that a node to
# which callers have just moved does not refuse them.
_MIN_SHARE_FACTOR = 1.0
# Upper bound of the random delay that spreads the retries of refused callers.
_MAX_JITTER_SECONDS = 1.0


@rate_policies.register(DEMAND_POLICY)
def charge_by_demand(
    world: World,
    call: Call,
    now: float,
) -> Refusal | CallPhase:
    """Charge a call to the organisation's token bucket.

    :param world: the tables.
    :param call: a root call of an organisation.
    :param now: the present time in seconds.
    :return: the call's next phase, or the refusal.
    """
    organisation = world.organisations.get(call.organisation_id)
    if organisation is None or organisation.allowance is None:
        return CallPhase.ROUTABLE
    allowance = organisation.allowance
    if not has_member_list(world):
        return Refusal(
            ErrorKind.QUOTA_UNAVAILABLE,
            'the membership records have not been read yet',
        )
    bucket = ensure_bucket(world, organisation.id, now)
    limit = sustained_allowance(world.quota_bounds, allowance)
    bucket.received += 1
    _refill(world, bucket, allowance, limit, now)
    is_isolated = not world.quota.is_demand_known
    if (is_isolated or bucket.level >= 1) and bucket.local_level >= 1:
        bucket.level -= 1
        bucket.local_level -= 1
        bucket.admitted += 1
        return CallPhase.ROUTABLE
    world.counters['quota.refused'] += 1
    return Refusal(
        ErrorKind.RATE_EXCEEDED,
        _refusal_detail(world, bucket, allowance),
        retry_after=_retry_after(world, bucket, limit),
    )


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


def _refusal_detail(
    world: World, bucket: DemandBucket, allowance: Allowance
) -> str:
    return (
        f'{bucket.level:.1f} tokens left at {allowance.rate:g} per second, '
        f'{bucket.local_level:.1f} in the local bucket; peers admit '
        f'{bucket.peer_rate:.1f} per second; '
        f'{world.quota.silent_peer_count} peers sent no recent report'
    )


def _retry_after(
    world: World,
    bucket: DemandBucket,
    limit: Allowance,
) -> float:
    # The jitter spreads the retries of callers that are refused together over
    # the time in which one burst refills.
    refilled_in = (1 - bucket.level) / limit.rate
    max_jitter = min(_MAX_JITTER_SECONDS, limit.burst / limit.rate)
    return refilled_in + max_jitter * world.random.random()


@configuration_observers.register('demand-buckets')
def create_buckets(world: World, now: float) -> None:
    """Create the buckets of new organisations, so that they start to fill.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for organisation in world.organisations:
        if organisation.allowance is not None:
            ensure_bucket(world, organisation.id, now)


def ensure_bucket(
    world: World,
    organisation_id: str,
    now: float,
) -> DemandBucket:
    """Return an organisation's bucket, creating an empty one if needed.

    :param world: the tables.
    :param organisation_id: the organisation's id.
    :param now: the present time in seconds.
    :return: the bucket.
    """
    by_organisation = world.quota.bucket_by_organisation
    bucket = by_organisation.get(organisation_id)
    if bucket is None:
        bucket = DemandBucket(created_at=now, refilled_at=now)
        by_organisation[organisation_id] = bucket
    return bucket


def _refill(
    world: World,
    bucket: DemandBucket,
    allowance: Allowance,
    limit: Allowance,
    now: float,
) -> None:
    elapsed = now - bucket.refilled_at
    bucket.refilled_at = now
    nodes = max(1, len(world.members.by_id))
    share = max(bucket.demand_share, _MIN_SHARE_FACTOR / nodes)
    rate = _fleet_rate(world, bucket, allowance, limit, now)
    level = bucket.level + elapsed * (rate - max(0, bucket.peer_rate))
    bucket.level = min(limit.burst, level)
    if world.quota.is_demand_known:
        even_burst = limit.burst / nodes
        local_rate = (
            _LOCAL_RATE_FACTOR * rate * share + _LOCAL_EXTRA_RATE * even_burst
        )
        local_capacity = (
            1 + limit.burst * share + _LOCAL_EXTRA_CAPACITY * even_burst
        )
    else:
        local_rate = _ISOLATED_FACTOR * allowance.rate * share
        local_capacity = max(1, limit.burst * share)
    bucket.local_level = min(
        local_capacity, bucket.local_level + elapsed * local_rate
    )


def _fleet_rate(
    world: World,
    bucket: DemandBucket,
    allowance: Allowance,
    limit: Allowance,
    now: float,
) -> float:
    # Silent nodes may be partitioned off and still admit their share, and a new
    # bucket does not include the calls that were admitted before this node
    # started: in both cases the burst is not added to the rate.
    nodes = max(1, len(world.members.by_id))
    silent = world.quota.silent_peer_count
    is_complete = not silent and not world.members.count(MemberPhase.DEAD)
    is_new = now - bucket.created_at < world.quota_bounds.window_seconds
    rate = limit.rate if is_complete and not is_new else allowance.rate
    return rate * (1 - _ISOLATED_FACTOR * silent / nodes)
