"""Decides whether a refused call is retried, and accounts for retries.

A root call has a fixed number of retries that the calls below it share; the
retry policy can bound retries further across the calls of a service.
"""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.member import MemberPhase
from figlane.entities.outbox import LogDecision
from figlane.entities.retry_budget import RetryBudget
from figlane.entities.world import World
from figlane.errors import ErrorKind, ExecutionStatus, Refusal
from figlane.systems.calls.lifecycle import finish_call
from figlane.systems.registry import retry_policies

_POSSIBLY_RUN_KINDS = frozenset((ErrorKind.OUTCOME_UNKNOWN, ErrorKind.INTERNAL))


def retry_or_finish(
    world: World,
    call: Call,
    refusal: Refusal,
    now: float,
) -> None:
    """Retry a refused call if that is allowed, or finish it.

    :param world: the tables.
    :param call: a call whose current attempt was refused.
    :param refusal: the refusal of the attempt.
    :param now: the present time in seconds.
    """
    call.last_refusal = refusal
    if refusal.answer.execution_status is not ExecutionStatus.NOT_RUN:
        call.may_have_run = True
    is_streaming = call.id in world.incoming_streams
    if is_streaming or not _is_retryable(call, refusal) or now >= call.deadline:
        finish_call(world, call, refusal)
        return
    if not _take_retry(world, call, now):
        finish_call(world, call, refusal)
        return
    world.counters['call.retried'] += 1
    world.outbox.append(
        LogDecision(
            'call_retried',
            {
                'request': call.id,
                'attempt': call.attempt,
                'node_refused': call.node_id,
                'kind': refusal.kind.value,
                'reason': refusal.detail,
                'has_reached': refusal.has_reached or call.may_have_run,
                'retries_left': call.retries_left,
            },
        ),
    )
    world.calls.move(call, CallPhase.ROUTABLE)


def _is_retryable(call: Call, refusal: Refusal) -> bool:
    if refusal.answer.retry_elsewhere:
        return True
    if call.route is None or not call.route.idempotent:
        return False
    return refusal.kind in _POSSIBLY_RUN_KINDS


def _is_free_retry(world: World, call: Call, refusal: Refusal) -> bool:
    is_not_run = refusal.answer.execution_status is ExecutionStatus.NOT_RUN
    if not is_not_run or refusal.has_reached:
        return False
    return call.attempt <= world.retry_bounds.free_retries


def _take_retry(world: World, call: Call, now: float) -> bool:
    refusal = call.last_refusal
    if refusal is not None and _is_free_retry(world, call, refusal):
        return True
    pool = retry_pool(world, call)
    if pool is None or pool.retries_left < 1:
        world.counters['retry.exhausted'] += 1
        return False
    allows = retry_policies.find(world.policies.retry)
    if not allows(world, call, now):
        world.counters['retry.suppressed'] += 1
        return False
    pool.retries_left -= 1
    return True


def retry_pool(world: World, call: Call) -> Call | Execution | None:
    """Find the row that holds the retries of a call.

    :param world: the tables.
    :param call: the call.
    :return: the call itself for a root call; for a child call the execution
        of its parent, or None once that has ended.
    """
    if not call.parent_id:
        return call
    parent = world.executions.get(call.parent_id)
    if parent is None or parent.phase is not ExecutionPhase.RUNNING:
        return None
    return parent


def allot_retries(world: World, call: Call) -> int:
    """Take the retries that an attempt passes on to the calls below it.

    These are half of those left, rounded up: the last retry remains usable at
    any depth, and parallel child calls still have some.

    :param world: the tables.
    :param call: the call whose attempt is about to be sent.
    :return: the number of retries taken.
    """
    pool = retry_pool(world, call)
    if pool is None:
        return 0
    share = (pool.retries_left + 1) // 2
    pool.retries_left -= share
    return share


def return_retries(world: World, call: Call, count: int) -> None:
    """Add the unused retries of an attempt back to the pool of its call.

    They are dropped if the execution of the parent has ended.

    :param world: the tables.
    :param call: the call whose attempt has ended.
    :param count: the number of retries.
    """
    pool = retry_pool(world, call)
    if pool is not None:
        pool.retries_left += count


def credit_retry_budget(world: World, call: Call) -> None:
    """Credit the retry budget of the call's service and importance.

    :param world: the tables.
    :param call: a call whose first attempt is about to be sent.
    """
    budget = _find_budget(world, call)
    budget.balance = min(
        _max_balance(world), budget.balance + world.retry_bounds.ratio
    )


@retry_policies.register('none')
def allow_every_retry(world: World, call: Call, now: float) -> bool:
    """Allow every retry: the baseline for comparing retry policies.

    :param world: the tables.
    :param call: the call.
    :param now: the present time in seconds.
    :return: True.
    """
    return True


@retry_policies.register('ratio')
def allow_by_ratio(world: World, call: Call, now: float) -> bool:
    """Allow retries in proportion to first attempts of the same importance.

    Each importance has its own budget, so that calls of low importance do not
    use up the retries of more important ones.

    :param world: the tables.
    :param call: the call.
    :param now: the present time in seconds.
    :return: True if the budget had a retry, which is then taken.
    """
    budget = _find_budget(world, call)
    if budget.balance >= 1:
        budget.balance -= 1
        return True
    if _max_balance(world) >= 1:
        return False
    # A part of a retry is the chance of one, so that the parts of many nodes
    # can be used and add up to no more than the budget of the fleet.
    chance = budget.balance
    budget.balance = 0
    return world.random.random() < chance


def _max_balance(world: World) -> float:
    bounds = world.retry_bounds
    if not bounds.fleet_balance:
        return bounds.max_balance
    dead = world.members.count(MemberPhase.DEAD)
    return bounds.fleet_balance / max(1, len(world.members) - dead)


def _find_budget(world: World, call: Call) -> RetryBudget:
    budget_id = f'{call.service_id}/{call.importance}'
    budget = world.retry_budgets.get(budget_id)
    if budget is None:
        budget = RetryBudget(budget_id, _max_balance(world))
        world.retry_budgets.insert(budget)
    return budget
