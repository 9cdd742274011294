"""Charges calls of an entry node to buckets that other members own.

The callers of an organisation may be spread over all nodes, each of which then
sees few of its calls, or move between nodes. One member, the owner, therefore
keeps the organisation's only bucket, and each entry node asks it to charge the
calls that arrive. Calls that arrive while an answer is awaited share the next
request, so that a node sends at most one request per organisation and round
trip, and the cost of a node does not depend on the size of the fleet.

If the owner does not answer, its successor on the ring is asked, which lets
through only a part of the rate until the owner is known to be dead.
"""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.charge import ChargeQueue, OpenCharge
from figlane.entities.inbox import PeerMessage
from figlane.entities.link import PeerSendFailed
from figlane.entities.member import MemberPhase
from figlane.entities.quota_messages import ChargeReply, ChargeRequest
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.calls.lifecycle import finish_call
from figlane.systems.links.messages import send_message
from figlane.systems.membership.readiness import has_member_list
from figlane.systems.quotas.buckets import sustained_allowance
from figlane.systems.quotas.ring import owner_of, ring_members
from figlane.systems.registry import (
    Stage,
    peer_handlers,
    rate_policies,
    send_failure_handlers,
    system,
)

OWNER_POLICY = 'owner'
# Time without an answer after which the successor of an owner is asked.
REPLY_TIMEOUT_SECONDS = 0.15
# Time for which an owner that did not answer is passed over.
_SILENT_SECONDS = 1.0
# Longest time that a call waits for its charge: two members may be silent.
_MAX_WAIT_SECONDS = 0.5
# Number of answers in a row that name another owner before the member that is
# asked next has to decide, owner or not.
_MAX_REDIRECTS = 3
# Upper bound of the random delay that spreads the retries of refused callers.
_MAX_JITTER_SECONDS = 1.0


@rate_policies.register(OWNER_POLICY)
def charge_by_owner(
    world: World,
    call: Call,
    now: float,
) -> Refusal | CallPhase:
    """Queue a call until the owner of its organisation's bucket has answered.

    :param world: the tables.
    :param call: a root call of an organisation.
    :param now: the present time in seconds.
    :return: the call's next phase, or the refusal.
    """
    organisation = world.organisations.get(call.organisation_id)
    if organisation is None or organisation.allowance is None:
        return CallPhase.ROUTABLE
    if not has_member_list(world):
        return Refusal(
            ErrorKind.QUOTA_UNAVAILABLE,
            'no other member has been found yet',
        )
    queue = world.quota.charge_queues.get(organisation.id)
    if queue is None:
        queue = ChargeQueue(organisation.id)
        world.quota.charge_queues.insert(queue)
    queue.waiting.append(call.id)
    if queue.request is None:
        world.quota.charge_queues.schedule(queue, now)
    return CallPhase.AWAITING_QUOTA


@system(Stage.CHARGING, RunCondition('quota.charge_queues'))
def serve_charge_queues(world: World, now: float) -> None:
    """Request charges for waiting calls, and pass over silent owners.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for queue in world.quota.charge_queues.pop_due(now):
        request = queue.request
        if request is not None:
            _pass_over(world, queue, request, now)
        _refuse_expired(world, queue, now)
        _send_request(world, queue, now)


@peer_handlers.register(ChargeReply)
def handle_charge_reply(world: World, row: PeerMessage, now: float) -> None:
    """Let the charged calls go on and refuse the others of the request.

    An answer that is older than ``REPLY_TIMEOUT_SECONDS``, as after a pause of
    this process, grants nothing: its tokens belong to an earlier window.

    :param world: the tables.
    :param row: the answer.
    :param now: the present time in seconds.
    """
    reply: ChargeReply = row.message
    queue = world.quota.charge_queues.get(reply.organisation_id)
    request = None if queue is None else queue.request
    if queue is None or request is None:
        world.counters['quota.reply.late'] += 1
        return
    is_match = (request.request_id, request.node_id) == (
        reply.request_id,
        row.sender,
    )
    if not is_match or now >= request.sent_at + REPLY_TIMEOUT_SECONDS:
        world.counters['quota.reply.late'] += 1
        return
    queue.request = None
    if reply.owner_id:
        queue.waiting.extendleft(reversed(request.call_ids))
        queue.redirected_to = reply.owner_id
        queue.redirects += 1
    else:
        queue.redirected_to = ''
        queue.redirects = 0
        _decide(world, queue, request, reply)
    world.quota.charge_queues.schedule(queue, now)


@send_failure_handlers.register(ChargeRequest)
def handle_request_not_sent(
    world: World, row: PeerSendFailed, now: float
) -> None:
    """Ask the next member if a request never left this node.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    message: ChargeRequest = row.message
    queue = world.quota.charge_queues.get(message.organisation_id)
    request = None if queue is None else queue.request
    if queue is None or request is None:
        return
    if request.request_id == message.request_id:
        _pass_over(world, queue, request, now)
        world.quota.charge_queues.schedule(queue, now)


def _pass_over(
    world: World, queue: ChargeQueue, request: OpenCharge, now: float
) -> None:
    world.counters['quota.owner.silent'] += 1
    silent_until = world.quota.silent_until_by_node
    silent_until[request.node_id] = now + _SILENT_SECONDS
    queue.request = None
    queue.redirected_to = ''
    queue.redirects = 0
    queue.waiting.extendleft(reversed(request.call_ids))


def _refuse_expired(world: World, queue: ChargeQueue, now: float) -> None:
    while queue.waiting:
        call = _waiting_call(world, queue.waiting[0])
        if call and now < call.arrived_at + _MAX_WAIT_SECONDS:
            return
        queue.waiting.popleft()
        if call:
            refusal = Refusal(
                ErrorKind.QUOTA_UNAVAILABLE,
                'the owner of the bucket and its successors did not answer',
                retry_after=_jitter(world, _SILENT_SECONDS),
            )
            finish_call(world, call, refusal)


def _send_request(world: World, queue: ChargeQueue, now: float) -> None:
    if not queue.waiting:
        queue.redirects = 0
        return
    target, is_fallback = _choose_member(world, queue, now)
    world.quota.last_charge_id += 1
    request = OpenCharge(
        world.quota.last_charge_id, target, now, list(queue.waiting)
    )
    queue.waiting.clear()
    queue.request = request
    message = ChargeRequest(
        request.request_id, queue.id, len(request.call_ids), is_fallback
    )
    send_message(world, target, message)
    world.quota.charge_queues.schedule(queue, now + REPLY_TIMEOUT_SECONDS)


def _choose_member(
    world: World, queue: ChargeQueue, now: float
) -> tuple[str, bool]:
    # Nodes that have not heard of the same members may name each other.
    is_fallback = queue.redirects >= _MAX_REDIRECTS
    if queue.redirected_to in world.members:
        return queue.redirected_to, is_fallback
    owner_id = owner_of(world, queue.id)
    for member in ring_members(world, queue.id):
        is_silent = now < world.quota.silent_until_by_node.get(
            member.id, -NEVER
        )
        if member.phase is MemberPhase.ALIVE and not is_silent:
            return member.id, is_fallback or member.id != owner_id
    return world.identity.node_id, True


def _decide(
    world: World, queue: ChargeQueue, request: OpenCharge, reply: ChargeReply
) -> None:
    granted = reply.granted
    for call_id in request.call_ids:
        call = _waiting_call(world, call_id)
        if call is None:
            continue
        if granted > 0:
            granted -= 1
            world.calls.move(call, CallPhase.ROUTABLE)
            continue
        world.counters['quota.refused'] += 1
        finish_call(world, call, _refusal(world, queue, request, reply))


def _refusal(
    world: World, queue: ChargeQueue, request: OpenCharge, reply: ChargeReply
) -> Refusal:
    organisation = world.organisations.get(queue.id)
    allowance = None if organisation is None else organisation.allowance
    if allowance is None:
        return Refusal(
            ErrorKind.FORBIDDEN,
            'the allowance of the organisation was withdrawn',
        )
    # The jitter spreads the retries of callers that are refused together over
    # the time in which one burst refills.
    limit = sustained_allowance(world.quota_bounds, allowance)
    spread = min(_MAX_JITTER_SECONDS, limit.burst / limit.rate)
    return Refusal(
        ErrorKind.RATE_EXCEEDED,
        f'{request.node_id} charged {reply.granted} of '
        f'{len(request.call_ids)} calls at {allowance.rate:g} per second',
        retry_after=reply.available_in + _jitter(world, spread),
    )


def _jitter(world: World, seconds: float) -> float:
    return seconds * world.random.random()


def _waiting_call(world: World, call_id: str) -> Call | None:
    call = world.calls.get(call_id)
    if call is None or call.phase is not CallPhase.AWAITING_QUOTA:
        return None
    return call
