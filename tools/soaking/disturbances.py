"""Disturbances of a run; each draws its steps from the seed."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from operator import attrgetter

from figlane.registry import Registry

# Shortest time between two signals that do not come at once.
_SOON = 0.05
_ABRUPT_SHARE = 0.3
# VMs of a service that are not removed.
_KEPT_VMS = 2
# Part of the nodes that stops while servers are slow.
_STOPPED_PART = 5
# Until the end of the drain of a node that is stopped at once.
_LATEST_SLOWDOWN = 5
# All callers have sent requests by then.
_FIRST_SECONDS = 3.0
# Disturbances end early enough that the last grace period ends within the run.
_LAST_SECONDS = 9.0


@dataclass(slots=True, frozen=True)
class Step:
    """Something that is done at a time after the start of the load.

    ``action`` is a key of the actions; ``target`` is a VM, a failure domain,
    a service or a route, ``number`` a signal or a count, ``factor`` one of the
    time of work, ``seconds`` a duration, ``service`` the new one of a route.
    """

    at: float
    action: str
    target: str = ''
    number: int = 0
    seconds: float = 0
    factor: float = 1
    service: str = ''


@dataclass(slots=True)
class Draw:
    """State while the steps of a run are drawn.

    ``service_by_vm`` holds the VMs that are in the deployment.
    """

    source: random.Random
    service_by_vm: dict[str, str]
    spare_vms: list[tuple[str, str]] = field(default_factory=list)
    now: float = 0
    pause_seconds: tuple[float, float] = (0.5, 3.5)

    def vm(self) -> str:
        """Draw a VM.

        :return: its name.
        """
        return self.source.choice(sorted(self.service_by_vm))

    def after(self, least: float, most: float) -> float:
        """Draw a time after the present one.

        :param least: the least distance in seconds.
        :param most: the largest distance.
        :return: the time.
        """
        return self.now + self.source.uniform(least, most)


DrawSteps = Callable[[Draw], list[Step]]
disturbances: Registry[DrawSteps] = Registry('disturbance')


def draw_steps(
    draw: Draw, chosen: list[DrawSteps], seconds: float
) -> list[Step]:
    """Draw disturbances in series, which may overlap.

    Each disturbance is drawn once before any is drawn again.

    :param draw: the state, with a source that was seeded.
    :param chosen: the disturbances to draw from.
    :param seconds: length of the load.
    :return: the steps in the order of their times.
    """
    steps: list[Step] = []
    left: list[DrawSteps] = []
    draw.now = _FIRST_SECONDS
    while chosen and draw.now < seconds - _LAST_SECONDS:
        if not left:
            left = draw.source.sample(chosen, len(chosen))
        steps += left.pop()(draw)
        draw.now += draw.source.uniform(*draw.pause_seconds)
    return sorted(steps, key=attrgetter('at'))


@disturbances.register('stop')
def _draw_stop(draw: Draw) -> list[Step]:
    """Stop a node, which is started again."""
    return [_signal(draw.now, draw.vm(), signal.SIGTERM)]


@disturbances.register('repeated-stop')
def _draw_repeated_stop(draw: Draw) -> list[Step]:
    """Stop a node with two or three signals."""
    vm = draw.vm()
    count = draw.source.randint(1, 2)
    repeats = [draw.after(_SOON, 4) for _ in range(count)]
    return [_signal(at, vm, signal.SIGTERM) for at in (draw.now, *repeats)]


@disturbances.register('overlapping-stops')
def _draw_overlapping_stops(draw: Draw) -> list[Step]:
    """Stop several nodes whose grace periods overlap."""
    names = sorted(draw.service_by_vm)
    count = draw.source.randint(2, max(2, len(names) // 3))
    return [
        _signal(draw.after(0, 3), vm, signal.SIGTERM)
        for vm in draw.source.sample(names, count)
    ]


@disturbances.register('stop-while-starting')
def _draw_stop_while_starting(draw: Draw) -> list[Step]:
    """Stop a node, and again while its next process is starting."""
    vm = draw.vm()
    seconds = draw.source.uniform(_SOON, 4)
    return [
        Step(draw.now, 'signal-next', vm, signal.SIGTERM, seconds),
        _signal(draw.now, vm, signal.SIGTERM),
    ]


@disturbances.register('reload')
def _draw_reload(draw: Draw) -> list[Step]:
    """Send SIGHUP before and during a stop."""
    vm = draw.vm()
    stop_at = draw.after(_SOON, 2)
    return [
        _signal(draw.now, vm, signal.SIGHUP),
        _signal(stop_at, vm, signal.SIGTERM),
        _signal(stop_at + draw.source.uniform(_SOON, 4), vm, signal.SIGHUP),
    ]


@disturbances.register('removal')
def _draw_removal(draw: Draw) -> list[Step]:
    """Remove a VM: its backend server leaves, then its node is stopped.

    Some servers withdraw their announcement without a drain before it.

    :param draw: the state of the draw.
    :return: the steps, none if no service has a VM to spare.
    """
    counts = Counter(draw.service_by_vm.values())
    names = [
        name
        for name, service in sorted(draw.service_by_vm.items())
        if counts[service] > _KEPT_VMS
    ]
    if not names:
        return []
    vm = draw.source.choice(names)
    draw.service_by_vm.pop(vm)
    seconds = draw.source.uniform(2, 4)
    is_abrupt = draw.source.random() < _ABRUPT_SHARE
    return [Step(draw.now, 'remove', vm, int(is_abrupt), seconds)]


@disturbances.register('addition')
def _draw_addition(draw: Draw) -> list[Step]:
    """Add a VM with a node and a backend server.

    :param draw: the state of the draw.
    :return: the steps, none if there is no VM to add.
    """
    if not draw.spare_vms:
        return []
    vm, service = draw.spare_vms.pop(0)
    draw.service_by_vm[vm] = service
    return [Step(draw.now, 'add', vm)]


@disturbances.register('slow-servers')
def _draw_slow_servers(draw: Draw) -> list[Step]:
    """Slow down the servers of a service while nodes stop."""
    service = draw.source.choice(sorted(set(draw.service_by_vm.values())))
    names = sorted(draw.service_by_vm)
    vms = draw.source.sample(names, max(2, len(names) // _STOPPED_PART))
    slow = Step(
        draw.after(2, _LATEST_SLOWDOWN),
        'slow',
        service,
        seconds=draw.source.uniform(2, 6),
        factor=draw.source.uniform(2, 6),
    )
    stops = [_signal(draw.after(0, 2), vm, signal.SIGTERM) for vm in vms]
    return [slow, *stops]


@disturbances.register('freeze')
def _draw_freeze(draw: Draw) -> list[Step]:
    """Suspend a node for up to 2 s."""
    vm = draw.vm()
    return [
        _signal(draw.now, vm, signal.SIGSTOP),
        _signal(draw.after(0.5, 2), vm, signal.SIGCONT),
    ]


@disturbances.register('busy')
def _draw_busy(draw: Draw) -> list[Step]:
    """Keep processor cores busy while a node stops."""
    return [
        Step(
            draw.now,
            'busy',
            number=draw.source.randint(2, 6),
            seconds=draw.source.uniform(2, 5),
        ),
        _signal(draw.after(0, 2), draw.vm(), signal.SIGTERM),
    ]


def _signal(at: float, vm: str, number: int) -> Step:
    return Step(at, 'signal', vm, number)
