"""Load and refusal reports of a node for operators."""

from __future__ import annotations

from typing import Any

from figlane.entities.execution import ExecutionPhase
from figlane.entities.world import World


def describe_load(world: World) -> dict[str, Any]:
    """Report load and concurrency limits as JSON-compatible data.

    :param world: the entity tables.
    :return: running and queued executions, and the sum of the backend
        servers' concurrency limits.
    """
    return {
        'running': world.executions.count(ExecutionPhase.RUNNING),
        'queued': world.executions.count(ExecutionPhase.QUEUED),
        'limit': sum(row.limit for row in world.backend_servers),
    }


def describe_refusal(world: World, call_id: str) -> dict[str, Any] | None:
    """Report a refused call as JSON-compatible data.

    :param world: the entity tables.
    :param call_id: id of the call.
    :return: the refusal, or None if the node has no record of it.
    """
    row = world.refused_calls.get(call_id)
    if row is None:
        return None
    return {
        'call': row.id,
        'kind': row.phase.value,
        'detail': row.detail,
        'service': row.service_id,
        'organisation': row.organisation_id,
    }
