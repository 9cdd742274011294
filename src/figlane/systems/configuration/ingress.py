"""Applies configuration snapshots and selects routes by host and path."""

from __future__ import annotations

from typing import Any

from figlane.entities.configuration_messages import ConfigurationPush
from figlane.entities.inbox import PeerMessage
from figlane.entities.ingress import (
    ApplyCallerLimits,
    ConfigurationReplaced,
    Destination,
    IngressRoute,
    Prefixes,
)
from figlane.entities.outbox import LogDecision
from figlane.entities.table import Table
from figlane.entities.world import World
from figlane.systems.configuration.pushing import announce_configuration
from figlane.systems.configuration.watching import open_request_seconds
from figlane.systems.registry import (
    configuration_observers,
    inbox_handlers,
    peer_handlers,
)


@inbox_handlers.register(ConfigurationReplaced)
def handle_configuration(
    world: World,
    row: ConfigurationReplaced,
    now: float,
) -> None:
    """Apply a configuration snapshot newer than the one in force.

    Rows that the snapshot does not contain are removed. Some peers,
    chosen at random, are told of a snapshot that they may not have yet.

    :param world: the tables.
    :param row: the configuration snapshot.
    :param now: the present time in seconds.
    """
    ingress = world.ingress
    if row.version <= ingress.version:
        return
    before = ingress.version
    ingress.version = row.version
    ingress.current = row
    world.counters['configuration.replaced'] += 1
    _replace_rows(world.services, row.services)
    _replace_rows(world.organisations, row.organisations)
    _replace_rows(world.ingress_routes, row.routes)
    world.organisation_by_key_hash = {
        key_hash: organisation.id
        for organisation in row.organisations
        for key_hash in organisation.key_hashes
    }
    ingress.prefixes_by_host = _prefixes_by_host(row.routes)
    world.outbox.append(ApplyCallerLimits(row.limits))
    world.outbox.append(
        LogDecision(
            'configuration_in_force',
            {
                'version': row.version,
                'before': before,
                'routes': len(row.routes),
                'organisations': len(row.organisations),
                'is_news': row.is_news,
                'source': row.source,
                'store_request_seconds': open_request_seconds(world, now),
            },
        ),
    )
    for observe in configuration_observers.by_key.values():
        observe(world, now)
    if row.is_news:
        announce_configuration(world)


@peer_handlers.register(ConfigurationPush)
def handle_configuration_push(
    world: World,
    row: PeerMessage,
    now: float,
) -> None:
    """Queue a configuration snapshot from a peer for application.

    It is marked for forwarding: if it is applied, this node pushes it on.

    :param world: the tables.
    :param row: the configuration snapshot.
    :param now: the present time in seconds.
    """
    pushed: ConfigurationReplaced = row.message.configuration
    pushed.is_news = True
    pushed.source = row.sender
    world.inbox.append(pushed)


def select_route(world: World, host: str, path: str) -> IngressRoute | None:
    """Select the route of a host by the longest matching path prefix.

    :param world: the tables.
    :param host: the host of the request, in lower case.
    :param path: the path without its query.
    :return: the route, or None.
    """
    for prefix, route_id in world.ingress.prefixes_by_host.get(host, ()):
        if path.startswith(prefix):
            return world.ingress_routes.get(route_id)
    return None


def choose_destination(world: World, route: IngressRoute) -> str:
    """Pick the destination service of a call by weighted random choice.

    :param world: the tables.
    :param route: the call's route.
    :return: the service id; empty if there are several destinations and all
        have weight 0.
    """
    destinations = route.destinations
    if len(destinations) == 1:
        return destinations[0].service_id
    total = sum(destination.weight for destination in destinations)
    point = world.random.random() * total
    return _destination_at(destinations, point)


def _destination_at(
    destinations: tuple[Destination, ...],
    point: float,
) -> str:
    chosen = ''
    for destination in destinations:
        if not destination.weight:
            continue
        chosen = destination.service_id
        point -= destination.weight
        if point < 0:
            break
    return chosen


def _replace_rows(table: Table[Any], rows: tuple[Any, ...]) -> None:
    listed = {row.id for row in rows}
    for row in table:
        if row.id not in listed:
            table.remove(row.id)
    for row in rows:
        table.insert(row)


def _prefixes_by_host(
    routes: tuple[IngressRoute, ...],
) -> dict[str, Prefixes]:
    by_host: dict[str, Prefixes] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append((route.prefix, route.id))
    for prefixes in by_host.values():
        prefixes.sort(key=_prefix_order)
    return by_host


def _prefix_order(entry: tuple[str, str]) -> tuple[int, str]:
    return (-len(entry[0]), entry[0])
