"""Finds out that the store does not answer although no request has failed.

A watch that will never be answered looks like one without changes. Each first
watcher therefore makes a cheap request now and then. If it has no answer, the
open watches are given up, and further nodes of the failure domain are asked to
follow the store.
"""

from __future__ import annotations

from figlane.entities.configuration_messages import StoreSilence
from figlane.entities.inbox import PeerMessage
from figlane.entities.kind_feed import (
    CheckStore,
    KindFeedPhase,
    StoreChecked,
)
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World
from figlane.systems.configuration.watching import (
    follow_store,
    is_first_watcher,
    open_request_seconds,
)
from figlane.systems.links.messages import send_message
from figlane.systems.membership.rendezvous import deputy_ids
from figlane.systems.registry import inbox_handlers, peer_handlers, routines
from figlane.systems.scheduling import bring_forward

ROUTINE = 'check-store'

# Time without an answer of the store after which it is checked. Together with
# the time-out it bounds how long a silence stays unnoticed.
_INTERVAL_SECONDS = 1.0
# The store answers within 0.3 s when it is slowest.
_TIMEOUT_SECONDS = 0.5
# Time for which a node follows the store after each request to do so. Such
# requests are repeated with each check without an answer.
_DEPUTY_SECONDS = 3.0
# Age above which a deputy replaces an open request by a new one.
_MAX_REQUEST_AGE_SECONDS = 2.0


@routines.register(ROUTINE)
def check_store(world: World, now: float) -> float:
    """Check the store if this node relies on an open watch.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: time of the next check, in seconds.
    """
    check = world.store_check
    if not is_first_watcher(world):
        _resume_feeds(world, now)
        return now + _INTERVAL_SECONDS
    if not check.is_silent:
        if not world.kind_feeds.count(KindFeedPhase.WATCHING):
            return now + _INTERVAL_SECONDS
        due = _last_answer(world) + _INTERVAL_SECONDS
        if now < due:
            return due
    check.asked_at = now
    world.outbox.append(CheckStore(now, _TIMEOUT_SECONDS))
    return now + _INTERVAL_SECONDS


def _last_answer(world: World) -> float:
    answers = [feed.answered_at for feed in world.kind_feeds]
    return max(world.store_check.answered_at, *answers)


@inbox_handlers.register(StoreChecked)
def handle_store_checked(world: World, row: StoreChecked, now: float) -> None:
    """Give up open watches, or resume after the store has answered again.

    :param world: the tables.
    :param row: the result of the check.
    :param now: the present time in seconds.
    """
    check = world.store_check
    if row.is_answered:
        check.answered_at = max(check.answered_at, row.asked_at)
        _resume_feeds(world, now)
        return
    if row.asked_at < check.asked_at:
        return
    if not check.is_silent:
        _report_silence(world, now)
    check.is_silent = True
    for feed in world.kind_feeds.in_phase(KindFeedPhase.WATCHING):
        world.kind_feeds.move(feed, KindFeedPhase.UNREAD)
    for node_id in deputy_ids(world):
        if node_id != world.identity.node_id:
            send_message(world, node_id, StoreSilence())
    bring_forward(world, ROUTINE, max(now, row.asked_at + _TIMEOUT_SECONDS))


def _report_silence(world: World, now: float) -> None:
    world.counters['platform.silent'] += 1
    seconds = open_request_seconds(world, now)
    inputs = {'open_seconds': seconds, 'configuration': world.ingress.version}
    world.outbox.append(LogDecision('store_silent', inputs))


def _resume_feeds(world: World, now: float) -> None:
    if not world.store_check.is_silent:
        return
    world.store_check.is_silent = False
    for feed in world.kind_feeds.in_phase(KindFeedPhase.UNREAD):
        world.kind_feeds.schedule(feed, now)


@peer_handlers.register(StoreSilence)
def handle_store_silence(world: World, row: PeerMessage, now: float) -> None:
    """Follow the store in place of a watcher that gets no answers from it.

    :param world: the tables.
    :param row: the watcher's request.
    :param now: the present time in seconds.
    """
    world.store_check.deputy_until = now + _DEPUTY_SECONDS
    for feed in world.kind_feeds.in_phase(KindFeedPhase.WATCHING):
        if now - feed.asked_at > _MAX_REQUEST_AGE_SECONDS:
            world.kind_feeds.move(feed, KindFeedPhase.UNREAD)
            world.kind_feeds.schedule(feed, now)
    follow_store(world, now)
