"""Reads the fleet's state from the object store and the nodes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from figlane.adapters.admin_client import call_admin
from figlane.adapters.http_exchange import HttpFailure
from figlane.adapters.platform_client import (
    PlatformClient,
    StoredObject,
    Unavailable,
)
from figlane.commands.client import CommandError
from figlane.commands.exit_code import ExitCode
from figlane.commands.result import failure

_MAX_CONCURRENT_QUERIES = 32
_HTTP_OK = 200
# Phases of a member in which other nodes treat it as running.
_LIVE_PHASES = frozenset(('alive', 'suspect'))


@dataclass(slots=True)
class NodeView:
    """A node's member object, and its state as reported by the node itself.

    ``state`` is None if the node did not answer.
    """

    id: str
    member: dict[str, Any]
    state: dict[str, Any] | None

    def version(self, key: str) -> int:
        """Return the version of an object that is in force on this node.

        :param key: ``kind/name`` of the object.
        :return: the version, 0 if the node has none or did not answer.
        """
        versions: dict[str, int] = (self.state or {}).get('versions', {})
        return versions.get(key, 0)


@dataclass(slots=True)
class FleetView:
    """The objects of the platform's object store and the nodes' states."""

    objects: list[StoredObject]
    nodes: list[NodeView]

    def live_nodes(self) -> list[NodeView]:
        """List the nodes on which a change must come into force.

        :return: nodes for which ``is_live`` holds.
        """
        return [node for node in self.nodes if self.is_live(node)]

    def is_live(self, node: NodeView) -> bool:
        """Return whether a node counts as live, so that changes wait for it.

        :param node: a node of this view.
        :return: True if the node answers, if a node that answers lists it as
            alive or suspect, or if no node answers.
        """
        if node.state is not None:
            return True
        phases = [
            other.state.get('members', {}).get(node.id)
            for other in self.nodes
            if other.state is not None
        ]
        return not phases or any(phase in _LIVE_PHASES for phase in phases)


async def read_fleet(platform: PlatformClient) -> FleetView:
    """Read all objects and the state of every node.

    Raises ``CommandError`` if the platform does not answer.

    :param platform: client of the object store.
    :return: the view, with nodes sorted by id.
    """
    listing = await platform.list_objects()
    if isinstance(listing, Unavailable):
        raise CommandError(platform_unavailable(listing))
    members = [stored for stored in listing.objects if stored.kind == 'member']
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_QUERIES)
    nodes = await asyncio.gather(
        *(_read_node(stored, semaphore) for stored in members),
    )
    return FleetView(listing.objects, sorted(nodes, key=_node_id))


def platform_unavailable(outcome: Unavailable, **json_data: Any) -> Any:
    """Build the result for a platform that does not answer.

    :param outcome: the failed call.
    :param json_data: additional fields for ``--json``.
    :return: result of the command.
    """
    text = f'the platform does not answer: {outcome.reason}'
    return failure(ExitCode.UNAVAILABLE, text, **json_data)


def _node_id(node: NodeView) -> str:
    return node.id


async def _read_node(
    stored: StoredObject,
    semaphore: asyncio.Semaphore,
) -> NodeView:
    async with semaphore:
        answer = await call_admin(
            stored.value['admin_address'], 'GET', '/state'
        )
    if isinstance(answer, HttpFailure) or answer[0] != _HTTP_OK:
        return NodeView(stored.name, stored.value, None)
    return NodeView(stored.name, stored.value, answer[1])
