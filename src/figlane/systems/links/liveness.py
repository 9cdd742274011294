"""Detects dead links by pings and closes idle ones."""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.inbox import PeerMessage
from figlane.entities.link import (
    CloseConnection,
    Link,
    LinkPhase,
    ReplaceConnection,
)
from figlane.entities.link_messages import Ping, Pong
from figlane.entities.outbox import LogDecision
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.registry import RunCondition
from figlane.systems.admission.ledger import ledger_epoch
from figlane.systems.calls.queries import give_up_attempt, query_attempt
from figlane.systems.links.handshake import complete_handshakes, send_ping
from figlane.systems.links.messages import send_message
from figlane.systems.links.rows import get_link, message_delay
from figlane.systems.registry import Stage, peer_handlers, system

# Time between two pings on a link with open calls.
PING_INTERVAL_SECONDS = 0.3
# Time without a pong after which a connection is replaced. It doubles with
# each consecutive replacement, up to the factor below.
PONG_TIMEOUT_SECONDS = 0.9
_MAX_TIMEOUT_FACTOR = 8
# Interval at which the status of an open call is queried.
QUERY_INTERVAL_SECONDS = 2.0
# Time without a pong after which a call is abandoned: an idempotent one is
# retried on another node, any other one ends with an unknown outcome.
IDEMPOTENT_CALL_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 10.0
# Time without messages after which a connection is closed.
IDLE_TIMEOUT_SECONDS = 10.0
# Time without a check of a link after which this node's process counts as
# having been paused, so that missing pongs are no evidence of a dead link.
_MAX_CHECK_DELAY_SECONDS = 1.0


def monitor_call_link(world: World, call: Call, now: float) -> None:
    """Monitor the link to the node that an attempt is sent to.

    :param world: the tables.
    :param call: a call whose attempt is about to be sent.
    :param now: the present time in seconds.
    """
    call.last_sent_at = now
    if call.node_id == world.identity.node_id:
        call.node_epoch = ledger_epoch(world)
        return
    link = get_link(world, call.node_id)
    call.node_epoch = link.epoch
    if not link.open_call_ids:
        link.checked_at = now
    link.open_call_ids.add(call.id)
    if link.due > now + PING_INTERVAL_SECONDS:
        world.links.schedule(link, now + PING_INTERVAL_SECONDS)


@system(
    Stage.LINKS, RunCondition('links', LinkPhase.OPENING), RunCondition('links')
)
def check_links(world: World, now: float) -> None:
    """Check each link that is due: ping it, replace or close its connection.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for opening in world.links.in_phase(LinkPhase.OPENING):
        world.links.move(opening, LinkPhase.OPEN)
        if opening.due == NEVER:
            world.links.schedule(opening, now + IDLE_TIMEOUT_SECONDS)
    for link in world.links.pop_due(now):
        calls = _open_calls(world, link)
        if calls:
            _check_liveness(world, link, calls, now)
        else:
            _check_idle(world, link, now)


def _open_calls(world: World, link: Link) -> list[Call]:
    rows = [world.calls.get(call_id) for call_id in link.open_call_ids]
    calls = [
        call
        for call in rows
        if call is not None
        and call.phase is CallPhase.SENT
        and call.node_id == link.id
    ]
    link.open_call_ids = {call.id for call in calls}
    return sorted(calls, key=lambda call: call.id)


def _check_idle(world: World, link: Link, now: float) -> None:
    link.unanswered_since = 0
    link.silent_since = 0
    if link.is_used:
        link.is_used = False
        world.links.schedule(link, now + IDLE_TIMEOUT_SECONDS)
        return
    link.epoch = 0
    world.links.move(link, LinkPhase.CLOSED)
    world.outbox.append(CloseConnection(link.id))


def _check_liveness(
    world: World, link: Link, calls: list[Call], now: float
) -> None:
    _restart_timeouts_after_pause(link, now)
    _replace_if_silent(world, link, now)
    for call in calls:
        if _is_timed_out(link, call, now):
            give_up_attempt(world, call, 'the node has gone silent', now)
        elif now - max(call.last_sent_at, 0) >= QUERY_INTERVAL_SECONDS or (
            link.replaced_at > call.last_sent_at
        ):
            query_attempt(world, call, now)
    _ping(world, link, now)
    world.links.schedule(link, now + PING_INTERVAL_SECONDS)


def _restart_timeouts_after_pause(link: Link, now: float) -> None:
    paused = now - link.checked_at > _MAX_CHECK_DELAY_SECONDS
    link.checked_at = now
    if paused and link.silent_since:
        link.unanswered_since = now
        link.silent_since = now


def _replace_if_silent(world: World, link: Link, now: float) -> None:
    factor = min(2**link.replacements, _MAX_TIMEOUT_FACTOR)
    if not link.unanswered_since:
        return
    if now - link.unanswered_since < PONG_TIMEOUT_SECONDS * factor:
        return
    world.counters['link.replaced'] += 1
    link.unanswered_since = 0
    link.replaced_at = now
    link.replacements += 1
    world.outbox.append(
        LogDecision(
            'link_silent',
            {
                'member': link.id,
                'silent_seconds': now - (link.silent_since or now),
                'open_calls': len(link.open_call_ids),
                'replacements': link.replacements,
            },
        ),
    )
    world.links.move(link, LinkPhase.SILENT)
    world.outbox.append(ReplaceConnection(link.id))


def _is_timed_out(link: Link, call: Call, now: float) -> bool:
    if not link.silent_since:
        return False
    idempotent = call.route is not None and call.route.idempotent
    timeout = (
        IDEMPOTENT_CALL_TIMEOUT_SECONDS if idempotent else CALL_TIMEOUT_SECONDS
    )
    return now - link.silent_since >= timeout


def _ping(world: World, link: Link, now: float) -> None:
    link.pinged_at = now
    link.unanswered_since = link.unanswered_since or now
    link.silent_since = link.silent_since or now
    send_ping(world, link, now)


@peer_handlers.register(Ping)
def handle_ping(world: World, row: PeerMessage, now: float) -> None:
    """Answer a ping; if the sender gets no pongs, over a new connection.

    :param world: the tables.
    :param row: the ping.
    :param now: the present time in seconds.
    """
    ping: Ping = row.message
    link = get_link(world, row.sender)
    link.address = ping.reply_address
    message_delay(link, ping.sent_at, ping.epoch, now)
    _learn_epoch(world, link, ping.epoch, now)
    if ping.hears_nothing and now - link.replaced_at >= PONG_TIMEOUT_SECONDS:
        link.replaced_at = now
        world.counters['link.replaced'] += 1
        world.outbox.append(ReplaceConnection(link.id))
    send_message(
        world, row.sender, Pong(ping.sent_at, now, ledger_epoch(world))
    )


@peer_handlers.register(Pong)
def handle_pong(world: World, row: PeerMessage, now: float) -> None:
    """Record that the link works in both directions.

    :param world: the tables.
    :param row: the pong.
    :param now: the present time in seconds.
    """
    pong: Pong = row.message
    link = get_link(world, row.sender)
    message_delay(link, pong.sent_at, pong.epoch, now)
    is_latest = pong.ping_sent_at >= link.pinged_at
    link.unanswered_since = 0 if is_latest else link.pinged_at
    link.silent_since = 0 if is_latest else link.pinged_at
    link.replacements = 0
    if link.phase is LinkPhase.SILENT:
        world.links.move(link, LinkPhase.OPEN)
    _learn_epoch(world, link, pong.epoch, now)


def _learn_epoch(world: World, link: Link, epoch: int, now: float) -> None:
    if link.epoch == epoch:
        return
    link.epoch = epoch
    for call in _open_calls(world, link):
        if call.node_epoch not in {0, epoch}:
            give_up_attempt(world, call, 'the node has been restarted', now)
    complete_handshakes(world, link)
