"""Schedules this node's reads and watches of each kind of object."""

from __future__ import annotations

from figlane.entities.inbox import ObjectChanged
from figlane.entities.kind_feed import (
    FollowKinds,
    KindFailed,
    KindFeed,
    KindFeedPhase,
    KindListed,
    KindWatched,
    ReadKind,
    WatchKind,
)
from figlane.entities.service import ConfigurationPhase
from figlane.entities.world import World
from figlane.registry import RunCondition
from figlane.systems.configuration import configuration_tables, object_appliers
from figlane.systems.registry import Stage, inbox_handlers, system
from figlane.systems.scheduling import jittered

# Longest wait of one watch. Peers push changes and compare versions each
# second, so a long watch delays nothing. It has to stay below 20 s, the
# shortest history that the store keeps.
WATCH_TIMEOUT_SECONDS = 15.0
# Initial and maximum delay of the exponential backoff after a failed request.
# They are short, so that within 2 s after the end of an outage all nodes have
# read the objects again.
_INITIAL_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 1.0
_MAX_DOUBLINGS = 2


@inbox_handlers.register(FollowKinds)
def handle_follow_kinds(world: World, row: FollowKinds, now: float) -> None:
    """Add a feed for each kind of object to follow.

    :param world: the tables.
    :param row: the kinds.
    :param now: the present time in seconds.
    """
    for kind in row.kinds:
        world.kind_feeds.insert(KindFeed(kind, row.pause, due=now))


@system(Stage.CONFIGURATION, RunCondition('kind_feeds'))
def follow_kinds(world: World, now: float) -> None:
    """Start the next read or watch for each kind that is due.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for feed in world.kind_feeds.pop_due(now):
        if feed.phase is KindFeedPhase.UNREAD:
            world.kind_feeds.move(feed, KindFeedPhase.READING)
            world.outbox.append(ReadKind(feed.id))
        elif feed.phase is KindFeedPhase.READ:
            world.kind_feeds.move(feed, KindFeedPhase.WATCHING)
            watch = WatchKind(feed.id, feed.revision, WATCH_TIMEOUT_SECONDS)
            world.outbox.append(watch)


@inbox_handlers.register(KindListed)
def handle_kind_listed(world: World, row: KindListed, now: float) -> None:
    """Delete the objects that a complete listing lacks; schedule a watch.

    :param world: the tables.
    :param row: the listing with the names of all objects of the kind.
    :param now: the present time in seconds.
    """
    for name, version in _known_versions(world, row.kind):
        if name not in row.names and version < row.version:
            deletion = ObjectChanged(row.kind, name, row.version, None)
            object_appliers.find(row.kind)(world, deletion)
    _record_answer(world, row.kind, row.revision, now)


@inbox_handlers.register(KindWatched)
def handle_kind_watched(world: World, row: KindWatched, now: float) -> None:
    """Record that all changes up to a revision have been delivered.

    :param world: the tables.
    :param row: the revision.
    :param now: the present time in seconds.
    """
    _record_answer(world, row.kind, row.revision, now)


@inbox_handlers.register(KindFailed)
def handle_kind_failed(world: World, row: KindFailed, now: float) -> None:
    """Schedule a retry; after a lost history, first a read at once.

    :param world: the tables.
    :param row: the failure.
    :param now: the present time in seconds.
    """
    feed = world.kind_feeds.get(row.kind)
    if feed is None:
        return
    world.counters['platform.failed'] += 1
    was_reading = feed.phase is KindFeedPhase.READING
    needs_read = was_reading or row.is_history_lost
    feed.failures += 1
    delay = _INITIAL_RETRY_SECONDS * 2 ** min(feed.failures - 1, _MAX_DOUBLINGS)
    if row.is_history_lost and feed.failures == 1:
        delay = 0
    phase = KindFeedPhase.UNREAD if needs_read else KindFeedPhase.READ
    world.kind_feeds.move(feed, phase)
    pause = jittered(world, min(delay, _MAX_RETRY_SECONDS))
    world.kind_feeds.schedule(feed, now + pause)


def _record_answer(world: World, kind: str, revision: int, now: float) -> None:
    feed = world.kind_feeds.get(kind)
    if feed is None:
        return
    feed.failures = 0
    feed.answered_at = now
    feed.revision = max(feed.revision, revision)
    world.kind_feeds.move(feed, KindFeedPhase.READ)
    world.kind_feeds.schedule(feed, now + feed.pause)


def _known_versions(world: World, kind: str) -> list[tuple[str, int]]:
    if kind == 'member':
        return [(member.id, member.version) for member in world.members]
    table = configuration_tables(world).get(kind)
    if table is None:
        return []
    return [
        (row.id, row.version)
        for row in table
        if row.phase is ConfigurationPhase.IN_FORCE
    ]
