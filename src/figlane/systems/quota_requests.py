"""Requests the tokens that an entry node needs from the holders of rights."""

from __future__ import annotations

import math

from figlane.entities.quota import Asked, HolderView, Stock
from figlane.entities.quota_messages import TokenRequest
from figlane.entities.right import RightPhase
from figlane.entities.service import Allowance
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.post import post
from figlane.systems.quota_minting import MAX_TOKEN_SECONDS
from figlane.systems.quota_shares import rights_of_quota

# Time after which a request for tokens times out.
_ANSWER_SECONDS = 0.1
# Back-off before a holder whose request timed out is asked again.
_SILENCE_SECONDS = 1.0
# Shortest pause before holders without tokens are asked again.
_MIN_PAUSE_SECONDS = 0.01
# Shortest lifetime of a token.
_MIN_TOKEN_SECONDS = 0.05
# Fraction of the burst that may be granted and unexpired at the full rate.
_LOAN_FRACTION = 0.25
# Fraction of a token's lifetime whose demand is requested in advance.
_STOCK_FRACTION = 0.5
# A nearby holder is preferred if it is estimated to have at least this multiple
# of the tokens that are requested.
_RESERVE = 2
# Time after which the bucket state that a holder reported is discarded.
_VIEW_SECONDS = 1.0
_ID_BITS = 64


def ask_holders(
    world: World,
    stock: Stock,
    allowance: Allowance,
    now: float,
) -> float:
    """Request tokens from holders if the stock does not cover the demand.

    :param world: the tables.
    :param stock: the stock.
    :param allowance: the quota's allowance.
    :param now: the current time in seconds.
    :return: when to retry if no answer arrives before, or ``NEVER``.
    """
    available = sum(batch.count for batch in stock.batches)
    available += sum(asked.count for asked in stock.asked_by_id.values())
    surplus = available - len(stock.waiting)
    if surplus >= 0:
        _ask_for_stock(world, stock, allowance, surplus, now)
        return NEVER
    return _ask_for_waiting(world, stock, allowance, -surplus, now)


def token_lifetime(allowance: Allowance) -> float:
    """Compute the lifetime of a quota's tokens.

    Granted tokens count against the capacity of the holder's bucket until they
    expire. Their lifetime is therefore a fraction of the time in which the
    burst refills.

    :param allowance: the quota's allowance.
    :return: the lifetime in seconds.
    """
    lifetime = _LOAN_FRACTION * allowance.burst / allowance.rate
    return min(MAX_TOKEN_SECONDS, max(_MIN_TOKEN_SECONDS, lifetime))


def give_up_requests(stock: Stock, now: float) -> None:
    """Drop requests that timed out and back off from their holders.

    :param stock: the stock.
    :param now: the current time in seconds.
    """
    for request_id, asked in tuple(stock.asked_by_id.items()):
        if now < asked.sent_at + _ANSWER_SECONDS:
            continue
        stock.asked_by_id.pop(request_id)
        view = stock.view_by_holder[asked.holder]
        view.silent_until = now + _SILENCE_SECONDS


def next_request_end(stock: Stock) -> float:
    """Compute when the oldest pending request times out.

    :param stock: the stock.
    :return: the time in seconds, or ``NEVER``.
    """
    return min(
        (
            asked.sent_at + _ANSWER_SECONDS
            for asked in stock.asked_by_id.values()
        ),
        default=NEVER,
    )


def _demand(stock: Stock, now: float) -> float:
    return stock.demand if now - stock.demand_at < MAX_TOKEN_SECONDS else 0


def _ask_for_stock(
    world: World,
    stock: Stock,
    allowance: Allowance,
    surplus: int,
    now: float,
) -> None:
    lifetime = token_lifetime(allowance)
    target = int(_demand(stock, now) * lifetime * _STOCK_FRACTION)
    if surplus >= target / 2:
        return
    wanted = target - surplus
    views = _askable(world, stock, allowance, wanted, now)
    if views and views[0][1].estimate(now) >= 2:
        counts = (0, wanted)
        _ask(world, stock, views[0][0], counts, lifetime, now)


def _ask_for_waiting(
    world: World,
    stock: Stock,
    allowance: Allowance,
    needed: int,
    now: float,
) -> float:
    lifetime = token_lifetime(allowance)
    views = _askable(world, stock, allowance, needed, now)
    for holder, view in views:
        count = min(needed, math.floor(view.estimate(now)))
        if count > 0:
            _ask(world, stock, holder, (count, 0), lifetime, now)
            needed -= count
        if not needed:
            return NEVER
    stock.is_dry = True
    if stock.asked_by_id:
        return NEVER
    return _next_token_at(views, now)


def _askable(
    world: World,
    stock: Stock,
    allowance: Allowance,
    count: int,
    now: float,
) -> list[tuple[str, HolderView]]:
    busy = {asked.holder for asked in stock.asked_by_id.values()}
    views = []
    for holder, share in _share_by_holder(world, stock.id, allowance).items():
        view = stock.view_by_holder.get(holder)
        if view is None or view.told_at + _VIEW_SECONDS <= now:
            view = HolderView(
                allowance.burst * share,
                allowance.burst * share,
                allowance.rate * share,
                now,
                view.silent_until if view else -NEVER,
            )
            stock.view_by_holder[holder] = view
        if holder not in busy and view.silent_until <= now:
            views.append((holder, view))
    views.sort(
        key=lambda entry: _preference(world, *entry, count, now),
        reverse=True,
    )
    return views


def _preference(
    world: World,
    holder: str,
    view: HolderView,
    count: int,
    now: float,
) -> tuple[bool, bool, float]:
    estimate = view.estimate(now)
    member = world.members.get(holder)
    is_here = holder == world.identity.node_id
    is_near = member is not None and (
        member.failure_domain == world.identity.failure_domain
    )
    has_enough = estimate >= _RESERVE * max(count, 1)
    return has_enough and is_here, has_enough and is_near, estimate


def _share_by_holder(
    world: World,
    quota: str,
    allowance: Allowance,
) -> dict[str, float]:
    right_ids = rights_of_quota(world, quota, allowance)
    shares: dict[str, float] = {}
    for right_id in right_ids:
        for holder in _holders(world, right_id):
            shares[holder] = shares.get(holder, 0) + 1 / len(right_ids)
    return shares


def _holders(world: World, right_id: str) -> set[str]:
    """Return the known holder, and this node as well if it holds the right."""
    holders = set()
    right = world.quota.rights.get(right_id)
    if right is not None and right.phase is RightPhase.HELD:
        holders.add(world.identity.node_id)
    known = world.quota.holder_by_right.get(right_id)
    successor = world.quota.successor_by_right.get(right_id, '')
    if known is not None and _is_reachable(world, known.holder):
        holders.add(known.holder)
    elif _is_reachable(world, successor):
        holders.add(successor)
    return holders


def _is_reachable(world: World, holder: str) -> bool:
    return holder in world.members or holder == world.identity.node_id


def _ask(
    world: World,
    stock: Stock,
    holder: str,
    counts: tuple[int, int],
    lifetime: float,
    now: float,
) -> None:
    request_id = f'{world.random.getrandbits(_ID_BITS):x}'
    stock.asked_by_id[request_id] = Asked(
        holder,
        sum(counts),
        now,
        now + lifetime,
    )
    request = TokenRequest(
        request_id=request_id,
        service_id=stock.service_id,
        organisation_id=stock.organisation_id,
        needed=counts[0],
        wanted=counts[1],
        lifetime=lifetime,
    )
    post(world, holder, request)


def _next_token_at(
    views: list[tuple[str, HolderView]],
    now: float,
) -> float:
    pauses = [
        (1 - view.estimate(now)) / view.rate for _, view in views if view.rate
    ]
    if not pauses:
        return NEVER
    return now + max(_MIN_PAUSE_SECONDS, min(pauses))
