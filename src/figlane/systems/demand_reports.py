"""Exchanges per-organisation call counts between nodes.

Receivers deduct what peers admitted from their estimate of each
organisation's token bucket and derive their share of its demand.
"""

from __future__ import annotations

from figlane.entities.inbox import PeerMessage
from figlane.entities.member import MemberPhase
from figlane.entities.quota import DemandBucket, PeerDemand
from figlane.entities.quota_messages import DemandReport
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.ledger import ledger_epoch
from figlane.systems.node_messages import send_message
from figlane.systems.quota_demand import DEMAND_POLICY, ensure_bucket
from figlane.systems.readiness import has_member_list
from figlane.systems.registry import peer_handlers, routines
from figlane.systems.rendezvous import live_members

# Interval between two reports to the peers. With 18 nodes, reports add about
# 2 % to the messages that calls cause.
REPORT_SECONDS = 0.4
# Time without a report after which a peer counts as silent: two reports are
# missing then.
_SILENT_SECONDS = 0.9
# Weights of the newest sample in the moving averages of the demand and of the
# rate at which a peer is expected to admit calls. They are low because one
# report covers few calls, whose number varies by chance.
_DEMAND_GAIN = 0.25
_RATE_GAIN = 0.15
# Total demand in calls per second below which it is too small to divide: all
# nodes then get even shares.
_MIN_TOTAL_RATE = 0.05


@routines.register('report-demand')
def report_demand(world: World, now: float) -> float:
    """Send this node's call counts to all live peers.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: the time of the next report, ``NEVER`` under other policies.
    """
    if world.policies.rate != DEMAND_POLICY:
        return NEVER
    quota = world.quota
    report = DemandReport(
        ledger_epoch(world),
        {
            organisation_id: bucket.admitted
            for organisation_id, bucket in quota.bucket_by_organisation.items()
            if bucket.admitted
        },
        {
            organisation_id: bucket.received
            for organisation_id, bucket in quota.bucket_by_organisation.items()
            if bucket.received
        },
    )
    for member in live_members(world):
        send_message(world, member.id, report)
    quota.is_demand_known = _is_demand_known(world, now)
    _update_shares(world)
    return now + REPORT_SECONDS


@peer_handlers.register(DemandReport)
def handle_demand_report(world: World, row: PeerMessage, now: float) -> None:
    """Deduct the calls that a peer has admitted from this node's estimates.

    :param world: the tables.
    :param row: the report.
    :param now: the present time in seconds.
    """
    report: DemandReport = row.message
    peer = world.quota.demand_by_node.get(row.sender)
    if peer is None or peer.epoch != report.epoch:
        if peer is not None:
            _remove_peer_rates(world, peer)
        # The first report is the baseline for the later ones: the tokens for
        # what the peer admitted before it have long been refilled.
        world.quota.demand_by_node[row.sender] = PeerDemand(
            report.epoch,
            now,
            dict(report.admitted_by_organisation),
            dict(report.asked_by_organisation),
        )
        return
    elapsed = now - peer.received_at
    if elapsed <= 0:
        return
    peer.received_at = now
    for organisation_id, admitted in report.admitted_by_organisation.items():
        previous = peer.admitted_by_organisation.get(organisation_id, 0)
        peer.admitted_by_organisation[organisation_id] = admitted
        newly_admitted = max(0, admitted - previous)
        bucket = ensure_bucket(world, organisation_id, now)
        _deduct_admissions(
            bucket, peer, organisation_id, newly_admitted, elapsed
        )
    _update_peer_demand(peer, report, elapsed)


def _update_peer_demand(
    peer: PeerDemand,
    report: DemandReport,
    elapsed: float,
) -> None:
    for organisation_id, received in report.asked_by_organisation.items():
        previous = peer.received_by_organisation.get(organisation_id, 0)
        peer.received_by_organisation[organisation_id] = received
        rate = max(0, received - previous) / elapsed
        peer.received_rate_by_organisation[organisation_id] = rate


def _deduct_admissions(
    bucket: DemandBucket,
    peer: PeerDemand,
    organisation_id: str,
    newly_admitted: int,
    elapsed: float,
) -> None:
    expected = peer.admitted_rate_by_organisation.get(organisation_id, 0)
    rate = expected + _RATE_GAIN * (newly_admitted / elapsed - expected)
    peer.admitted_rate_by_organisation[organisation_id] = rate
    bucket.level -= newly_admitted - expected * elapsed
    bucket.peer_rate += rate - expected


def _remove_peer_rates(world: World, peer: PeerDemand) -> None:
    by_organisation = world.quota.bucket_by_organisation
    for organisation_id, rate in peer.admitted_rate_by_organisation.items():
        bucket = by_organisation.get(organisation_id)
        if bucket is not None:
            bucket.peer_rate -= rate


def _update_shares(world: World) -> None:
    quota = world.quota
    even_share = 1 / max(1, len(world.members.by_id))
    for organisation_id, bucket in quota.bucket_by_organisation.items():
        local_rate = (
            bucket.received - bucket.reported_received
        ) / REPORT_SECONDS
        bucket.reported_received = bucket.received
        bucket.local_demand += _DEMAND_GAIN * (local_rate - bucket.local_demand)
        if not quota.is_demand_known:
            continue
        total = bucket.local_demand + sum(
            peer.received_rate_by_organisation.get(organisation_id, 0)
            for peer in quota.demand_by_node.values()
        )
        share = even_share
        if total > _MIN_TOTAL_RATE:
            share = min(1, bucket.local_demand / total)
        bucket.demand_share += _DEMAND_GAIN * (share - bucket.demand_share)


def _is_demand_known(world: World, now: float) -> bool:
    if not has_member_list(world):
        return False
    live = live_members(world)
    dead = world.members.count(MemberPhase.DEAD)
    if len(live) + 1 <= dead:
        return False
    by_node = world.quota.demand_by_node
    for node_id in by_node.keys() - {member.id for member in live}:
        _remove_peer_rates(world, by_node.pop(node_id))
    # A silent peer is assumed to keep admitting at its last known rate. Only a
    # node that misses the reports of more than half of its live peers treats
    # itself as partitioned off.
    world.quota.silent_peer_count = sum(
        member.id not in by_node
        or now - by_node[member.id].received_at > _SILENT_SECONDS
        for member in live
    )
    return 2 * world.quota.silent_peer_count <= len(live)
