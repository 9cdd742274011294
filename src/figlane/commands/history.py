"""Command ``history``: shows the change log of a document."""

from __future__ import annotations

import argparse

from figlane.adapters.platform_client import StoredObject, Unavailable
from figlane.commands.arguments import EDITABLE_KINDS, add_examples
from figlane.commands.change import HISTORY_LENGTH
from figlane.commands.client import Client
from figlane.commands.document import CHANGE_LOG, JsonObject
from figlane.commands.exit_code import ExitCode
from figlane.commands.nodes import platform_unavailable
from figlane.commands.registry import command
from figlane.commands.result import CommandResult, failure


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'name',
        help='name of the service, organisation or domain',
    )
    parser.add_argument(
        '--kind',
        choices=EDITABLE_KINDS,
        default=EDITABLE_KINDS[0],
        help='kind of the document (default: %(default)s)',
    )
    add_examples(
        parser,
        'figlane history bookings',
        'figlane history waco --kind organisation --json',
    )


@command('history', _configure)
async def show_history(
    options: argparse.Namespace,
    client: Client,
) -> CommandResult:
    """Show version, time and author of the last changes to a document.

    :param options: ``name`` and ``kind``.
    :param client: context of the command.
    :return: result of the command.
    """
    key = f'{options.kind}/{options.name}'
    stored = await client.platform.read(options.kind, options.name)
    if isinstance(stored, Unavailable):
        return platform_unavailable(stored)
    if stored.value is None:
        return failure(ExitCode.NOT_FOUND, f'{key}: document does not exist')
    entries = change_log_of(stored)
    lines = [
        f'{entry["version"]:>8}  {entry["at"]}  {entry["by"]}: '
        f'{entry["summary"]}'
        for entry in entries
    ]
    lines.append(
        f'{key}: version {stored.version}; the change log keeps the last '
        f'{HISTORY_LENGTH} changes, without former contents',
    )
    json_data = {'object': key, 'version': stored.version, 'changes': entries}
    return CommandResult(ExitCode.OK, lines, json_data)


def change_log_of(stored: StoredObject) -> list[JsonObject]:
    """List the entries of an object's change log with their versions.

    :param stored: an object that is not deleted.
    :return: the entries, newest first, each with the version that it created.
    """
    entries = []
    version = stored.version
    for change in stored.value.get(CHANGE_LOG, ()):
        entries.append({'version': version, **change})
        version = change['replaces']
    return entries
