"""Accepts calls while the node stops, as long as they can still end in time.

Callers that keep a connection to this node have no other node to call, so it
serves them until shortly before its process ends. A call whose answer would
come too late is refused as not run, and told when the next process is up.
"""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.node_drain import DRAIN_ID, DrainPhase, NodeDrain
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.calls.durations import longest_duration
from figlane.systems.calls.lifecycle import finish_call
from figlane.systems.calls.queries import withdraw_attempt
from figlane.systems.calls.time_limits import ANSWER_SECONDS, drain_end
from figlane.systems.registry import Stage, system

# Time for which a leaving node still accepts root calls as entry node.
ENTRY_GRACE_SECONDS = 2.0
# Phases of calls of which no attempt is open at an exit node.
_UNSENT = (
    CallPhase.ARRIVED,
    CallPhase.IDENTIFIED,
    CallPhase.AWAITING_QUOTA,
    CallPhase.ROUTABLE,
    CallPhase.WAITING,
)
# Seconds in log events are rounded to milliseconds.
_SECONDS_DECIMALS = 3


@system(
    Stage.QUOTA,
    RunCondition('node_drains', DrainPhase.DRAINING),
    RunCondition('node_drains', DrainPhase.DRAINED),
)
def refuse_after_drain(world: World, now: float) -> None:
    """Refuse calls that arrive after the drain of a process that ends.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if now < drain_end(world):
        return
    for call in world.calls.in_phase(CallPhase.ARRIVED):
        finish_call(world, call, Refusal(ErrorKind.DRAINING))


def stop_refusal(world: World, call: Call, now: float) -> Refusal | None:
    """Decide whether a call must not be sent since the node is stopping.

    In the entry grace, callers and load balancers learn of the stop, and every
    call is accepted. After it, a root call is accepted only if the request to
    drain allows it, and any call only if it is likely to end before the drain.

    :param world: the tables.
    :param call: an identified call that is about to be sent.
    :param now: the present time in seconds.
    :return: the refusal, or None if the call may be sent.
    """
    drain = world.node_drains.get(DRAIN_ID)
    if drain is None or _is_entry_grace(drain, now):
        return None
    if not (call.context_token or drain.accepts_root_calls):
        return Refusal(ErrorKind.DRAINING)
    longest = longest_duration(world, call, now)
    ends_at = drain_end(world)
    if now + longest <= ends_at:
        return None
    seconds_left = max(0, ends_at - now)
    return Refusal(
        ErrorKind.DRAINING,
        f'the node stops in {seconds_left:.1f} s and calls of this route take '
        f'up to {longest:.1f} s',
    )


def _is_entry_grace(drain: NodeDrain, now: float) -> bool:
    # At most half of a short drain, so that these calls have time to end.
    seconds = min(ENTRY_GRACE_SECONDS, (drain.ends_by - drain.began_at) / 2)
    return now < drain.began_at + seconds


def end_open_calls(world: World, now: float) -> None:
    """End the calls that are open when the drain ends, as far as is possible.

    Calls without an open attempt are refused. The other attempts are withdrawn
    at their exit nodes, which refuse those that do not run yet. What runs may
    be answered for a short time more; then its outcome is unknown.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for phase in _UNSENT:
        for call in world.calls.in_phase(phase):
            finish_call(world, call, Refusal(ErrorKind.DRAINING))
    for sent in world.calls.in_phase(CallPhase.SENT):
        world.counters['call.open-after-drain'] += 1
        world.outbox.append(
            LogDecision(
                'call_open_after_drain',
                {
                    'request': sent.id,
                    'node': sent.node_id,
                    'service': sent.service_id,
                    'route': sent.route.name if sent.route else '',
                    'attempts': sent.attempt,
                    'seconds': round(now - sent.arrived_at, _SECONDS_DECIMALS),
                },
            ),
        )
        withdraw_attempt(world, sent, now)
        _schedule_final_answer(world, sent)


def _schedule_final_answer(world: World, call: Call) -> None:
    # The status of a streamed answer has already been sent.
    if call.id not in world.incoming_streams:
        answered_by = drain_end(world) + ANSWER_SECONDS
        world.calls.schedule(call, min(call.due, answered_by))
