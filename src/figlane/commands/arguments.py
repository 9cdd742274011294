"""Command-line arguments shared by several commands."""

from __future__ import annotations

import argparse
from pathlib import Path

# Kinds of documents that are edited with this client; nodes write the others.
EDITABLE_KINDS = ('service', 'organisation', 'domain')

DEFAULT_WAIT_SECONDS = 30.0


def add_common(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that every command accepts.

    :param parser: the command's parser.
    """
    parser.add_argument(
        '--json',
        action='store_true',
        help='print one JSON object instead of text',
    )
    parser.add_argument(
        '--platform',
        metavar='IP:PORT',
        help="address of the platform's object store (default: taken from "
        '--settings, else from the environment variable FIGLANE_PLATFORM)',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        metavar='FILE',
        help="settings file of a node, from which the platform's address is "
        'read',
    )
    parser.add_argument(
        '--as',
        dest='operator',
        metavar='NAME',
        help='author recorded for the change (default: the login name)',
    )


def add_examples(parser: argparse.ArgumentParser, *examples: str) -> None:
    """Show example command lines at the end of a command's help.

    :param parser: the command's parser.
    :param examples: complete command lines.
    """
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    lines = '\n'.join(f'  {example}' for example in examples)
    parser.epilog = f'examples:\n{lines}'


def add_document(parser: argparse.ArgumentParser) -> None:
    """Add the arguments for a document's file and kind.

    :param parser: the command's parser.
    """
    parser.add_argument(
        'file',
        type=Path,
        help='document, JSON with comments',
    )
    parser.add_argument(
        '--kind',
        choices=EDITABLE_KINDS,
        default=EDITABLE_KINDS[0],
        help='kind of the document (default: %(default)s)',
    )


def add_wait(parser: argparse.ArgumentParser) -> None:
    """Add the options for waiting until a change is in force.

    :param parser: the command's parser.
    """
    parser.add_argument(
        '--wait',
        action='store_true',
        help='wait until the version is in force on every live node',
    )
    parser.add_argument(
        '--wait-seconds',
        type=float,
        default=DEFAULT_WAIT_SECONDS,
        metavar='SECONDS',
        help='time limit for --wait (default: %(default)s)',
    )
