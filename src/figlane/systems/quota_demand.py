"""Limits each organisation's rate by call counts that all nodes exchange.

The callers of an organisation may concentrate on a few nodes and move between
them, so that static shares of the rate would refuse calls within it. Each node
therefore keeps its own estimate of one fleet-wide token bucket per
organisation: it deducts the calls that it admits, the calls that peers report,
and the calls that peers are expected to admit until their next report. Calls
admitted in excess make the level negative and have to be refilled first. A
second, local bucket bounds this overshoot: between two reports a node admits
little more than its share of the demand. Nothing is kept in the platform's
object store, so that the limit holds at a restart of the whole fleet and while
the store is unavailable.
"""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.member import MemberPhase
from figlane.entities.quota import DemandBucket
from figlane.entities.service import Allowance
from figlane.entities.world import QuotaBounds, World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.readiness import knows_members
from figlane.systems.registry import (
    configuration_observers,
    rate_policies,
)

POLICY = 'demand'
# Fraction of its share of the rate that a partitioned node uses: the nodes on
# the other side may have taken over some of it.
_APART_FACTOR = 0.7
# Fraction of overage and slack that is used as the bucket's burst; the rest
# covers overshoot from reports that arrive late.
_BURST_PART = 0.3
# Factor by which a node may exceed its share of the rate between reports.
_LOCAL_FACTOR = 1.4
# Extra capacity and refill rate (per second) of all local buckets together, in
# multiples of the fleet-wide burst.
_LOCAL_SPARE = 2.5
_LOCAL_REGAIN = 0.8
# Fraction of the allowance's burst that is added to the rate, spread evenly
# over a window.
_RATE_PART = 0.75
# Smallest share of a node as a multiple of an even share, so that a node to
# which callers have just moved does not refuse them.
_LEAST_PART = 1.0
# Upper bound of the random delay that spreads the retries of refused callers.
_MAX_SPREAD_SECONDS = 1.0


@rate_policies.register(POLICY)
def charge_by_demand(
    world: World,
    call: Call,
    now: float,
) -> Refusal | CallPhase:
    """Charge a call to the organisation's token bucket.

    :param world: the tables.
    :param call: a root call of an organisation.
    :param now: the current time in seconds.
    :return: the call's next phase, or the refusal.
    """
    organisation = world.organisations.get(call.organisation_id)
    if organisation is None or organisation.allowance is None:
        return CallPhase.ROUTABLE
    allowance = organisation.allowance
    if not knows_members(world):
        return Refusal(
            ErrorKind.QUOTA_UNAVAILABLE,
            'the membership records have not been read yet',
        )
    bucket = bucket_of(world, organisation.id, now)
    limit = sustained_allowance(world.quota_bounds, allowance)
    bucket.asked += 1
    _refill(world, bucket, allowance, limit, now)
    is_apart = not world.quota.is_demand_known
    if (is_apart or bucket.level >= 1) and bucket.local_level >= 1:
        bucket.level -= 1
        bucket.local_level -= 1
        bucket.admitted += 1
        return CallPhase.ROUTABLE
    world.counters['quota.refused'] += 1
    return Refusal(
        ErrorKind.RATE_EXCEEDED,
        _reason(world, bucket, allowance),
        retry_after=_return_time(world, bucket, limit),
    )


def sustained_allowance(bounds: QuotaBounds, allowance: Allowance) -> Allowance:
    """Convert a windowed allowance to the rate and burst of a token bucket.

    A windowed allowance may be used in any pattern within each window. Used
    evenly, its burst raises the sustained rate.

    :param bounds: the window and the tolerances of the quota.
    :param allowance: the organisation's allowance.
    :return: rate and burst of the bucket; the same allowance where no window
        is set.
    """
    if not bounds.window_seconds:
        return allowance
    whole = allowance.rate * bounds.window_seconds + allowance.burst
    burst = (whole * bounds.overage + bounds.slack) * _BURST_PART
    spread = _RATE_PART * allowance.burst / bounds.window_seconds
    return Allowance(
        allowance.rate + spread,
        max(1, burst),
        allowance.weight,
    )


def _reason(world: World, bucket: DemandBucket, allowance: Allowance) -> str:
    return (
        f'{bucket.level:.1f} tokens left at {allowance.rate:g} per second, '
        f'{bucket.local_level:.1f} in the local bucket; peers admit '
        f'{bucket.peer_rate:.1f} per second; '
        f'{world.quota.unheard_count} peers sent no recent report'
    )


def _return_time(
    world: World,
    bucket: DemandBucket,
    limit: Allowance,
) -> float:
    # The jitter spreads the retries of callers that are refused together over
    # the time in which one burst refills.
    refilled_in = (1 - bucket.level) / limit.rate
    spread = min(_MAX_SPREAD_SECONDS, limit.burst / limit.rate)
    return refilled_in + spread * world.random.random()


@configuration_observers.register('demand-buckets')
def open_buckets(world: World, now: float) -> None:
    """Create the buckets of new organisations, so that they start to fill.

    :param world: the tables.
    :param now: the current time in seconds.
    """
    for organisation in world.organisations:
        if organisation.allowance is not None:
            bucket_of(world, organisation.id, now)


def bucket_of(
    world: World,
    organisation_id: str,
    now: float,
) -> DemandBucket:
    """Return an organisation's bucket, creating an empty one if needed.

    :param world: the tables.
    :param organisation_id: the organisation's id.
    :param now: the current time in seconds.
    :return: the bucket.
    """
    by_organisation = world.quota.demand_by_organisation
    bucket = by_organisation.get(organisation_id)
    if bucket is None:
        bucket = DemandBucket(opened_at=now, refilled_at=now)
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
    part = max(bucket.part, _LEAST_PART / nodes)
    rate = _rate_of_all(world, bucket, allowance, limit, now)
    level = bucket.level + elapsed * (rate - max(0, bucket.peer_rate))
    bucket.level = min(limit.burst, level)
    if world.quota.is_demand_known:
        fair = limit.burst / nodes
        regained = _LOCAL_FACTOR * rate * part + _LOCAL_REGAIN * fair
        most = 1 + limit.burst * part + _LOCAL_SPARE * fair
    else:
        regained = _APART_FACTOR * allowance.rate * part
        most = max(1, limit.burst * part)
    bucket.local_level = min(most, bucket.local_level + elapsed * regained)


def _rate_of_all(
    world: World,
    bucket: DemandBucket,
    allowance: Allowance,
    limit: Allowance,
    now: float,
) -> float:
    # Silent nodes may be partitioned off and still admit their share, and a new
    # bucket does not know what was admitted before this node started: in both
    # cases the burst is not added to the rate.
    nodes = max(1, len(world.members.by_id))
    unheard = world.quota.unheard_count
    is_whole = not unheard and not world.members.count(MemberPhase.DEAD)
    is_new = now - bucket.opened_at < world.quota_bounds.window_seconds
    rate = limit.rate if is_whole and not is_new else allowance.rate
    return rate * (1 - _APART_FACTOR * unheard / nodes)
