"""Waits until a version is in force on every live node."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from figlane.commands.client import Client
from figlane.commands.nodes import read_fleet

# Seconds between two polls of the nodes.
_POLL_INTERVAL_SECONDS = 0.2


@dataclass(slots=True, frozen=True)
class Rollout:
    """Progress of a version's rollout.

    ``node_count`` counts live nodes; ``lagging`` names those among them on
    which the version is not yet in force.
    """

    node_count: int
    lagging: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Return whether the version is in force on every live node.

        :return: True if no live node lags.
        """
        return not self.lagging


async def wait_until_in_force(
    client: Client,
    key: str,
    version: int,
    seconds: float,
) -> Rollout:
    """Poll the nodes until a version is in force on all or time runs out.

    :param client: context of the command; prints the progress.
    :param key: ``kind/name`` of the object.
    :param version: the version; a higher one in force counts as well.
    :param seconds: maximum time to wait.
    :return: the progress of the rollout at the last poll.
    """
    end = time.monotonic() + seconds
    last: Rollout | None = None
    while True:
        rollout = await _read_rollout(client, key, version)
        if rollout != last:
            in_force = rollout.node_count - len(rollout.lagging)
            client.progress(
                f'{key} version {version}: in force on {in_force} of '
                f'{rollout.node_count} nodes',
            )
        last = rollout
        if rollout.is_complete or time.monotonic() > end:
            return rollout
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)


async def _read_rollout(client: Client, key: str, version: int) -> Rollout:
    view = await read_fleet(client.platform)
    live = view.live_nodes()
    lagging = [node.id for node in live if node.version(key) < version]
    return Rollout(len(live), tuple(lagging))
