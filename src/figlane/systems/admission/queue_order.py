"""Shedding policies: order by importance, weighted fairness and deadline."""

from __future__ import annotations

from figlane.entities.execution import Execution
from figlane.entities.flow import Placement
from figlane.entities.world import World
from figlane.systems.registry import shedding_policies

_DEFAULT_WEIGHT = 1.0


@shedding_policies.register('none')
def place_by_arrival(world: World, execution: Execution) -> Placement:
    """Place in arrival order (FIFO), as the baseline without priorities.

    :param world: the tables.
    :param execution: a queued execution.
    :return: its place.
    """
    return Placement(0, '', _DEFAULT_WEIGHT, 0)


@shedding_policies.register('importance')
def place_by_importance(world: World, execution: Execution) -> Placement:
    """Place by importance, then deadline, as the baseline without fairness.

    :param world: the tables.
    :param execution: a queued execution.
    :return: its place.
    """
    return Placement(
        execution.importance,
        '',
        _DEFAULT_WEIGHT,
        execution.deadline,
    )


@shedding_policies.register('weighted-fair')
def place_by_weight(world: World, execution: Execution) -> Placement:
    """Place by importance, then by weighted fair queueing of organisations.

    Executions of one organisation are ordered by earliest deadline first.

    :param world: the tables, with the weights in the service's allowances.
    :param execution: a queued execution.
    :return: its place.
    """
    return Placement(
        execution.importance,
        execution.organisation_id,
        _weight(world, execution),
        execution.deadline,
    )


def _weight(world: World, execution: Execution) -> float:
    service = world.services.get(execution.service_id)
    if service is None:
        return _DEFAULT_WEIGHT
    allowance = service.allowance_by_organisation.get(
        execution.organisation_id,
    )
    return _DEFAULT_WEIGHT if allowance is None else allowance.weight
