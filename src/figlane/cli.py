"""Command-line client for operators of figlane."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence

from figlane.commands import (  # importing registers the commands
    apply,
    check,
    diff,
    domain,
    drain,
    explain,
    history,
    key,
    status,
)
from figlane.commands.arguments import add_common
from figlane.commands.client import Client, CommandError
from figlane.commands.exit_code import ExitCode
from figlane.commands.registry import configurers, runners, summary_of
from figlane.commands.result import CommandResult, print_result

REGISTERED_MODULES = (
    apply,
    check,
    diff,
    domain,
    drain,
    explain,
    history,
    key,
    status,
)

_EXIT_INTERRUPTED = 130


def main(arguments: Sequence[str] | None = None) -> int:
    """Parse the command line and run the command that it names.

    :param arguments: command line arguments, by default ``sys.argv[1:]``.
    :return: exit code, one of ``ExitCode``, or 130 after SIGINT.
    """
    options = build_parser().parse_args(arguments)
    try:
        result = asyncio.run(_run(options))
    except KeyboardInterrupt:
        return _EXIT_INTERRUPTED
    print_result(result, as_json=options.json)
    return int(result.exit_code)


async def _run(options: argparse.Namespace) -> CommandResult:
    client = Client(options)
    try:
        return await runners.find(options.command)(options, client)
    except CommandError as error:
        return error.result
    finally:
        client.close()


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser with a subparser for each command.

    :return: the parser.
    """
    codes = ', '.join(
        f'{code.value} {code.name.lower().replace("_", "-")}'
        for code in ExitCode
    )
    client_parser = argparse.ArgumentParser(
        prog='figlane',
        description=__doc__,
        epilog=f'exit codes: {codes}',
    )
    commands = client_parser.add_subparsers(
        dest='command',
        required=True,
        metavar='COMMAND',
    )
    for name in runners.by_key:
        summary = summary_of(name)
        _configure(
            name,
            commands.add_parser(name, help=summary, description=summary),
        )
    return client_parser


def command_parser(name: str) -> argparse.ArgumentParser:
    """Build a parser for one command, used to generate reference pages.

    :param name: name of the command.
    :return: the parser.
    """
    return _configure(
        name,
        argparse.ArgumentParser(f'figlane {name}', add_help=False),
    )


def _configure(
    name: str,
    subparser: argparse.ArgumentParser,
) -> argparse.ArgumentParser:
    configurers.find(name)(subparser)
    add_common(subparser)
    return subparser


if __name__ == '__main__':
    sys.exit(main())
