"""Charges root calls against the quota of their organisation."""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.world import World
from figlane.errors import Refusal
from figlane.registry import RunCondition
from figlane.systems.calls.lifecycle import finish_call
from figlane.systems.quotas.static import charge_static_share
from figlane.systems.quotas.stock import spend_token
from figlane.systems.registry import Stage, rate_policies, system


@system(Stage.CHARGING, RunCondition('calls', CallPhase.IDENTIFIED))
def charge_calls(world: World, now: float) -> None:
    """Apply the rate policy to identified calls.

    Only root calls of a known organisation are charged; a child call is
    covered by the charge of its root call.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for call in world.calls.in_phase(CallPhase.IDENTIFIED):
        if call.parent_id or not call.organisation_id:
            world.calls.move(call, CallPhase.ROUTABLE)
            continue
        charge = rate_policies.find(world.policies.rate)
        outcome: Refusal | CallPhase = charge(world, call, now)
        if isinstance(outcome, Refusal):
            finish_call(world, call, outcome)
            continue
        world.calls.move(call, outcome)


@rate_policies.register('none')
def charge_nothing(world: World, call: Call, now: float) -> CallPhase:
    """Admit every call without charge: the baseline for rate policies.

    :param world: the tables.
    :param call: the call to charge.
    :param now: the present time in seconds.
    :return: the next phase of the call.
    """
    return CallPhase.ROUTABLE


@rate_policies.register('static')
def charge_static(
    world: World,
    call: Call,
    now: float,
) -> Refusal | CallPhase:
    """Charge a call against this node's static, equal share of the quota.

    This is the second baseline for comparison; nodes do not coordinate.

    :param world: the tables.
    :param call: the call to charge.
    :param now: the present time in seconds.
    :return: the next phase of the call, or the refusal.
    """
    return charge_static_share(world, call, now)


@rate_policies.register('single-holder')
@rate_policies.register('tokens')
def charge_tokens(
    world: World,
    call: Call,
    now: float,
) -> Refusal | CallPhase:
    """Charge a call against tokens granted by the holders of the quota.

    With ``single-holder``, the third baseline for comparison, a quota has only
    one holder.

    :param world: the tables.
    :param call: the call to charge.
    :param now: the present time in seconds.
    :return: the next phase of the call, or the refusal.
    """
    return spend_token(world, call, now)
