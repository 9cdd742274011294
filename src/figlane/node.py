"""Command-line entry point of ``figlane-node``."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop

from figlane.adapters.log import configure_log
from figlane.adapters.native_interface import NativeInterface
from figlane.composition import Node, NodePlan, new_identity
from figlane.entities.world import Policies
from figlane.garbage_collection import configure_garbage_collection
from figlane.policy_names import check_policies
from figlane.settings import NodeSettings, load_settings
from figlane.signals import handle_signals, ignore_reloads, ignore_signals
from figlane.wire.checking import CheckError

_EXIT_OK = 0
_EXIT_BAD_SETTINGS = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a node until SIGTERM or SIGINT.

    :param arguments: command-line arguments, by default ``sys.argv[1:]``.
    :return: exit code: 0 after a stop, 2 if the settings are invalid.
    """
    ignore_reloads()
    options = _parser().parse_args(arguments)
    try:
        settings = load_settings(options.settings)
        check_policies(settings)
    except CheckError as error:
        for problem in error.problems:
            sys.stderr.write(f'{options.settings}: {problem}\n')
        return _EXIT_BAD_SETTINGS
    if options.check:
        sys.stdout.write(f'{options.settings}: no errors\n')
        return _EXIT_OK
    configure_log(settings.telemetry.log_format)
    configure_garbage_collection()
    try:
        uvloop.run(_serve(settings))
    finally:
        ignore_signals()
    return _EXIT_OK


def make_node(settings: NodeSettings, loop: asyncio.AbstractEventLoop) -> Node:
    """Create a node that serves figlane's native HTTP interface.

    :param settings: validated settings.
    :param loop: the event loop that runs the node.
    :return: the node; its peer sockets are bound.
    """
    plan = NodePlan(
        identity=new_identity(settings.node_id, settings.failure_domain),
        peer=settings.peer,
        advertised=settings.peer_advertised,
        seeds=tuple(settings.seeds),
        policies=Policies(**msgspec.structs.asdict(settings.policies)),
        telemetry=settings.telemetry,
    )
    return Node(
        plan,
        loop,
        lambda context: NativeInterface(
            settings,
            context.world,
            context.loop,
            context.deliver,
        ),
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='figlane-node',
        description='Run a figlane node next to one backend server.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        metavar='FILE',
        help='settings file (JSON with comments)',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings, report all errors and exit',
    )
    return parser


async def _serve(settings: NodeSettings) -> None:
    loop = asyncio.get_running_loop()
    node = make_node(settings, loop)
    handle_signals(loop, node)
    await node.run()


if __name__ == '__main__':
    sys.exit(main())
