"""Command ``drain``: drains one node."""

from __future__ import annotations

import argparse

from figlane.adapters.admin_client import call_admin
from figlane.adapters.http_exchange import HttpFailure
from figlane.adapters.platform_client import Unavailable
from figlane.commands.arguments import add_examples
from figlane.commands.client import Client
from figlane.commands.exit_code import ExitCode
from figlane.commands.nodes import platform_unavailable
from figlane.commands.registry import command
from figlane.commands.result import CommandResult, failure

_HTTP_OK = 200


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('node')
    parser.add_argument(
        '--address',
        metavar='IP:PORT',
        help="admin address of the node (default: read from the node's "
        'member object)',
    )
    add_examples(parser, 'figlane drain bookings-2')


@command('drain', _configure)
async def drain_node(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Drain a node: it finishes running calls and accepts no new ones.

    :param options: ``node`` and ``address``.
    :param client: context of the command.
    :return: result of the command.
    """
    address = options.address
    if address is None:
        stored = await client.platform.read('member', options.node)
        if isinstance(stored, Unavailable):
            return platform_unavailable(stored, hint='pass --address')
        if stored.value is None:
            text = f'node {options.node} does not exist'
            return failure(ExitCode.NOT_FOUND, text)
        address = stored.value['admin_address']
    answer = await call_admin(address, 'PUT', '/drain')
    if isinstance(answer, HttpFailure):
        return _not_drained(options.node, address, answer.reason)
    if answer[0] != _HTTP_OK:
        return _not_drained(options.node, address, f'status {answer[0]}')
    lines = [f'{options.node}: draining']
    return CommandResult(
        ExitCode.OK, lines, {'node': options.node, 'draining': True}
    )


def _not_drained(node: str, address: str, reason: str) -> CommandResult:
    text = f'node {node} at {address} could not be drained: {reason}'
    return failure(ExitCode.UNAVAILABLE, text)
