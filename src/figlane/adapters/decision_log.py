"""Structured log of the decisions that systems record."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from figlane.clock import current_time
from figlane.entities.outbox import LogDecision

_log = structlog.get_logger()

Allow = Callable[[str, float], bool]


class DecisionLog:
    """Writes decision rows as log lines, rate-limited per event."""

    __slots__ = ('_allow', '_node_id')

    def __init__(self, node_id: str, allow: Allow) -> None:
        """Create the log.

        :param node_id: id of this node.
        :param allow: rate limiter; takes the event and the time, and returns
            whether a line may be written.
        """
        self._node_id = node_id
        self._allow = allow

    def write(self, row: LogDecision) -> None:
        """Log a decision unless its event exceeds the rate limit.

        :param row: the decision.
        """
        if self._allow(row.event, current_time()):
            _log.info(row.event, at_node=self._node_id, **row.inputs)


def allow_all_lines(event: str, now: float) -> bool:
    """Allow every log line; the rate limiter for unlimited logs.

    :param event: the event name.
    :param now: the present time in seconds.
    :return: True.
    """
    return True
