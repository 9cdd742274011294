"""Command line of the load generator, ``figlane-load``."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop

from figlane.load.composition import run_plan
from figlane.load.plan import load_plan
from figlane.load.report import format_table
from figlane.wire.checking import CheckError

_EXIT_OK = 0
_EXIT_BAD_PLAN = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Generate the load of a plan and print a report.

    :param arguments: command line arguments, by default ``sys.argv[1:]``.
    :return: exit code, 2 if the plan cannot be read or is invalid.
    """
    options = _parser().parse_args(arguments)
    try:
        plan = load_plan(options.plan)
    except OSError as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_BAD_PLAN
    except CheckError as error:
        for problem in error.problems:
            sys.stderr.write(f'{options.plan}: {problem}\n')
        return _EXIT_BAD_PLAN
    # Processes that start the load generator wait for this line.
    sys.stdout.write('load started\n')
    sys.stdout.flush()
    report = uvloop.run(run_plan(plan))
    if options.report is not None:
        options.report.write_bytes(msgspec.json.encode(report))
    sys.stdout.write(f'{format_table(report)}\n')
    return _EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='figlane-load',
        description='Sends open-loop load to nodes and reports the outcomes.',
    )
    parser.add_argument(
        'plan',
        type=Path,
        help='plan of the load, JSON with comments',
    )
    parser.add_argument(
        '--report',
        type=Path,
        metavar='FILE',
        help='also write the report to this file as JSON',
    )
    return parser


if __name__ == '__main__':
    sys.exit(main())
