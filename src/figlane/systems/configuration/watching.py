"""Decides which nodes follow the store by themselves."""

from __future__ import annotations

from figlane.entities.kind_feed import KindFeedPhase
from figlane.entities.world import World
from figlane.systems.membership.rendezvous import (
    live_ids_by_domain,
    watcher_ids,
)

# Number of missed answers of peers after which a node asks the store by itself.
_MAX_MISSES = 2
# Number of failure domains from which on one watcher in each is enough.
_MIN_DOMAINS = 5


def is_in_charge(world: World, now: float) -> bool:
    """Check whether this node watches the store for its failure domain.

    The first of the domain's watchers does, and the others while it leaves
    their questions unanswered or does not reach the store; then it asks further
    nodes to watch too. In a fleet of few failure domains all watchers do: a
    connection without answers looks like a store without changes, so that the
    watchers of other domains have to pass changes on.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: whether it does.
    """
    if now < world.store_check.deputy_until or is_first_watcher(world):
        return True
    watchers = watcher_ids(world)
    if world.identity.node_id not in watchers:
        return False
    domains = {world.identity.failure_domain, *live_ids_by_domain(world)}
    return len(domains) < _MIN_DOMAINS


def is_first_watcher(world: World) -> bool:
    """Check whether this node is the first watcher that peers can reach.

    :param world: the tables.
    :return: True also for a standby of a first watcher that is silent.
    """
    watchers = watcher_ids(world)
    own_id = world.identity.node_id
    if own_id not in watchers:
        return False
    return watchers[0] in {own_id, world.configuration_exchange.silent_id}


def is_store_unreachable(world: World) -> bool:
    """Check whether the store has not answered this node's latest requests.

    :param world: the tables.
    :return: False also if this node has not asked.
    """
    is_failing = any(feed.failures for feed in world.kind_feeds)
    return is_failing or world.store_check.is_silent


def open_request_seconds(world: World, now: float) -> float:
    """Compute how long the oldest open request to the store has been open.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: seconds, 0 if no request is open.
    """
    return max(
        (
            round(now - feed.asked_at, 3)
            for phase in (KindFeedPhase.READING, KindFeedPhase.WATCHING)
            for feed in world.kind_feeds.in_phase(phase)
        ),
        default=0,
    )


def review_feeds(world: World, now: float) -> None:
    """Let this node start to follow the store at once if it has to.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for feed in world.kind_feeds.in_phase(KindFeedPhase.UNREAD):
        world.kind_feeds.schedule(feed, max(now, feed.first_at))


def lacks_answers(world: World) -> bool:
    """Check whether peers have left the latest questions unanswered.

    :param world: the tables.
    :return: True if changes that peers know may not reach this node.
    """
    return world.configuration_exchange.misses >= _MAX_MISSES


def follow_store(world: World, now: float) -> None:
    """Follow the store from now on, or from the end of the start-up.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for phase in (KindFeedPhase.UNREAD, KindFeedPhase.READ):
        for feed in world.kind_feeds.in_phase(phase):
            world.kind_feeds.schedule(
                feed, min(feed.due, max(now, feed.alone_at))
            )
