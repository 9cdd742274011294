"""Fault injection and operators' actions on the processes of a fleet."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable

from figlane.load.experiments.registry import Action, Fault
from figlane.registry import Registry
from standins.fleet import BackendOptions, Fleet, call

# Duration of the cold start of a restarted backend server.
_COLD_SECONDS = 5

ActionHandler = Callable[[Fleet, str], None]

actions: Registry[ActionHandler] = Registry('action')


def perform(fleet: Fleet, fault: Fault) -> None:
    """Carry out the action of a fault on its target.

    :param fleet: the processes.
    :param fault: the action and its target.
    """
    actions.find(fault.action)(fleet, fault.target)


@actions.register(Action.TAKE_OUT)
def take_out(fleet: Fleet, domain: str) -> None:
    """Take a failure domain out of service.

    :param fleet: the processes.
    :param domain: the failure domain.
    """
    _set_domain(fleet, domain, taken_out=True)


@actions.register(Action.RETURN)
def return_domain(fleet: Fleet, domain: str) -> None:
    """Return a failure domain to service.

    :param fleet: the processes.
    :param domain: the failure domain.
    """
    _set_domain(fleet, domain, taken_out=False)


@actions.register(Action.KILL)
def kill(fleet: Fleet, node_id: str) -> None:
    """Kill a node without a drain.

    :param fleet: the processes.
    :param node_id: the node.
    """
    fleet.process_by_name[node_id].signal(signal.SIGKILL)


@actions.register(Action.SUSPEND)
def suspend(fleet: Fleet, node_id: str) -> None:
    """Suspend a node's process.

    :param fleet: the processes.
    :param node_id: the node.
    """
    fleet.process_by_name[node_id].signal(signal.SIGSTOP)


@actions.register(Action.RESUME)
def resume(fleet: Fleet, node_id: str) -> None:
    """Resume a suspended node's process.

    :param fleet: the processes.
    :param node_id: the node.
    """
    fleet.process_by_name[node_id].signal(signal.SIGCONT)


@actions.register(Action.RESTART_BACKEND)
def restart_backend(fleet: Fleet, node_id: str) -> None:
    """Kill a node's backend server and start one that is cold.

    :param fleet: the processes.
    :param node_id: the node.
    """
    process = fleet.process_by_name[f'{node_id}-backend']
    process.signal(signal.SIGKILL)
    process.stop()
    options = fleet.options_by_node[node_id]
    cold = BackendOptions(options.slots, options.connections, _COLD_SECONDS)
    fleet.start_backend(node_id, fleet.service_by_node[node_id], cold)


@actions.register(Action.STORE_DOWN)
def store_down(fleet: Fleet, target: str) -> None:
    """Make the simulated platform refuse all requests.

    :param fleet: the processes.
    :param target: ignored.
    """
    _control_store(fleet, down=True)


@actions.register(Action.STORE_UP)
def store_up(fleet: Fleet, target: str) -> None:
    """Make the simulated platform accept requests again.

    :param fleet: the processes.
    :param target: ignored.
    """
    _control_store(fleet, down=False)


def _control_store(fleet: Fleet, *, down: bool) -> None:
    call(
        'PUT',
        f'http://{fleet.platform_address}/control',
        body=json.dumps({'down': down}).encode(),
    )


def _set_domain(fleet: Fleet, domain: str, *, taken_out: bool) -> None:
    content = {'domain': domain, 'taken_out': taken_out}
    fleet.put_object('domain', domain, content)
