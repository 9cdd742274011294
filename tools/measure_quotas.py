"""Measures wrongful refusals of each rate policy in a seeded simulation.

A refusal is wrongful if one central token bucket with the organisation's rate
and burst would have admitted the call.
"""

from __future__ import annotations

import json
import sys
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from types import MappingProxyType

from figlane.entities.service import Allowance
from standins.quota_fleet import Outcome, QuotaFleet, excess
from standins.quota_store import MemoryStore

_POLICIES = ('static', 'single-holder', 'tokens')
_NODES = tuple(f'node-{index}' for index in range(8))
_LARGE_COUNT = 2
_SMALL_BURST = 20
_SMALL = Allowance(_SMALL_BURST / 2, _SMALL_BURST, weight=1)
_LARGE = Allowance(4 * _SMALL.rate, 4 * _SMALL.burst, weight=4)
_ALLOWANCES = MappingProxyType(
    {
        f'organisation-{index}': _LARGE if index < _LARGE_COUNT else _SMALL
        for index in range(8)
    },
)
# Offered load of each organisation as a fraction of its rate.
_LOAD_FACTOR = 0.8
_START_SECONDS = 10.0
_LOAD_SECONDS = 30.0
_MOVE_SECONDS = 2.0
_OUTAGE_SECONDS = 70.0
_P99_FRACTION = 0.99

Placement = Callable[[Random, str, float], str]


@dataclass(slots=True, frozen=True)
class Situation:
    """How entry nodes are chosen, and a fault injected before the load."""

    name: str
    place: Placement
    disturb: Callable[[QuotaFleet], None]


def main() -> None:
    """Print one JSON line for each situation and policy."""
    for situation in _SITUATIONS:
        for policy in _POLICIES:
            line = {
                'situation': situation.name,
                'policy': policy,
                **_measure(situation, policy),
            }
            sys.stdout.write(f'{json.dumps(line)}\n')


def _measure(situation: Situation, policy: str) -> dict[str, float]:
    fleet = QuotaFleet(MemoryStore(), Random(1), policy)
    for index, node_id in enumerate(_NODES):
        fleet.add_node(node_id, f'domain-{index % 4}')
    fleet.put_service(1, dict(_ALLOWANCES))
    fleet.run(_START_SECONDS)
    situation.disturb(fleet)
    _offer(fleet, situation.place)
    fleet.run(fleet.now + _LOAD_SECONDS + 1)
    return _summary(fleet.outcomes)


def _offer(fleet: QuotaFleet, place: Placement) -> None:
    random = Random(2)
    for organisation, allowance in _ALLOWANCES.items():
        for offset in _arrivals(random, _LOAD_FACTOR * allowance.rate):
            node_id = place(random, organisation, offset)
            fleet.call(node_id, organisation, fleet.now + offset)


def _arrivals(random: Random, rate: float) -> Iterator[float]:
    offset = random.expovariate(rate)
    while offset < _LOAD_SECONDS:
        yield offset
        offset += random.expovariate(rate)


def _summary(outcomes: list[Outcome]) -> dict[str, float]:
    by_organisation = defaultdict(list)
    for outcome in sorted(outcomes, key=lambda row: row.arrived_at):
        by_organisation[outcome.organisation].append(outcome)
    refused = {}
    allowed = {}
    for organisation, calls in by_organisation.items():
        allowed_calls = _centrally_admitted(calls, _ALLOWANCES[organisation])
        allowed[organisation] = len(allowed_calls)
        refused[organisation] = sum(
            not call.is_admitted for call in allowed_calls
        )
    served = (1 - refused[name] / allowed[name] for name in allowed)
    return {
        'calls': len(outcomes),
        'wrongful_percent': round(
            100 * sum(refused.values()) / len(outcomes),
            3,
        ),
        'worst_served_share': round(min(served), 4),
        'worst_excess': round(_worst_excess(by_organisation), 1),
        **_waits(outcomes),
    }


def _worst_excess(by_organisation: dict[str, list[Outcome]]) -> float:
    found = []
    for organisation, calls in by_organisation.items():
        allowance = _ALLOWANCES[organisation]
        times = sorted(call.ended_at for call in calls if call.is_admitted)
        found.append(excess(times, allowance.rate, allowance.burst))
    return max(found)


def _waits(outcomes: list[Outcome]) -> dict[str, float]:
    waits = sorted(
        call.ended_at - call.arrived_at for call in outcomes if call.is_admitted
    )
    at_once = sum(not wait for wait in waits) / len(waits)
    return {
        'charged_at_once_percent': round(100 * at_once, 1),
        'wait_p99_ms': round(1000 * waits[int(_P99_FRACTION * len(waits))], 2),
    }


def _centrally_admitted(
    calls: list[Outcome], allowance: Allowance
) -> list[Outcome]:
    """Return the calls that one central token bucket would admit."""
    level = allowance.burst
    last = calls[0].arrived_at
    allowed = []
    for call in calls:
        earned = allowance.rate * (call.arrived_at - last)
        level = min(allowance.burst, level + earned)
        last = call.arrived_at
        if level >= 1:
            level -= 1
            allowed.append(call)
    return allowed


def _random_node(random: Random, organisation: str, offset: float) -> str:
    return random.choice(_NODES[1:])


def _fixed_node(random: Random, organisation: str, offset: float) -> str:
    number = int(organisation.rpartition('-')[2])
    return _NODES[1 + number % (len(_NODES) - 1)]


def _moving_node(random: Random, organisation: str, offset: float) -> str:
    number = int(organisation.rpartition('-')[2]) + int(offset / _MOVE_SECONDS)
    return _NODES[1 + number % (len(_NODES) - 1)]


def _no_fault(fleet: QuotaFleet) -> None:
    """Inject no fault."""


def _lose_node(fleet: QuotaFleet) -> None:
    fleet.remove_node(_NODES[0])


def _lose_node_early(fleet: QuotaFleet) -> None:
    fleet.remove_node(_NODES[0])
    fleet.run(fleet.now + 2 * _OUTAGE_SECONDS)


def _stop_store(fleet: QuotaFleet) -> None:
    fleet.store.is_down = True
    fleet.run(fleet.now + _OUTAGE_SECONDS)


_SITUATIONS = (
    Situation('even', _random_node, _no_fault),
    Situation('one node for each organisation', _fixed_node, _no_fault),
    Situation('moving every 2 s', _moving_node, _no_fault),
    Situation('node lost, even', _random_node, _lose_node),
    Situation('node lost 140 s before, even', _random_node, _lose_node_early),
    Situation('store down for 70 s, even', _random_node, _stop_store),
)


if __name__ == '__main__':
    main()
