"""Command ``status``: shows nodes and the versions in force."""

from __future__ import annotations

import argparse
import asyncio
import itertools
from collections.abc import Iterator
from typing import Any

from figlane.adapters.platform_client import StoredObject
from figlane.commands.arguments import EDITABLE_KINDS, add_examples
from figlane.commands.client import Client
from figlane.commands.exit_code import ExitCode
from figlane.commands.nodes import FleetView, NodeView, read_fleet
from figlane.commands.registry import command
from figlane.commands.result import CommandResult, print_result

_NODE_LINE = '{node:20} {failure_domain:14} {service:18} {phase:10}'
_LOAD_LINE = '{running:>4} running {queued:>4} queued {limit:>5} limit'


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--watch',
        type=float,
        metavar='SECONDS',
        help='refresh at this interval until interrupted',
    )
    parser.add_argument(
        '--count',
        type=int,
        metavar='TIMES',
        help='with --watch: stop after showing the status this many times',
    )
    add_examples(
        parser,
        'figlane status',
        'figlane status --watch 2',
        'figlane status --json',
    )


@command('status', _configure)
async def show_status(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Show nodes, load, versions in force and organisations.

    :param options: ``watch`` and ``count``.
    :param client: context of the command.
    :return: the result of the last refresh.
    """
    for number in itertools.count(1):
        result = describe_fleet(await read_fleet(client.platform))
        if options.watch is None or number == options.count:
            break
        print_result(result, as_json=options.json)
        await asyncio.sleep(options.watch)
    return result


def describe_fleet(view: FleetView) -> CommandResult:
    """Build the output of the command from a view of the fleet.

    :param view: the view.
    :return: result of the command.
    """
    nodes = [_describe_node(view, node) for node in view.nodes]
    documents = [
        _describe_object(view, stored)
        for stored in view.objects
        if stored.kind in EDITABLE_KINDS
    ]
    json_data = {
        'nodes': nodes,
        'objects': documents,
        'organisations': [
            {
                'organisation': stored.name,
                'keys': len(stored.value.get('key_hashes', ())),
            }
            for stored in view.objects
            if stored.kind == 'organisation'
        ],
    }
    lines = [*_node_lines(nodes), *_object_lines(documents)]
    return CommandResult(ExitCode.OK, lines, json_data)


def _describe_node(view: FleetView, node: NodeView) -> dict[str, Any]:
    state = node.state or {}
    load = state.get('load', {})
    return {
        'node': node.id,
        'failure_domain': node.member['failure_domain'],
        'service': node.member.get('service') or '-',
        'phase': _phase(view, node),
        'running': load.get('running', 0),
        'queued': load.get('queued', 0),
        'limit': load.get('limit', 0),
        'versions': state.get('versions', {}),
    }


def _phase(view: FleetView, node: NodeView) -> str:
    if node.state is None:
        return 'silent' if view.is_live(node) else 'dead'
    if node.member.get('leaving') or node.state.get('draining'):
        return 'leaving'
    return 'serving' if node.state.get('backend_servers') else 'idle'


def _describe_object(view: FleetView, stored: StoredObject) -> dict[str, Any]:
    key = f'{stored.kind}/{stored.name}'
    live = view.live_nodes()
    lagging = [node.id for node in live if node.version(key) < stored.version]
    return {
        'object': key,
        'version': stored.version,
        'taken_out': bool(stored.value.get('taken_out')),
        'in_force': len(live) - len(lagging),
        'lagging': lagging,
    }


def _node_lines(nodes: list[dict[str, Any]]) -> Iterator[str]:
    yield f'{len(nodes)} nodes'
    for node in nodes:
        yield f'  {_NODE_LINE.format(**node)} {_LOAD_LINE.format(**node)}'


def _object_lines(documents: list[dict[str, Any]]) -> Iterator[str]:
    yield f'{len(documents)} documents'
    for document in documents:
        line = (
            f'  {document["object"]:32} version {document["version"]:<6} '
            f'in force on {document["in_force"]} nodes'
        )
        if document['taken_out']:
            line = f'{line}, taken out'
        if document['lagging']:
            line = f'{line}, lagging: {", ".join(document["lagging"])}'
        yield line
