"""Writes a log line for each decision that systems note."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from figlane.clock import current_time
from figlane.entities.outbox import LogDecision

_log = structlog.get_logger()

Allow = Callable[[str, float], bool]


class DecisionLog:
    """Turns rows into lines, within the bound of each event."""

    __slots__ = ('_allow', '_node_id')

    def __init__(self, node_id: str, allow: Allow) -> None:
        """Create a log.

        :param node_id: this node.
        :param allow: tells whether a line of an event may be written.
        """
        self._node_id = node_id
        self._allow = allow

    def note(self, row: LogDecision) -> None:
        """Write a line.

        :param row: the decision.
        """
        if self._allow(row.event, current_time()):
            _log.info(row.event, at_node=self._node_id, **row.inputs)


def allow_every_line(event: str, now: float) -> bool:
    """Let each line pass, where the stream itself is not bounded.

    :param event: the event.
    :param now: the present time in seconds.
    :return: True.
    """
    return True
