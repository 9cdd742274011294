"""Schedules this node's reads and watches of each kind of object.

Watchers in each failure domain watch the store, and a standby while the first
is silent; they tell other nodes of changes, and all nodes compare versions
each second. A node reads and watches by itself while peers do not answer, and
at its start if none of them has sent it the objects.
"""

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
from figlane.entities.member import CONTACT_KIND, ContactPhase
from figlane.entities.outbox import LogDecision
from figlane.entities.service import ConfigurationPhase
from figlane.entities.world import World
from figlane.registry import RunCondition
from figlane.systems.configuration.versions import (
    configuration_tables,
    get_feed,
    object_appliers,
)
from figlane.systems.configuration.watching import is_in_charge, lacks_answers
from figlane.systems.membership.readiness import has_member_list
from figlane.systems.registry import (
    Stage,
    inbox_handlers,
    list_handlers,
    system,
)
from figlane.systems.scheduling import jittered

# Longest wait of one watch; the platform allows 30 s. Peers push changes and
# compare versions each second, so a long watch delays nothing.
WATCH_TIMEOUT_SECONDS = 28.0
# Age above which a revision may no longer be in the history, so that a complete
# read takes the place of a watch.
_MAX_REVISION_AGE_SECONDS = 17.0
# Mean time between two checks whether this node has become a watcher.
_ROLE_CHECK_SECONDS = 1.0
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
    first_at = now + row.delay
    for kind in row.kinds:
        alone_at = first_at + row.patience
        world.kind_feeds.insert(
            KindFeed(kind, row.pause, first_at, alone_at, due=first_at)
        )


@system(Stage.CONFIGURATION, RunCondition('kind_feeds'))
def follow_kinds(world: World, now: float) -> None:
    """Start the next read or watch for each kind that is due.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for feed in world.kind_feeds.pop_due(now):
        if not _follows(world, feed, now):
            feed.is_followed = False
            check_at = now + jittered(world, _ROLE_CHECK_SECONDS)
            if now < feed.alone_at:
                check_at = min(check_at, feed.alone_at)
            world.kind_feeds.schedule(feed, check_at)
            continue
        _start_request(world, feed, now)


def _start_request(world: World, feed: KindFeed, now: float) -> None:
    if not feed.is_followed:
        feed.is_followed = True
        _log_following(world, feed, now)
    feed.asked_at = now
    is_old = now - feed.answered_at > _MAX_REVISION_AGE_SECONDS
    if feed.phase is KindFeedPhase.UNREAD or is_old:
        world.kind_feeds.move(feed, KindFeedPhase.READING)
        world.outbox.append(ReadKind(feed.id))
    elif feed.phase is KindFeedPhase.READ:
        world.kind_feeds.move(feed, KindFeedPhase.WATCHING)
        watch = WatchKind(feed.id, feed.revision, WATCH_TIMEOUT_SECONDS)
        world.outbox.append(watch)


def _log_following(world: World, feed: KindFeed, now: float) -> None:
    exchange = world.configuration_exchange
    inputs = {
        'kind': feed.id,
        'is_in_charge': is_in_charge(world, now),
        'silent_watcher': exchange.silent_id,
        'unanswered': exchange.misses,
        'configuration': world.ingress.version,
    }
    world.outbox.append(LogDecision('store_followed', inputs))


def _follows(world: World, feed: KindFeed, now: float) -> bool:
    # The objects of all kinds come from peers together with a configuration.
    if now < feed.alone_at:
        return has_member_list(world) and is_in_charge(world, now)
    is_missing = not world.ingress.version
    return is_missing or is_in_charge(world, now) or lacks_answers(world)


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
            object_appliers.find(row.kind)(world, deletion, now)
    if row.kind in list_handlers.by_key:
        list_handlers.find(row.kind)(world, answered=True, now=now)
    if row.kind in configuration_tables(world):
        # An unlisted object that a peer still has was deleted while this node
        # did not run.
        store_feed = get_feed(world)
        store_feed.listed_revision = max(
            store_feed.listed_revision, row.version
        )
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
    world.counters['platform.failed'] += 1
    if row.kind in list_handlers.by_key:
        list_handlers.find(row.kind)(world, answered=False, now=now)
    feed = world.kind_feeds.get(row.kind)
    if feed is None:
        return
    was_reading = feed.phase is KindFeedPhase.READING
    needs_read = was_reading or row.is_history_lost
    feed.failures += 1
    world.outbox.append(
        LogDecision(
            'store_request_failed',
            {
                'kind': row.kind,
                'phase': feed.phase.value,
                'reason': row.reason,
                'seconds': round(now - feed.asked_at, 3),
                'failures': feed.failures,
                'revision': feed.revision,
            },
        )
    )
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
    if kind == CONTACT_KIND:
        return [
            (contact.id, contact.version)
            for contact in world.contacts.in_phase(ContactPhase.TAKEN)
        ]
    table = configuration_tables(world).get(kind)
    if table is None:
        return []
    return [
        (row.id, row.version)
        for row in table
        if row.phase is ConfigurationPhase.IN_FORCE
    ]
