"""Identifies arrived calls: route, organisation, deadline and retries."""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.inbox import CallArrived
from figlane.entities.service import ConfigurationPhase, Route, Service
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.calls.keys import digest_key
from figlane.systems.calls.lifecycle import finish_call
from figlane.systems.calls.stopping import stop_refusal
from figlane.systems.configuration.freshness import configuration_refusal
from figlane.systems.configuration.ingress import (
    choose_destination,
    select_route,
)
from figlane.systems.configuration.pauses import awaits_confirmation
from figlane.systems.registry import Stage, inbox_handlers, system
from figlane.systems.tracing import begin_entry_span

# Maximum number of levels of child calls below a root call.
MAX_CALL_DEPTH = 14


@inbox_handlers.register(CallArrived)
def handle_call_arrived(world: World, row: CallArrived, now: float) -> None:
    """Insert an arrived call into the call table and begin its entry span.

    :param world: the tables.
    :param row: the arrived call.
    :param now: the present time in seconds.
    """
    world.counters['call.arrived'] += 1
    begin_entry_span(world, row.call, now)
    world.calls.insert(row.call)


@system(Stage.IDENTIFICATION, RunCondition('calls', CallPhase.ARRIVED))
def identify_calls(world: World, now: float) -> None:
    """Match arrived calls to a route and an organisation, or refuse them.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if awaits_confirmation(world, now):
        return
    for call in world.calls.in_phase(CallPhase.ARRIVED):
        refusal = identify(world, call, now) or stop_refusal(world, call, now)
        if refusal is not None:
            finish_call(world, call, refusal)
            continue
        world.calls.schedule(call, call.deadline)
        world.calls.move(call, CallPhase.IDENTIFIED)


def identify(world: World, call: Call, now: float) -> Refusal | None:
    """Set the route, organisation, deadline and retries of a call.

    :param world: the tables.
    :param call: a call that has just arrived.
    :param now: the present time in seconds.
    :return: the refusal, or None if the call may proceed.
    """
    if call.host:
        return identify_ingress(world, call, now)
    service = world.services.get(call.service_id)
    if service is None or service.phase is not ConfigurationPhase.IN_FORCE:
        return Refusal(ErrorKind.UNKNOWN_SERVICE, call.service_id)
    path = call.request.target.partition('?')[0]
    route = service.match(call.request.method, path)
    if route is None:
        return Refusal(ErrorKind.UNKNOWN_ROUTE, path)
    call.route = route
    if len(call.request.body) > route.body_limit:
        return Refusal(
            ErrorKind.BODY_TOO_LARGE,
            f'the body exceeds the limit of {route.body_limit} bytes',
        )
    if call.context_token:
        refusal = _identify_child(world, call, route)
    else:
        refusal = _identify_root(world, call, service, now)
    call.ledger_key = digest_key(call)
    return refusal


def identify_ingress(world: World, call: Call, now: float) -> Refusal | None:
    """Identify a call that is routed by host and path prefix.

    :param world: the tables.
    :param call: a call that has just arrived.
    :param now: the present time in seconds.
    :return: the refusal, or None if the call may proceed.
    """
    if not world.ingress.version:
        return Refusal(
            ErrorKind.STALE_CONFIGURATION, 'no configuration has been loaded'
        )
    path = call.request.target.partition('?')[0]
    selected = select_route(world, call.host, path)
    if selected is None:
        return Refusal(ErrorKind.UNKNOWN_ROUTE, path)
    route = selected.route
    call.route = route
    call.service_id = choose_destination(world, selected)
    call.importance = route.importance
    call.deadline = call.arrived_at + min(route.deadline, call.caller_timeout)
    call.retries_left = route.attempts - 1
    organisation_id = world.organisation_by_key_hash.get(call.key_hash, '')
    organisation = world.organisations.get(organisation_id)
    if organisation is not None:
        call.organisation_id = organisation.id
        if organisation.importance is not None:
            call.importance = organisation.importance
        return None
    if route.is_open or not world.organisations.by_id:
        return None
    return Refusal(ErrorKind.UNAUTHENTICATED)


def _identify_root(
    world: World,
    call: Call,
    service: Service,
    now: float,
) -> Refusal | None:
    route: Route = call.route
    call.importance = route.importance
    call.deadline = call.arrived_at + route.deadline
    call.retries_left = route.attempts - 1
    if not call.key_hash and route.is_open:
        return None
    stale_refusal = configuration_refusal(world, now)
    if stale_refusal is not None:
        return stale_refusal
    organisation_id = world.organisation_by_key_hash.get(call.key_hash)
    if organisation_id is None:
        return Refusal(ErrorKind.UNAUTHENTICATED)
    call.organisation_id = organisation_id
    is_listed = organisation_id in service.allowance_by_organisation
    if route.is_open or is_listed:
        return None
    return Refusal(
        ErrorKind.FORBIDDEN, f'{organisation_id} may not call this service'
    )


def _identify_child(
    world: World,
    call: Call,
    route: Route,
) -> Refusal | None:
    parent = _running_parent(world, call.context_token)
    if parent is None:
        return Refusal(
            ErrorKind.UNAUTHENTICATED,
            'the context token matches no running call on this node',
        )
    if parent.depth >= MAX_CALL_DEPTH:
        return Refusal(
            ErrorKind.DEPTH_EXCEEDED,
            f'child calls are limited to {MAX_CALL_DEPTH} levels',
        )
    call.child_key = f'{call.service_id} {_request_line(call)}'
    if call.child_key in parent.open_child_keys:
        if parent.retries_left < 1:
            return Refusal(ErrorKind.ATTEMPTS_EXHAUSTED)
        world.counters['call.repeated'] += 1
        parent.retries_left -= 1
    parent.open_child_keys.add(call.child_key)
    parent.child_call_ids.add(call.id)
    call.parent_id = parent.id
    call.organisation_id = parent.organisation_id
    call.importance = parent.importance
    call.depth = parent.depth + 1
    call.deadline = min(parent.deadline, call.arrived_at + route.deadline)
    return None


def _request_line(call: Call) -> str:
    return f'{call.request.method} {call.request.target}'


def _running_parent(world: World, token: str) -> Execution | None:
    parent = world.executions.get(world.execution_by_token.get(token, ''))
    if parent is None or parent.phase is not ExecutionPhase.RUNNING:
        return None
    return parent
