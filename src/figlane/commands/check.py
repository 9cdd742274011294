"""Command ``check``: validates a document offline."""

from __future__ import annotations

import argparse

from figlane.commands.arguments import add_document, add_examples
from figlane.commands.client import Client
from figlane.commands.document import load_document
from figlane.commands.exit_code import ExitCode
from figlane.commands.registry import command
from figlane.commands.result import CommandResult


def _configure(parser: argparse.ArgumentParser) -> None:
    add_document(parser)
    add_examples(
        parser,
        'figlane check examples/brazos-bend/services/bookings.json',
        'figlane check --kind domain temple.json --json',
    )


@command('check', _configure)
async def check_document(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Validate a document offline and report all errors.

    :param options: ``file`` and ``kind``.
    :param client: not used.
    :return: result of the command.
    """
    load_document(options.file, options.kind)
    text = f'{options.file}: no errors'
    return CommandResult(ExitCode.OK, [text], {'problems': []})
