"""State of the cold-start ramp of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from figlane.entities.table import NEVER


@dataclass(slots=True)
class Ramp:
    """Concurrency limit that rises with answers and falls with refusals.

    ``level`` is the allowed concurrency. ``ceiling`` is one below the
    concurrency at the last decrease. From there on, the level is raised only by
    probes: by one, not before ``probe_at`` and only after
    ``answers_since_change`` has reached the level. ``probe_seconds`` is the
    pause before a probe. Executions that started before ``lowered_at``, the
    time of the last decrease, do not change the level. ``refusal_credit`` grows
    with answers; a full credit covers one refusal that is not due to overload.
    ``allowed_starts`` is the number of executions that may still start before
    one that started after ``lowered_at`` has ended.
    """

    level: float = NEVER
    ceiling: float = NEVER
    probe_at: float = 0
    probe_seconds: float = 0
    answers_since_change: int = 0
    lowered_at: float = -NEVER
    refusal_credit: float = 0
    allowed_starts: float = NEVER
