"""Caches short-lived tokens at entry nodes and spends them on calls."""

from __future__ import annotations

import math

from figlane.entities.call import Call, CallPhase
from figlane.entities.inbox import PeerMessage
from figlane.entities.quota import Batch, ReportedBucket, Stock, WaitingCall
from figlane.entities.quota_messages import TokenGrant
from figlane.entities.service import Allowance
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.calls.lifecycle import finish_call
from figlane.systems.quotas.requests import (
    expire_requests,
    next_request_timeout,
    request_tokens,
)
from figlane.systems.quotas.shares import (
    find_allowance,
    quota_id,
    update_known_holder,
)
from figlane.systems.registry import Stage, peer_handlers, system

# Longest time that a call waits for a token.
MAX_WAIT_SECONDS = 0.25
# Time constant of the moving average of the demand.
_DEMAND_WINDOW_SECONDS = 0.5
# Smallest limit on waiting calls while the holders may have enough tokens.
_MIN_WAITING_LIMIT = 64
# Time after a holder's answer during which the holders count as reachable.
_REACHABLE_SECONDS = 1.0
# Back-off before the next request to a holder without rights of the quota.
_NO_RIGHTS_BACKOFF_SECONDS = 1.0


def spend_token(world: World, call: Call, now: float) -> Refusal | CallPhase:
    """Spend a token on a call, or queue the call until one arrives.

    :param world: the tables.
    :param call: a root call of an organisation.
    :param now: the present time in seconds.
    :return: the call's next phase, or the refusal.
    """
    allowance = find_allowance(world, call.service_id, call.organisation_id)
    if allowance is None:
        return CallPhase.ROUTABLE
    stock = _find_stock(world, call)
    _update_demand(stock, now)
    world.quota.stocks.schedule(stock, now)
    if not stock.waiting and take_token(stock, now):
        world.counters['quota.spent.local'] += 1
        return CallPhase.ROUTABLE
    if len(stock.waiting) >= _waiting_limit(stock, allowance):
        return _refusal(stock, allowance, now)
    stock.waiting.append(WaitingCall(call.id, now + MAX_WAIT_SECONDS))
    return CallPhase.AWAITING_QUOTA


def take_token(stock: Stock, now: float) -> bool:
    """Take one unexpired token from a stock.

    :param stock: the stock.
    :param now: the present time in seconds.
    :return: False if the stock has none.
    """
    drop_expired(stock, now)
    if not stock.batches:
        return False
    batch = stock.batches[0]
    batch.count -= 1
    if not batch.count:
        stock.batches.popleft()
    return True


def drop_expired(stock: Stock, now: float) -> None:
    """Discard the expired tokens of a stock.

    :param stock: the stock.
    :param now: the present time in seconds.
    """
    if any(batch.expires_at <= now for batch in stock.batches):
        stock.batches = type(stock.batches)(
            batch for batch in stock.batches if batch.expires_at > now
        )


@peer_handlers.register(TokenGrant)
def handle_token_grant(world: World, row: PeerMessage, now: float) -> None:
    """Add granted tokens to the stock.

    The tokens of a duplicate or late grant are lost, but it shows that the
    holder answers.

    :param world: the tables.
    :param row: the grant.
    :param now: the present time in seconds.
    """
    grant: TokenGrant = row.message
    quota = quota_id(grant.service_id, grant.organisation_id)
    stock = world.quota.stocks.get(quota)
    pending = stock.pending_by_id.get(grant.request_id) if stock else None
    if stock is None or pending is None or pending.holder != row.sender:
        world.counters['quota.grant.late'] += 1
        if stock is not None:
            _end_backoff(stock, row.sender, now)
            world.quota.stocks.schedule(stock, now)
        return
    stock.pending_by_id.pop(grant.request_id)
    stock.last_answer_at = now
    stock.bucket_by_holder[row.sender] = ReportedBucket(
        grant.level,
        grant.capacity,
        grant.rate,
        reported_at=now,
        backoff_until=0 if grant.capacity else now + _NO_RIGHTS_BACKOFF_SECONDS,
    )
    for right_id, known in grant.holder_by_right.items():
        update_known_holder(world, right_id, known)
    if grant.count and now < pending.expires_at:
        stock.batches.append(Batch(grant.count, pending.expires_at))
    world.quota.stocks.schedule(stock, now)


def _end_backoff(stock: Stock, holder: str, now: float) -> None:
    bucket = stock.bucket_by_holder.get(holder)
    if bucket is not None and bucket.backoff_until > now:
        bucket.backoff_until = now
        stock.last_answer_at = now


@system(Stage.CHARGING, RunCondition('quota.stocks'))
def serve_stocks(world: World, now: float) -> None:
    """Spend tokens on waiting calls and request more from the holders.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for stock in world.quota.stocks.pop_due(now):
        allowance = find_allowance(
            world,
            stock.service_id,
            stock.organisation_id,
        )
        expire_requests(stock, now)
        _serve_waiting(world, stock, now)
        _refuse_timed_out(world, stock, allowance, now)
        if allowance is None:
            continue
        drop_expired(stock, now)
        retry_at = request_tokens(world, stock, allowance, now)
        first_timeout = stock.waiting[0].until if stock.waiting else NEVER
        due = min(retry_at, first_timeout, next_request_timeout(stock))
        world.quota.stocks.schedule(stock, due)


def _serve_waiting(world: World, stock: Stock, now: float) -> None:
    while stock.waiting:
        call = _waiting_call(world, stock.waiting[0])
        if call is not None:
            if not take_token(stock, now):
                return
            world.calls.move(call, CallPhase.ROUTABLE)
            world.counters['quota.spent.waited'] += 1
        stock.waiting.popleft()
    stock.is_exhausted = False


def _refuse_timed_out(
    world: World,
    stock: Stock,
    allowance: Allowance | None,
    now: float,
) -> None:
    while stock.waiting:
        first = stock.waiting[0]
        if allowance is not None and first.until > now:
            return
        stock.waiting.popleft()
        call = _waiting_call(world, first)
        if call is not None:
            finish_call(world, call, _refusal(stock, allowance, now))


def _waiting_call(world: World, waiting: WaitingCall) -> Call | None:
    call = world.calls.get(waiting.call_id)
    if call is None or call.phase is not CallPhase.AWAITING_QUOTA:
        return None
    return call


def _refusal(
    stock: Stock,
    allowance: Allowance | None,
    now: float,
) -> Refusal:
    if allowance is None:
        return Refusal(
            ErrorKind.FORBIDDEN,
            'the allowance of the organisation was withdrawn',
        )
    if now - stock.last_answer_at > _REACHABLE_SECONDS:
        return Refusal(ErrorKind.QUOTA_UNAVAILABLE)
    retry_after = (len(stock.waiting) + 1) / allowance.rate
    return Refusal(ErrorKind.RATE_EXCEEDED, retry_after=retry_after)


def _find_stock(world: World, call: Call) -> Stock:
    quota = quota_id(call.service_id, call.organisation_id)
    stock = world.quota.stocks.get(quota)
    if stock is None:
        stock = Stock(quota, call.service_id, call.organisation_id)
        world.quota.stocks.insert(stock)
    return stock


def _update_demand(stock: Stock, now: float) -> None:
    elapsed = now - stock.demand_at
    decayed = stock.demand * math.exp(-elapsed / _DEMAND_WINDOW_SECONDS)
    stock.demand = decayed + 1 / _DEMAND_WINDOW_SECONDS
    stock.demand_at = now


def _waiting_limit(stock: Stock, allowance: Allowance) -> float:
    minted = allowance.rate * MAX_WAIT_SECONDS
    if stock.is_exhausted:
        return max(1, minted)
    return max(_MIN_WAITING_LIMIT, allowance.burst + minted)
