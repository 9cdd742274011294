"""Puts new versions of configuration objects into force."""

from __future__ import annotations

from collections.abc import Callable

from figlane.entities.feed import FEED_ID, Feed, ObjectsListed
from figlane.entities.inbox import ObjectChanged
from figlane.entities.outbox import LogDecision
from figlane.entities.service import (
    ConfigurationPhase,
    FailureDomain,
    Organisation,
    Service,
)
from figlane.entities.table import Table
from figlane.entities.world import World
from figlane.systems.configuration.pushing import push_to_random_members
from figlane.systems.membership.domains import is_taken_out, start_weight_ramp
from figlane.systems.membership.states import (
    handle_record_deleted,
    merge_record,
)
from figlane.systems.registry import Registry, inbox_handlers

ObjectApplier = Callable[[World, ObjectChanged, float], bool]

object_appliers: Registry[ObjectApplier] = Registry('kind of object')


@inbox_handlers.register(ObjectChanged)
def handle_object_changed(
    world: World,
    row: ObjectChanged,
    now: float,
) -> None:
    """Apply a version of an object and push it to peers if it is new.

    :param world: the tables.
    :param row: the version.
    :param now: the present time in seconds.
    """
    if object_appliers.find(row.kind)(world, row, now) and row.is_news:
        push_to_random_members(world, row)


def delete_unlisted_objects(
    world: World, row: ObjectsListed, now: float
) -> None:
    """Delete the objects that a complete listing does not contain.

    An object whose version is higher than the listing's revision was written
    after the listing and stays. A deleted object gets the listing's revision
    as its version, since all its versions up to that revision are deleted.

    :param world: the tables.
    :param row: the listing with the names of all existing objects.
    :param now: the present time in seconds.
    """
    feed = get_feed(world)
    feed.listed_revision = max(feed.listed_revision, row.revision)
    for kind, name, version in known_versions(world):
        if (kind, name) not in row.names and version <= row.revision:
            deletion = ObjectChanged(kind, name, row.revision, None)
            object_appliers.find(kind)(world, deletion, now)


def get_feed(world: World) -> Feed:
    """Return the state of this node's feed from the object store.

    :param world: the tables.
    :return: the row, created if it does not exist yet.
    """
    feed = world.feeds.get(FEED_ID)
    if feed is None:
        feed = Feed()
        world.feeds.insert(feed)
    return feed


def known_versions(world: World) -> list[tuple[str, str, int]]:
    """List the objects in force and the members with an object in the store.

    :param world: the tables.
    :return: kind, name and version of each.
    """
    tables = configuration_tables(world)
    return [
        (kind, row.id, row.version)
        for kind, table in tables.items()
        for row in table
        if row.phase is ConfigurationPhase.IN_FORCE
    ] + [
        ('member', member.id, member.version)
        for member in world.members
        if member.version
    ]


def configuration_tables(world: World) -> dict[str, Table]:
    """Return the tables of the objects that are versioned one by one.

    Once a whole configuration is in force, services and organisations are
    part of it and have no version of their own.

    :param world: the tables.
    :return: the tables by kind of object.
    """
    if world.ingress.version:
        return {'domain': world.failure_domains}
    return {
        'service': world.services,
        'organisation': world.organisations,
        'domain': world.failure_domains,
    }


def apply_version(
    world: World,
    table: Table,
    row: ObjectChanged,
    tombstone: Service | Organisation | FailureDomain,
) -> bool:
    """Put a version into force unless an equal or higher one is known.

    A deleted object stays in the table as a tombstone in phase ``DELETED``,
    so that an older version that arrives late does not restore it. An unknown
    object whose version is not above the revision of the newest complete
    listing has been deleted, since the listing did not contain it.

    :param world: the tables.
    :param table: the table of the object's kind.
    :param row: the new version.
    :param tombstone: the tombstone to insert if the object is deleted.
    :return: False if the version is not newer than the known one.
    """
    known = table.get(row.name)
    known_version = known.version if known else get_feed(world).listed_revision
    tombstone.phase = ConfigurationPhase.DELETED
    if row.version <= known_version:
        if known is None:
            tombstone.version = known_version
            table.insert(tombstone)
        return False
    table.insert(row.entity or tombstone)
    return True


@object_appliers.register('service')
def apply_service(world: World, row: ObjectChanged, now: float) -> bool:
    """Put a service document into force.

    :param world: the tables.
    :param row: the new version.
    :param now: the present time in seconds.
    :return: whether it is newer than the known version.
    """
    tombstone = Service(row.name, row.version)
    return apply_version(world, world.services, row, tombstone)


@object_appliers.register('organisation')
def apply_organisation(world: World, row: ObjectChanged, now: float) -> bool:
    """Put an organisation's API keys into force.

    A key listed by several organisations belongs to the one with the highest
    version, whatever the order in which their versions arrive.

    :param world: the tables.
    :param row: the new version.
    :param now: the present time in seconds.
    :return: whether it is newer than the known version.
    """
    known = world.organisations.get(row.name)
    tombstone = Organisation(row.name, row.version)
    if not apply_version(world, world.organisations, row, tombstone):
        return False
    affected = set(known.key_hashes) if known else set()
    affected.update(world.organisations.by_id[row.name].key_hashes)
    for key_hash in affected:
        _assign_key(world, key_hash)
    return True


def _assign_key(world: World, key_hash: str) -> None:
    holders = [
        organisation
        for organisation in world.organisations
        if key_hash in organisation.key_hashes
    ]
    if not holders:
        world.organisation_by_key_hash.pop(key_hash, None)
        return
    latest = max(holders, key=lambda organisation: organisation.version)
    world.organisation_by_key_hash[key_hash] = latest.id


@object_appliers.register('domain')
def apply_failure_domain(world: World, row: ObjectChanged, now: float) -> bool:
    """Put a failure domain's state into force.

    :param world: the tables.
    :param row: the new version.
    :param now: the present time in seconds.
    :return: whether it is newer than the known version.
    """
    was_taken_out = is_taken_out(world, row.name)
    tombstone = FailureDomain(row.name, row.version)
    if not apply_version(world, world.failure_domains, row, tombstone):
        return False
    is_out = is_taken_out(world, row.name)
    if was_taken_out is not is_out:
        world.outbox.append(
            LogDecision(
                'domain_changed',
                {
                    'failure_domain': row.name,
                    'taken_out': is_out,
                    'version': row.version,
                },
            ),
        )
    if was_taken_out and not is_out:
        start_weight_ramp(world, row.name, now)
    return True


@object_appliers.register('member')
def apply_member(world: World, row: ObjectChanged, now: float) -> bool:
    """Merge or remove a member's record.

    :param world: the tables.
    :param row: the new version.
    :param now: the present time in seconds.
    :return: False, since members are spread by gossip and not pushed.
    """
    if row.entity is None:
        handle_record_deleted(world, row.name)
        return False
    merge_record(world, row.entity, row.version, now)
    return False
