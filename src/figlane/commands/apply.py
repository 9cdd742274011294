"""Command ``apply``: writes a document to the platform's object store."""

from __future__ import annotations

import argparse
import functools

from figlane.commands.arguments import add_document, add_examples, add_wait
from figlane.commands.change import Edit
from figlane.commands.client import Client
from figlane.commands.document import load_document, with_managed_fields
from figlane.commands.registry import command
from figlane.commands.reporting import change_and_report
from figlane.commands.result import CommandResult


def _configure(parser: argparse.ArgumentParser) -> None:
    add_document(parser)
    add_wait(parser)
    parser.add_argument(
        '--if-version',
        type=int,
        metavar='VERSION',
        help='write only if this is the stored version, 0 for none '
        '(default: the version read when the command starts)',
    )
    add_examples(
        parser,
        'figlane apply bookings.json --wait',
        'figlane apply bookings.json --if-version 42 --json',
    )


@command('apply', _configure)
async def apply_document(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Write a document by a conditional update and show the differences.

    :param options: ``file``, ``kind``, ``if_version`` and ``wait``.
    :param client: context of the command.
    :return: result of the command.
    """
    document = load_document(options.file, options.kind)
    edit = Edit(
        kind=options.kind,
        name=document[options.kind],
        make_document=functools.partial(with_managed_fields, document),
        operator=client.operator,
        summary=f'apply {options.file.name}',
        if_version=options.if_version,
    )
    return await change_and_report(options, client, edit)
