"""Selects an exit node for each attempt and sends the request."""

from __future__ import annotations

import math
from random import Random

from figlane.entities.call import Call, CallPhase
from figlane.entities.link import LinkPhase, PeerSendFailed
from figlane.entities.member import Member
from figlane.entities.messages import CallRequest
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.ledger import ledger_epoch
from figlane.systems.calls.keys import ranked_nodes
from figlane.systems.calls.lifecycle import finish_call
from figlane.systems.calls.retries import allot_retries, credit_retry_budget
from figlane.systems.calls.stopping import stop_refusal
from figlane.systems.calls.time_limits import answer_seconds, time_limit
from figlane.systems.links.handshake import needs_handshake, start_handshake
from figlane.systems.links.liveness import monitor_call_link
from figlane.systems.links.messages import send_message
from figlane.systems.membership.index import serving_members
from figlane.systems.registry import Stage, routing_policies, system

_MS_PER_SECOND = 1000
# Bounds of the back-off before a call is sent again to nodes that refused it.
_MIN_BACKOFF_SECONDS = 0.05
# Time constant of the exponential decay of a refusal hint.
_HINT_DECAY_SECONDS = 2.0
# From this refusal probability on, members of the own failure domain are no
# longer preferred to those of other domains.
_MAX_LOCAL_REFUSAL_PROBABILITY = 0.1
# Cost of a refusal that is certain, in units of a member's concurrency limit.
_REFUSAL_COST = 2.0
_MAX_REFUSAL_PROBABILITY = 0.95
_MAX_BACKOFF_SECONDS = 1.0


@system(Stage.ROUTING, RunCondition('calls', CallPhase.ROUTABLE))
def route_calls(world: World, now: float) -> None:
    """Send an attempt of each routable call, or let the call wait or finish.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for call in world.calls.in_phase(CallPhase.ROUTABLE):
        refusal = stop_refusal(world, call, now)
        if refusal is None:
            _route_call(world, call, now)
        else:
            finish_call(world, call, refusal)


def _route_call(world: World, call: Call, now: float) -> None:
    member = _choose_member(world, call, now)
    if member is None:
        _wait_or_finish(world, call, now)
    elif needs_handshake(world, member.id):
        start_handshake(world, call, member.id, now)
    else:
        _send_attempt(world, call, member, now)


def _choose_member(world: World, call: Call, now: float) -> Member | None:
    if call.is_in_handshake:
        call.is_in_handshake = False
        handshake_member = world.members.get(call.node_id)
        if handshake_member in candidates(world, call):
            return handshake_member
    choose = routing_policies.find(world.policies.routing)
    return choose(world, call, now)


def _wait_or_finish(world: World, call: Call, now: float) -> None:
    refusal = call.last_refusal
    if refusal is None:
        refusal = Refusal(ErrorKind.NO_BACKEND_SERVER, call.service_id)
    delay = _backoff(world, call)
    if not call.tried_node_ids or now + delay >= call.deadline:
        finish_call(world, call, refusal)
        return
    call.tried_node_ids.clear()
    call.backoffs += 1
    world.counters['call.backed-off'] += 1
    world.calls.schedule(call, now + delay)
    world.calls.move(call, CallPhase.WAITING)


def _backoff(world: World, call: Call) -> float:
    ceiling = min(_MAX_BACKOFF_SECONDS, _MIN_BACKOFF_SECONDS * 2**call.backoffs)
    return ceiling * (1 + world.random.random()) / 2


def _send_attempt(
    world: World,
    call: Call,
    member: Member,
    now: float,
) -> None:
    if not call.attempt:
        credit_retry_budget(world, call)
    call.attempt += 1
    call.node_id = member.id
    call.tried_node_ids.add(member.id)
    member.outstanding += 1
    world.calls.move(call, CallPhase.SENT)
    monitor_call_link(world, call, now)
    message = _request_message(world, call, now)
    if not send_message(world, member.id, message, call.request.body):
        world.inbox.append(PeerSendFailed(member.id, message))


def _request_message(world: World, call: Call, now: float) -> CallRequest:
    return CallRequest(
        call_id=call.id,
        attempt=call.attempt,
        service_id=call.service_id,
        organisation_id=call.organisation_id,
        importance=call.importance,
        idempotent=call.route is not None and call.route.idempotent,
        depth=call.depth,
        budget_ms=(time_limit(world, call) - now) * _MS_PER_SECOND,
        retries_left=allot_retries(world, call),
        method=call.request.method,
        target=call.request.target,
        headers=call.request.headers,
        trace_parent=call.trace_parent,
        idempotency_key=call.ledger_key,
        sent_at=now,
        epoch=call.node_epoch,
        sender_epoch=ledger_epoch(world),
        reply_address=world.identity.peer_address,
        answer_ms=answer_seconds(world, call) * _MS_PER_SECOND,
    )


def candidates(world: World, call: Call) -> list[Member]:
    """List the members that an attempt of a call may be sent to.

    The list may be the cached member index: do not modify it.

    :param world: the tables.
    :param call: the call; members that it was already sent to are left out.
    :return: the members, without those of a failure domain that is taken out;
        members with a silent link only if there are no others.
    """
    members = _open_members(world, call)
    silent_ids = world.links.ids_in_phase(LinkPhase.SILENT)
    if not silent_ids:
        return members
    responsive = [member for member in members if member.id not in silent_ids]
    return responsive or members


def _open_members(world: World, call: Call) -> list[Member]:
    if call.ledger_key:
        home_nodes = ranked_nodes(world, call.service_id, call.ledger_key)[:1]
        return [
            home for home in home_nodes if home.id not in call.tried_node_ids
        ]
    members = serving_members(world, call.service_id)
    tried_ids = call.tried_node_ids
    if not tried_ids:
        return members
    return [member for member in members if member.id not in tried_ids]


@routing_policies.register('random')
def choose_random(world: World, call: Call, now: float) -> Member | None:
    """Choose a candidate uniformly at random: the baseline for comparison.

    :param world: the tables.
    :param call: the call.
    :param now: the present time in seconds.
    :return: a member, or None if there is no candidate.
    """
    members = candidates(world, call)
    return world.random.choice(members) if members else None


@routing_policies.register('two-choices')
def choose_of_two(world: World, call: Call, now: float) -> Member | None:
    """Choose the cheaper of two random candidates (power of two choices).

    Both are drawn from the members of the own failure domain that have free
    capacity and refuse few calls, or from all candidates if there are none.

    :param world: the tables.
    :param call: the call.
    :param now: the present time in seconds.
    :return: a member, or None if there is no candidate.
    """
    members = candidates(world, call)
    if not members:
        return None
    own_domain = world.identity.failure_domain
    local_members = [
        member
        for member in members
        if member.failure_domain == own_domain
        and _has_free_capacity(member)
        and refusal_probability(member, now) < _MAX_LOCAL_REFUSAL_PROBABILITY
    ]
    pool = local_members or members
    first, second = _draw_two(world.random, pool)
    return second if _cost(second, now) < _cost(first, now) else first


def _draw_two(random: Random, pool: list[Member]) -> tuple[Member, Member]:
    # A pool of one member yields that member twice.
    count = len(pool)
    first = int(random.random() * count)
    step = 1 + int(random.random() * (count - 1)) if count > 1 else 0
    return pool[first], pool[(first + step) % count]


def refusal_probability(member: Member, now: float) -> float:
    """Estimate the probability that a member's backend server refuses a call.

    The estimate decays with the age of the last hint, so that a member that
    gets no calls is eventually probed again.

    :param member: the member.
    :param now: the present time in seconds.
    :return: the probability, from 0 to 1.
    """
    if not member.refused_part:
        return 0
    age = now - member.load_reported_at
    return member.refused_part * math.exp(-age / _HINT_DECAY_SECONDS)


def _cost(member: Member, now: float) -> float:
    # A refused call is sent again, which costs about the same once more; hence
    # the division by the probability that the member serves the call.
    success_probability = 1 - min(
        refusal_probability(member, now), _MAX_REFUSAL_PROBABILITY
    )
    return (
        _relative_load(member) + _REFUSAL_COST * (1 - success_probability)
    ) / success_probability


def _has_free_capacity(member: Member) -> bool:
    return not member.limit or member.outstanding < member.limit * member.weight


def _relative_load(member: Member) -> float:
    if not member.limit:
        return member.outstanding
    return (member.outstanding + 1) / (member.limit * member.weight)
