"""Notifies nodes of an accepted change without the platform."""

from __future__ import annotations

import asyncio
import random

import msgspec

from figlane.adapters.admin_client import call_admin
from figlane.adapters.platform_client import PlatformClient, Unavailable
from figlane.commands.document import JsonObject

# Number of nodes notified of a change; each pushes it to its peers.
_NOTIFIED_NODES = 3


async def read_admin_addresses(platform: PlatformClient) -> list[str]:
    """Read the admin addresses of all nodes.

    :param platform: client of the object store.
    :return: ``host:port`` of each node, empty if the platform does not
        answer.
    """
    listing = await platform.list_objects()
    if isinstance(listing, Unavailable):
        return []
    return [
        stored.value['admin_address']
        for stored in listing.objects
        if stored.kind == 'member'
    ]


async def notify_nodes(
    addresses: list[str],
    key: str,
    version: int,
    content: JsonObject,
) -> None:
    """Send an accepted object to a few nodes, which push it to the others.

    Without this, a withdrawn key would stay valid if the platform failed
    right after accepting the withdrawal. Nodes that do not answer are
    ignored, since nodes also receive the change from their watch.

    :param addresses: admin addresses of the nodes.
    :param key: ``kind/name`` of the object.
    :param version: version of the object as written.
    :param content: the object's value.
    """
    body = msgspec.json.encode({'version': version, 'value': content})
    notified = random.sample(addresses, min(_NOTIFIED_NODES, len(addresses)))
    await asyncio.gather(
        *(
            call_admin(address, 'PUT', f'/objects/{key}', body)
            for address in notified
        ),
    )
