"""Entry point of ``figlane-platform-node``."""

from __future__ import annotations

import argparse
import asyncio
import functools
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
import structlog
import uvloop

from figlane.adapters.decision_log import Allow, allow_every_line
from figlane.adapters.log import configure_log
from figlane.adapters.log_stream import LogStream
from figlane.composition import Node, NodePlan, new_identity
from figlane.entities.kind_feed import FollowKinds
from figlane.entities.world import Policies, RetryBounds
from figlane.garbage_collection import configure_garbage_collection
from figlane.platform.face import PlatformFace
from figlane.platform.feed import CONFIGURATION, DOMAIN, MEMBER
from figlane.platform.settings import (
    PlatformSettings,
    load_platform_settings,
)
from figlane.wire.checking import CheckError

_log = structlog.get_logger()

_SETTINGS_VARIABLE = 'FIGLANE_CONFIG'
_EXIT_OK = 0
_EXIT_BAD_SETTINGS = 2
# Nodes among which the fixed part of a service's retries is divided; a larger
# fleet may use more than its part only where all nodes retry at once.
_USUAL_NODES = 18
# Importances among whose calls a service's retries are divided.
_IMPORTANCES = 2
# Nodes that may refuse a call for their own reasons before it is given up.
_FREE_OFFERS = 2
# Seconds between two looks at the records of members. Nodes tell each other
# of new ones meanwhile; without a pause, each start of a node costs a call of
# every other one.
_MEMBER_PAUSE = 1.0
# Part of the agreed ratio of retries that nodes use; the rest is for repeats
# by runs that were repeats themselves.
_RATIO_PART = 0.8


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a node until it is told to stop.

    :param arguments: command line, by default the process's own.
    :return: exit code: 0 after a stop, 2 where the settings are wrong.
    """
    options = _parser().parse_args(arguments)
    try:
        settings = load_platform_settings(options.settings)
    except CheckError as error:
        for problem in error.problems:
            sys.stderr.write(f'{options.settings}: {problem}\n')
        return _EXIT_BAD_SETTINGS
    if options.check:
        sys.stdout.write(f'{options.settings}: no errors\n')
        return _EXIT_OK
    settings = msgspec.structs.replace(
        settings,
        metrics_port=options.metrics_port,
    )
    stream = LogStream(sys.stdout.fileno())
    configure_log('json', stream)
    configure_garbage_collection()
    uvloop.run(_serve(settings, stream))
    stream.flush_now()
    return _EXIT_OK


def platform_node(
    settings: PlatformSettings,
    loop: asyncio.AbstractEventLoop,
    allow_line: Allow = allow_every_line,
) -> Node:
    """Make a node with the platform's interface.

    :param settings: checked settings.
    :param loop: the event loop that is to run the node.
    :param allow_line: bounds the lines of each event in the log.
    :return: the node; the sockets towards peers are bound.
    """
    plan = NodePlan(
        identity=new_identity(settings.node_id, settings.failure_domain),
        peer=settings.peer,
        # Latencies include those of calls that a backend server makes, which
        # name no parent, so that they tell nothing of its own load. How long a
        # cold start goes on is announced, so that no ramp has to find out.
        policies=Policies(rate='demand', limit='none', cold_start='none'),
        retry_bounds=RetryBounds(
            settings.retry_ratio * _RATIO_PART,
            max(1, settings.least_retries / _USUAL_NODES / _IMPORTANCES),
            _FREE_OFFERS,
        ),
        quota_bounds=settings.quota_bounds,
        without=frozenset(('follow-platform',)),
        allow_line=allow_line,
        initial_rows=(
            FollowKinds((CONFIGURATION, DOMAIN)),
            FollowKinds((MEMBER,), _MEMBER_PAUSE),
        ),
    )
    return Node(
        plan,
        loop,
        functools.partial(PlatformFace, settings),
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='figlane-platform-node',
        description='Runs the figlane node on the platform.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        default=Path(os.environ.get(_SETTINGS_VARIABLE, 'settings.yaml')),
        metavar='FILE',
        help=f'settings, YAML; by default what {_SETTINGS_VARIABLE} names',
    )
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=0,
        metavar='PORT',
        help='where metrics are served, at the address of callers; 0: any',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='report every error in the settings and exit',
    )
    return parser


async def _serve(settings: PlatformSettings, stream: LogStream) -> None:
    loop = asyncio.get_running_loop()
    stream.use(loop)
    node = platform_node(settings, loop, stream.allow)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    await node.run()


def _note_reload() -> None:
    # Addresses are bound for the life of the process; a change of them
    # comes into force at its next start.
    _log.info('settings_changed')


if __name__ == '__main__':
    sys.exit(main())
