"""Registry of the commands of the ``figlane`` client."""

from __future__ import annotations

import argparse
from collections.abc import Awaitable, Callable

from figlane.commands.client import Client
from figlane.commands.result import CommandResult
from figlane.registry import Registry

Configure = Callable[[argparse.ArgumentParser], None]
Run = Callable[[argparse.Namespace, Client], Awaitable[CommandResult]]

# ``command`` registers each command in both, under the same key.
runners: Registry[Run] = Registry('command')
configurers: Registry[Configure] = Registry('arguments of command')


def command(name: str, configure: Configure) -> Callable[[Run], Run]:
    """Create a decorator that registers a function as a command.

    The first line of the function's docstring is the summary in the help.

    :param name: name of the command.
    :param configure: adds the command's arguments and examples to its
        parser.
    :return: the decorator.
    """
    configurers.register(name)(configure)
    return runners.register(name)


def summary_of(name: str) -> str:
    """Return the one-line summary of a command for the help.

    :param name: name of the command.
    :return: the first line of the function's docstring.
    """
    return (runners.find(name).__doc__ or '').partition('\n')[0]
