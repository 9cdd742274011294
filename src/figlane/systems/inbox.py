"""Dispatches inbox rows to the handlers registered for their types."""

from __future__ import annotations

from typing import Any

from figlane.entities.inbox import PeerMessage
from figlane.entities.world import World
from figlane.systems.registry import (
    Stage,
    inbox_handlers,
    peer_handlers,
    system,
)


@system(Stage.INBOX)
def dispatch_inbox(world: World, now: float) -> None:
    """Drain the inbox and pass each row to the handler of its type.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if not world.inbox:
        return
    rows = world.inbox
    world.inbox = []
    for row in rows:
        _handle_row(world, row, now)


def _handle_row(world: World, row: Any, now: float) -> None:
    # An exception in one handler must not discard the remaining inbox rows.
    try:
        inbox_handlers.find(type(row))(world, row, now)
    except Exception as error:
        world.counters['inbox.failed'] += 1
        world.failures.append(error)


@inbox_handlers.register(PeerMessage)
def handle_peer_message(world: World, row: PeerMessage, now: float) -> None:
    """Dispatch a peer message to the handler registered for its type.

    :param world: the tables.
    :param row: the message and its sender.
    :param now: the present time in seconds.
    """
    peer_handlers.find(type(row.message))(world, row, now)
