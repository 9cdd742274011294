"""Command-line entry point of ``figlane-platform-node``."""

from __future__ import annotations

import argparse
import asyncio
import functools
import os
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec
import uvloop

from figlane.adapters.decision_log import Allow, allow_all_lines
from figlane.adapters.log import configure_log
from figlane.adapters.log_stream import LogStream
from figlane.composition import Node, NodePlan, new_identity
from figlane.entities.kind_feed import FollowKinds
from figlane.entities.member import FindContacts
from figlane.entities.world import Policies, RetryBounds
from figlane.garbage_collection import configure_garbage_collection
from figlane.platform.feed import CONFIGURATION_KIND, DOMAIN_KIND
from figlane.platform.interface import PlatformInterface
from figlane.platform.settings import (
    PlatformSettings,
    load_platform_settings,
)
from figlane.signals import handle_signals, ignore_reloads, ignore_signals
from figlane.wire.checking import CheckError

_SETTINGS_VARIABLE = 'FIGLANE_CONFIG'
_EXIT_OK = 0
_EXIT_BAD_SETTINGS = 2
# Number of importance levels that share a service's retry budget.
_IMPORTANCE_LEVELS = 2
# Attempts of a call that nodes may refuse for reasons of their own before the
# call fails. They are not charged to the retry budget, since no backend server
# has received the call.
_UNCHARGED_ATTEMPTS = 2
# Seconds between an answer of the store and the next watch, so that changes in
# quick succession are fetched together.
_WATCH_PAUSE_SECONDS = 0.2
# At the first start of the fleet, all nodes start within a second and no
# traffic comes for some seconds: they look for contacts one after the other,
# and the watchers read the configuration only then.
_FIRST_SPREAD_SECONDS = 2.0
_FIRST_READ_SECONDS = 6.0
# Seconds for which a node that is not a watcher waits for a configuration from
# its peers before it reads the store.
_PATIENCE_SECONDS = 1.0
# Share of the agreed retry ratio that nodes use. The rest covers retries of
# nested calls that are made by executions which are retries themselves.
_RETRY_RATIO_SHARE = 0.8
# Longest wait for the reader of the log at the end of the process, in seconds.
_LAST_LINES_SECONDS = 0.1


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a node until it receives SIGTERM or SIGINT.

    :param arguments: command-line arguments, by default those of the process.
    :return: exit code: 0 after a stop, 2 if the settings are invalid.
    """
    ignore_reloads()
    options = _argument_parser().parse_args(arguments)
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
    try:
        uvloop.run(_serve(settings, stream))
    finally:
        ignore_signals()
        stream.flush_now(_LAST_LINES_SECONDS)
    return _EXIT_OK


def create_platform_node(
    settings: PlatformSettings,
    loop: asyncio.AbstractEventLoop,
    allow_line: Allow = allow_all_lines,
) -> Node:
    """Create a node with the platform's interface.

    :param settings: validated settings.
    :param loop: the event loop that will run the node.
    :param allow_line: rate limit for the log lines of each event.
    :return: the node, whose sockets for peers are bound.
    """
    plan = NodePlan(
        identity=new_identity(settings.node_id, settings.failure_domain),
        peer=settings.peer,
        # On the platform, nested calls of a backend server do not name their
        # parent call. So a server's latency includes that of its nested calls
        # and is no measure of its own load: a latency-based concurrency limit
        # is of no use. Announcements contain the time left of a cold start,
        # which makes a ramp unnecessary.
        policies=Policies(rate='owner', limit='none', cold_start='none'),
        retry_bounds=RetryBounds(
            settings.retry_ratio * _RETRY_RATIO_SHARE,
            fleet_balance=settings.least_retries / _IMPORTANCE_LEVELS,
            free_retries=_UNCHARGED_ATTEMPTS,
        ),
        quota_bounds=settings.quota_bounds,
        disabled_routines=frozenset(('follow-platform', 'write-member')),
        allow_line=allow_line,
        initial_rows=(
            FindContacts(
                settings.failure_domains,
                _FIRST_SPREAD_SECONDS if settings.is_first_start else 0,
            ),
            FollowKinds(
                (CONFIGURATION_KIND, DOMAIN_KIND),
                _WATCH_PAUSE_SECONDS,
                _FIRST_READ_SECONDS if settings.is_first_start else 0,
                _PATIENCE_SECONDS,
            ),
        ),
    )
    return Node(
        plan,
        loop,
        functools.partial(PlatformInterface, settings),
    )


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='figlane-platform-node',
        description='Runs the figlane node on the platform.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        default=Path(os.environ.get(_SETTINGS_VARIABLE, 'settings.yaml')),
        metavar='FILE',
        help=f'YAML file; default: ${_SETTINGS_VARIABLE} or settings.yaml',
    )
    parser.add_argument(
        '--metrics-port',
        type=int,
        default=0,
        metavar='PORT',
        help='port for metrics, on the entry address; 0: any free port',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='validate the settings, report every error and exit',
    )
    return parser


async def _serve(settings: PlatformSettings, stream: LogStream) -> None:
    loop = asyncio.get_running_loop()
    stream.attach_loop(loop)
    node = create_platform_node(settings, loop, stream.allow)
    handle_signals(loop, node)
    await node.run()


if __name__ == '__main__':
    sys.exit(main())
