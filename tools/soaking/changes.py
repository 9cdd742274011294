"""Changes of a deployment, in a series that overlaps with disturbances."""

from __future__ import annotations

import random
import signal
from operator import attrgetter

from figlane.registry import Registry
from standins.platform_site import ADDED, DOMAINS, SERVICES, SiteVm
from tools.soaking.disturbances import (
    Draw,
    DrawSteps,
    Step,
    disturbances,
    draw_steps,
)

_BURST_SERVICE = 'bookings'
_PAUSE_SECONDS = (2.0, 6.0)

changes: Registry[DrawSteps] = Registry('change')


@changes.register('route')
def _draw_route(draw: Draw) -> list[Step]:
    """Add a route, move it to another service, and remove it."""
    route = draw.source.choice(ADDED).name
    first, second = draw.source.sample(SERVICES, 2)
    moved_at = draw.after(1, 4)
    removed_at = moved_at + draw.source.uniform(1, 4)
    return [
        Step(draw.now, 'configure', route, service=first),
        Step(moved_at, 'configure', route, service=second),
        Step(removed_at, 'configure', route),
    ]


@changes.register('operators-drain')
def _draw_operators_drain(draw: Draw) -> list[Step]:
    """Take a failure domain out for some seconds."""
    domain = draw.source.choice(DOMAINS)
    seconds = draw.source.uniform(6, 9)
    return [Step(draw.now, 'take-out', domain, seconds=seconds)]


@changes.register('burst')
def _draw_burst(draw: Draw) -> list[Step]:
    """Send more requests than slow servers have slots, while nodes stop."""
    seconds = draw.source.uniform(2, 4)
    factor = draw.source.uniform(3, 6)
    vms = draw.source.sample(sorted(draw.service_by_vm), 2)
    return [
        Step(draw.now, 'slow', _BURST_SERVICE, 0, seconds, factor),
        Step(draw.now, 'burst', seconds=seconds),
        *(Step(draw.after(0, 3), 'signal', vm, signal.SIGTERM) for vm in vms),
    ]


FAULTS = sorted((*disturbances.by_key, *changes.by_key))


def draw_run(
    seed: int,
    vms: list[SiteVm],
    spare_vms: list[SiteVm],
    faults: list[str],
    seconds: float,
) -> list[Step]:
    """Draw the steps of a run: disturbances, and changes beside them.

    :param seed: the seed.
    :param vms: the VMs at the start.
    :param spare_vms: VMs that may be added.
    :param faults: names of the disturbances and changes to draw from.
    :param seconds: length of the load.
    :return: the steps in the order of their times.
    """
    services = {vm.name: vm.service for vm in vms}
    spares = [(vm.name, vm.service) for vm in spare_vms]
    draw = Draw(random.Random(seed), dict(services), spares)
    steps = draw_steps(draw, _chosen(disturbances, faults), seconds)
    source = random.Random(f'{seed}-changes')
    draw = Draw(source, services, pause_seconds=_PAUSE_SECONDS)
    steps += draw_steps(draw, _chosen(changes, faults), seconds)
    return sorted(steps, key=attrgetter('at'))


def _chosen(
    registry: Registry[DrawSteps], faults: list[str]
) -> list[DrawSteps]:
    return [registry.by_key[name] for name in faults if name in registry.by_key]
