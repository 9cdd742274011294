"""Runs the load generator in a separate process."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable

import msgspec

from figlane.load.plan import Plan
from figlane.load.report import Report
from standins.fleet import Fleet


def send_load(
    fleet: Fleet,
    plan: Plan,
    on_started: Callable[[], None] | None = None,
) -> Report:
    """Send the load of a plan and wait until it ends.

    :param fleet: the fleet whose folder stores the plan and the report.
    :param plan: the load.
    :param on_started: called once the load has started.
    :return: outcomes and latencies of the calls.
    """
    plan_path = fleet.folder / 'plan.json'
    report_path = fleet.folder / 'report.json'
    plan_path.write_bytes(msgspec.json.encode(plan))
    command = (
        sys.executable,
        '-m',
        'figlane.load.main',
        str(plan_path),
        f'--report={report_path}',
    )
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        if on_started is not None:
            on_started()
        process.stdout.read()
    return msgspec.json.decode(report_path.read_bytes(), type=Report)
