"""Fair queue of executions, one flow per organisation and importance.

The cost of an operation depends on the number of backlogged flows, not on the
number of queued executions, apart from the logarithmic cost of the heap.
"""

from __future__ import annotations

import heapq

from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.flow import Flow, FlowPhase, Placement
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.errors import Refusal
from figlane.systems.registry import execution_observers, shedding_policies

# Time after which an idle flow is removed. Until then its virtual start time
# is kept, so that an organisation that goes idle for a short time does not get
# more than its share.
IDLE_SECONDS = 60.0
# A flow is compacted once it holds more entries than twice its waiting
# executions plus this number. Stale entries are those of executions that no
# longer wait.
_MAX_STALE_ENTRIES = 64


def new_executions(world: World) -> list[Execution]:
    """List the queued executions that are not yet in a flow.

    :param world: the tables.
    :return: the executions since the last tick, in the order of arrival.
    """
    arrived = []
    for execution in world.executions.iter_newest_first(ExecutionPhase.QUEUED):
        if execution.flow_id:
            break
        arrived.append(execution)
    arrived.reverse()
    return arrived


def enqueue(world: World, arrived: list[Execution]) -> None:
    """Add new executions to flows according to the shedding policy.

    :param world: the tables.
    :param arrived: queued executions that are not yet in a flow.
    """
    place = shedding_policies.find(world.policies.shedding)
    for execution in arrived:
        _enqueue(world, execution, place(world, execution))


def _enqueue(world: World, execution: Execution, place: Placement) -> None:
    flow = _flow_of_place(world, place)
    flow.weight = place.weight
    if flow.phase is FlowPhase.IDLE:
        virtual_time = world.virtual_time_by_importance.get(flow.importance, 0)
        flow.virtual_start = max(flow.virtual_start, virtual_time)
        world.flows.move(flow, FlowPhase.BACKLOGGED)
        world.flows.schedule(flow, NEVER)
    execution.flow_id = flow.id
    flow.count += 1
    flow.sequence += 1
    heapq.heappush(flow.by_sort_key, (place.sort_key, flow.sequence, execution))
    flow.arrivals.append(execution)


def _flow_of_place(world: World, place: Placement) -> Flow:
    flow_id = f'{place.importance}/{place.organisation_id}'
    flow = world.flows.get(flow_id)
    if flow is None:
        flow = Flow(flow_id, place.importance, place.weight)
        world.flows.insert(flow)
    return flow


def start_candidate(world: World) -> Execution | None:
    """Select the execution to start next.

    Of the flows of the highest importance that are eligible (virtual start
    time not after the virtual time), it takes the one with the least virtual
    finish time, as WF2Q+ does.

    :param world: the tables.
    :return: a queued execution, or None.
    """
    flows = _most_important(world)
    if not flows:
        return None
    virtual_time = _virtual_time(world, flows)
    flow = min(
        (flow for flow in flows if flow.virtual_start <= virtual_time),
        key=_virtual_finish,
    )
    while not _is_waiting(flow.by_sort_key[0][2]):
        heapq.heappop(flow.by_sort_key)
    return flow.by_sort_key[0][2]


def advance_virtual_time(world: World, execution: Execution) -> None:
    """Advance the virtual times for an execution that is started.

    These are the virtual time of its importance and the virtual start time of
    its flow.

    :param world: the tables.
    :param execution: the execution that ``start_candidate`` returned.
    """
    flow = world.flows.by_id[execution.flow_id]
    flows = _most_important(world)
    total_weight = sum(other.weight for other in flows)
    world.virtual_time_by_importance[flow.importance] = (
        _virtual_time(world, flows) + 1 / total_weight
    )
    flow.virtual_start = _virtual_finish(flow)


def shed_candidate(world: World) -> Execution | None:
    """Select the execution to shed next.

    It belongs to the lowest importance and there to the flow with the most
    queued executions per weight. Of that flow the newest is taken, since it
    has the most time left for a retry at another node.

    :param world: the tables.
    :return: a queued execution, or None.
    """
    flow = min(
        world.flows.in_phase(FlowPhase.BACKLOGGED),
        key=_shed_key,
        default=None,
    )
    if flow is None:
        return None
    while not _is_waiting(flow.arrivals[-1]):
        flow.arrivals.pop()
    return flow.arrivals[-1]


def oldest_execution(flow: Flow) -> Execution:
    """Return the execution of a flow that has waited longest.

    :param flow: a backlogged flow.
    :return: the execution.
    """
    while not _is_waiting(flow.arrivals[0]):
        flow.arrivals.popleft()
    return flow.arrivals[0]


def dequeue(world: World, execution: Execution, now: float) -> None:
    """Remove an execution from its flow before it starts or ends.

    Entries in the flow's heap and deque are removed lazily.

    :param world: the tables.
    :param execution: an execution that is still queued.
    :param now: the present time in seconds.
    """
    flow = world.flows.get(execution.flow_id)
    if flow is None:
        return
    execution.flow_id = ''
    flow.count -= 1
    if not flow.count:
        flow.by_sort_key.clear()
        flow.arrivals.clear()
        world.flows.move(flow, FlowPhase.IDLE)
        world.flows.schedule(flow, now + IDLE_SECONDS)
        return
    _compact(flow)


@execution_observers.register('queue')
def observe_queued_end(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Remove an execution from its flow if it ends while queued.

    :param world: the tables.
    :param execution: the execution that ends, before its phase changes.
    :param outcome: its outcome.
    :param now: the present time in seconds.
    """
    if execution.phase is ExecutionPhase.QUEUED:
        dequeue(world, execution, now)


def _is_waiting(execution: Execution) -> bool:
    return bool(execution.flow_id)


def _most_important(world: World) -> list[Flow]:
    flows = world.flows.in_phase(FlowPhase.BACKLOGGED)
    highest = max((flow.importance for flow in flows), default=0)
    return [flow for flow in flows if flow.importance == highest]


def _virtual_time(world: World, flows: list[Flow]) -> float:
    return max(
        world.virtual_time_by_importance.get(flows[0].importance, 0),
        min(flow.virtual_start for flow in flows),
    )


def _virtual_finish(flow: Flow) -> float:
    return flow.virtual_start + 1 / flow.weight


def _shed_key(flow: Flow) -> tuple[int, float]:
    return (flow.importance, -flow.count / flow.weight)


def _compact(flow: Flow) -> None:
    max_entries = 2 * flow.count + _MAX_STALE_ENTRIES
    if len(flow.by_sort_key) > max_entries:
        flow.by_sort_key = [
            entry for entry in flow.by_sort_key if _is_waiting(entry[2])
        ]
        heapq.heapify(flow.by_sort_key)
    if len(flow.arrivals) > max_entries:
        flow.arrivals = type(flow.arrivals)(filter(_is_waiting, flow.arrivals))
