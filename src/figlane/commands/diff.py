"""Command ``diff``: compares a document with the stored one."""

from __future__ import annotations

import argparse

from figlane.adapters.platform_client import Unavailable
from figlane.commands.arguments import add_document, add_examples
from figlane.commands.client import Client
from figlane.commands.document import (
    differences,
    load_document,
    with_managed_fields,
    without_change_log,
)
from figlane.commands.exit_code import ExitCode
from figlane.commands.nodes import platform_unavailable
from figlane.commands.registry import command
from figlane.commands.result import CommandResult


def _configure(parser: argparse.ArgumentParser) -> None:
    add_document(parser)
    add_examples(parser, 'figlane diff bookings.json')


@command('diff', _configure)
async def diff_document(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Show what apply would change; exit code 1 if there are differences.

    :param options: ``file`` and ``kind``.
    :param client: context of the command.
    :return: result of the command.
    """
    document = load_document(options.file, options.kind)
    name = document[options.kind]
    stored = await client.platform.read(options.kind, name)
    if isinstance(stored, Unavailable):
        return platform_unavailable(stored)
    before = without_change_log(stored.value) if stored.value else None
    after = with_managed_fields(document, stored.value)
    lines = list(differences(before, after))
    json_data = {
        'object': f'{options.kind}/{name}',
        'version': stored.version,
        'differences': lines,
    }
    text = f'{options.kind}/{name}: {len(lines)} differences from version'
    return CommandResult(
        ExitCode.DIFFERENT if lines else ExitCode.OK,
        [*lines, f'{text} {stored.version}'],
        json_data,
    )
