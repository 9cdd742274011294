"""Runs experiments with the default policies and with baseline policies."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from figlane.load.experiments import faults, overload  # registers them
from figlane.load.experiments.outcome import Outcome, measure
from figlane.load.experiments.registry import (
    Action,
    Trial,
    experiment_by_name,
)
from figlane.load.plan import Plan
from figlane.load.report import Report
from standins.deployment import DEPLOYMENTS, entry_addresses, start_deployment
from standins.fleet import Fleet, call
from tools.experiments.actions import perform
from tools.experiments.bench import Bench, backend_options_by_node
from tools.experiments.load_process import send_load

REGISTERED_MODULES = (faults, overload)

_SEED = 7


def main() -> int:
    """Run the experiments named on the command line.

    :return: exit code, always 0.
    """
    options = _parser().parse_args()
    outcomes = []
    for name in options.names or sorted(experiment_by_name):
        for deployment in DEPLOYMENTS:
            if options.deployment in {deployment.name, 'both'}:
                outcomes += _compare(name, deployment, options)
    if options.save is not None:
        options.save.write_text(json.dumps(outcomes, indent=1) + '\n')
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='tools/experiment',
        description=__doc__,
    )
    parser.add_argument(
        'names',
        nargs='*',
        metavar='EXPERIMENT',
        help=f'by default all: {", ".join(sorted(experiment_by_name))}',
    )
    parser.add_argument(
        '--deployment',
        choices=['both', *(found.name for found in DEPLOYMENTS)],
        default='both',
    )
    parser.add_argument(
        '--repeat',
        type=int,
        default=1,
        help='number of runs with baseline and with default policies, in '
        'alternation',
    )
    parser.add_argument(
        '--only',
        choices=('baseline', 'policy'),
        help='run only with the baseline or only with the default policies',
    )
    parser.add_argument(
        '--save',
        type=Path,
        metavar='FILE',
        help='write the outcomes to a file as JSON',
    )
    return parser


def _compare(
    name: str,
    deployment: Any,
    options: argparse.Namespace,
) -> list[dict[str, Any]]:
    planned = experiment_by_name[name]()
    bench = Bench(deployment, planned.enforces_rate_limits)
    sides = {'baseline': planned.baseline, 'policy': {}}
    outcomes = []
    for side in tuple(sides) * options.repeat:
        if options.only not in {None, side}:
            continue
        outcome = _run(bench, planned.plan_trial(bench.site()), sides[side])
        outcomes.append(
            {
                'experiment': name,
                'deployment': deployment.name,
                'side': side,
                'policies': dict(sides[side]),
                **msgspec.to_builtins(outcome),
            }
        )
        _print_outcome(outcomes[-1])
    return outcomes


def _print_outcome(outcome: dict[str, Any]) -> None:
    for name, metric in outcome.items():
        _print_line(f'{name:26} {metric}')
    _print_line('')


def _run(bench: Bench, trial: Trial, policies: dict[str, str]) -> Outcome:
    with Fleet() as fleet:
        fleet.node_settings = {'policies': dict(policies)}
        documents = {
            service: bench.document(service)
            for service in bench.deployment.size_by_service
        }
        start_deployment(
            fleet, bench.deployment, backend_options_by_node(bench), documents
        )
        report = _send_load(fleet, trial)
        return measure(trial, report, _count_executions(fleet))


def _send_load(fleet: Fleet, trial: Trial) -> Report:
    plan = Plan(
        targets=_targets(fleet, trial),
        seconds=trial.seconds,
        sources=trial.sources,
        seed=_SEED,
    )
    return send_load(fleet, plan, lambda: _perform_faults(fleet, trial))


def _targets(fleet: Fleet, trial: Trial) -> list[str]:
    # Callers avoid entry nodes that will fail: the experiments measure calls
    # that a live entry node forwards to a failed exit node.
    failed_nodes = {
        fault.target
        for fault in trial.faults
        if fault.action in {Action.KILL, Action.SUSPEND}
    }
    addresses = entry_addresses(fleet)
    return [addresses[node] for node in addresses if node not in failed_nodes]


def _perform_faults(fleet: Fleet, trial: Trial) -> None:
    began_at = time.monotonic()
    for fault in trial.faults:
        time.sleep(max(0, began_at + fault.at - time.monotonic()))
        perform(fleet, fault)


def _count_executions(fleet: Fleet) -> dict[str, int]:
    run_count_by_token: dict[str, int] = {}
    for name, process in fleet.process_by_name.items():
        if not name.endswith('-backend'):
            continue
        url = f'http://{process.printed_addresses["address"]}/_control'
        for token, count in call('GET', url).decoded_body['runs'].items():
            previous_count = run_count_by_token.get(token, 0)
            run_count_by_token[token] = previous_count + count
    return run_count_by_token


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
