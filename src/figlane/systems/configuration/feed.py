"""Schedules this node's reads and watches of all objects in the store."""

from __future__ import annotations

from figlane.entities.feed import (
    FeedPhase,
    ObjectsListed,
    ObjectsWatched,
    PlatformFailed,
    ReadObjects,
    WatchObjects,
)
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.configuration.versions import (
    delete_unlisted_objects,
    get_feed,
)
from figlane.systems.membership.rendezvous import is_watcher
from figlane.systems.registry import inbox_handlers, routines
from figlane.systems.scheduling import bring_forward, jittered

FOLLOW_ROUTINE = 'follow-platform'

# Longest wait of one watch. An answered watch shows that the node is current
# as of the watch's start, so this bounds the node's staleness.
WATCH_TIMEOUT_SECONDS = 1.0
# Minimum time between the starts of two watches, which limits the request rate.
_MIN_WATCH_INTERVAL_SECONDS = 0.1
# Mean time between two reads of all objects, which repair what watches and
# pushes have missed.
READ_INTERVAL_SECONDS = 300.0
# Mean time between two checks whether this node has become a watcher.
_ROLE_CHECK_SECONDS = 2.0
# Retry delay of watchers, which are few and may retry often. For the many other
# nodes it doubles with each consecutive failure, up to the maximum.
_WATCHER_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 30.0
_MAX_DOUBLINGS = 6


@routines.register(FOLLOW_ROUTINE)
def follow_platform(world: World, now: float) -> float:
    """Start the next request to the platform's object store, one at a time.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: time of the next check; ``NEVER`` while a request is open.
    """
    feed = get_feed(world)
    if feed.phase is not FeedPhase.IDLE:
        return NEVER
    if now >= feed.next_read_at:
        feed.phase = FeedPhase.READING
        feed.requested_at = now
        world.outbox.append(ReadObjects())
        return NEVER
    if is_watcher(world):
        feed.phase = FeedPhase.WATCHING
        feed.requested_at = now
        world.outbox.append(WatchObjects(feed.revision, WATCH_TIMEOUT_SECONDS))
        return NEVER
    return min(feed.next_read_at, now + jittered(world, _ROLE_CHECK_SECONDS))


@inbox_handlers.register(ObjectsListed)
def handle_objects_listed(
    world: World,
    row: ObjectsListed,
    now: float,
) -> None:
    """Delete unlisted objects and schedule the next read.

    The listed objects have been delivered before this row.

    :param world: the tables.
    :param row: the listing with the names of all existing objects.
    :param now: the present time in seconds.
    """
    delete_unlisted_objects(world, row, now)
    feed = get_feed(world)
    feed.next_read_at = now + jittered(world, READ_INTERVAL_SECONDS)
    _record_answer(world, row.revision, now)


@inbox_handlers.register(ObjectsWatched)
def handle_objects_watched(
    world: World,
    row: ObjectsWatched,
    now: float,
) -> None:
    """Record that all changes up to a revision have been delivered.

    :param world: the tables.
    :param row: the revision.
    :param now: the present time in seconds.
    """
    _record_answer(world, row.revision, now)


def _record_answer(world: World, revision: int, now: float) -> None:
    feed = get_feed(world)
    feed.phase = FeedPhase.IDLE
    feed.failures = 0
    feed.revision = max(feed.revision, revision)
    feed.current_at = max(feed.current_at, feed.requested_at)
    due = max(now, feed.requested_at + _MIN_WATCH_INTERVAL_SECONDS)
    bring_forward(world, FOLLOW_ROUTINE, due)


@inbox_handlers.register(PlatformFailed)
def handle_platform_failed(
    world: World,
    row: PlatformFailed,
    now: float,
) -> None:
    """Schedule a retry, with exponential backoff if not a watcher.

    :param world: the tables.
    :param row: the failure.
    :param now: the present time in seconds.
    """
    world.counters['platform.failed'] += 1
    feed = get_feed(world)
    feed.phase = FeedPhase.IDLE
    feed.failures = min(feed.failures + 1, _MAX_DOUBLINGS)
    seconds = _WATCHER_RETRY_SECONDS
    if not is_watcher(world):
        seconds = min(seconds * 2**feed.failures, _MAX_RETRY_SECONDS)
    bring_forward(world, FOLLOW_ROUTINE, now + jittered(world, seconds))
