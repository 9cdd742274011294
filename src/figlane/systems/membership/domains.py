"""Takes failure domains out of service and ramps them up on their return."""

from __future__ import annotations

from figlane.entities.execution import ExecutionPhase
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.execution import end_execution
from figlane.systems.admission.health_checks import doubt_warmth
from figlane.systems.registry import Stage, routines, system
from figlane.systems.scheduling import bring_forward

RAMP_ROUTINE = 'ramp-returned-domains'

# Time in which the load of a returned domain rises to its full share.
RAMP_SECONDS = 10.0
# Initial weight of a member whose domain returns; the full weight is 1.
INITIAL_WEIGHT = 0.05
_RAMP_STEP_SECONDS = 0.5


def is_taken_out(world: World, domain_id: str) -> bool:
    """Check whether a failure domain is out of service; an unknown one is not.

    :param world: the tables.
    :param domain_id: the failure domain.
    :return: True if it gets no new calls.
    """
    domain = world.failure_domains.get(domain_id)
    return domain is not None and domain.taken_out


@system(Stage.QUOTA, RunCondition('executions', ExecutionPhase.QUEUED))
def refuse_queued_executions(world: World, now: float) -> None:
    """Refuse queued calls if this node's failure domain is out of service.

    They have not started, so entry nodes can send them to other nodes. Running
    calls finish here.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if not is_taken_out(world, world.identity.failure_domain):
        return
    for execution in world.executions.in_phase(ExecutionPhase.QUEUED):
        end_execution(world, execution, Refusal(ErrorKind.DRAINING), now)


def start_weight_ramp(world: World, domain_id: str, now: float) -> None:
    """Start the ramp of a returned domain's members at ``INITIAL_WEIGHT``.

    :param world: the tables.
    :param domain_id: a domain that was out of service.
    :param now: the present time in seconds.
    """
    for member in world.members:
        if member.failure_domain == domain_id:
            member.weight = INITIAL_WEIGHT
    if domain_id == world.identity.failure_domain:
        _assume_cold(world, now)
    bring_forward(world, RAMP_ROUTINE, 0)


def _assume_cold(world: World, now: float) -> None:
    # A backend server that got no calls for a while may have gone cold since
    # its last announcement, and the next one may have been sent before that.
    for backend in world.backend_servers:
        if backend.born:
            doubt_warmth(world, backend, now, 'domain returned')


@routines.register(RAMP_ROUTINE)
def raise_weights(world: World, now: float) -> float:
    """Raise the weight of ramping members by one step.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: time of the next step; ``NEVER`` once all have full weight.
    """
    step = (1 - INITIAL_WEIGHT) * _RAMP_STEP_SECONDS / RAMP_SECONDS
    ramping = [member for member in world.members if member.weight < 1]
    for member in ramping:
        member.weight = min(1, member.weight + step)
    return now + _RAMP_STEP_SECONDS if ramping else NEVER
