"""Access to the platform, and error and progress reporting for commands."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import os
import sys
from collections.abc import Mapping
from pathlib import Path

from figlane.adapters.platform_client import PlatformClient
from figlane.commands.exit_code import ExitCode
from figlane.commands.result import CommandResult, failure
from figlane.settings import Address, load_settings
from figlane.wire.checking import CheckError, Problem, check_value

PLATFORM_VARIABLE = 'FIGLANE_PLATFORM'


class CommandError(Exception):
    """Aborts a command with a result that is printed as its output."""

    def __init__(self, result: CommandResult) -> None:
        """Create an error.

        :param result: output and exit code of the aborted command.
        """
        super().__init__(result.lines)
        self.result = result


class Client:
    """Context of one command, which connects to the platform on first use."""

    __slots__ = ('_options', '_platform')

    def __init__(self, options: argparse.Namespace) -> None:
        """Create a client without opening connections.

        :param options: the parsed command line.
        """
        self._options = options
        self._platform: PlatformClient | None = None

    @property
    def platform(self) -> PlatformClient:
        """Return the client of the object store, created on first use.

        Raises ``CommandError`` if no valid address is configured.

        :return: the client.
        """
        if self._platform is None:
            address = platform_address(self._options, os.environ)
            loop = asyncio.get_running_loop()
            self._platform = PlatformClient(loop, address)
        return self._platform

    @property
    def operator(self) -> str:
        """Return the name of the operator, for the change log.

        :return: the value of ``--as``, by default the login name.
        """
        return self._options.operator or getpass.getuser()

    def progress(self, text: str) -> None:
        """Print the progress of a long command to standard error.

        :param text: one line without line break.
        """
        sys.stderr.write(f'{text}\n')
        sys.stderr.flush()

    def close(self) -> None:
        """Close the connections to the platform, if there are any."""
        if self._platform is not None:
            self._platform.close()


def platform_address(
    options: argparse.Namespace,
    environment: Mapping[str, str],
) -> str:
    """Determine the address of the platform's object store.

    Raises ``CommandError`` if there is no address or it is invalid.

    :param options: ``platform``, which takes precedence, and ``settings``.
    :param environment: environment variables; ``FIGLANE_PLATFORM`` is the
        fallback.
    :return: address as ``IP:port``.
    """
    try:
        return _address(options.platform, options.settings, environment)
    except CheckError as error:
        text = f'invalid platform address: {error}'
        raise CommandError(failure(ExitCode.BAD_INPUT, text)) from None


def _address(
    given: str | None,
    settings: Path | None,
    environment: Mapping[str, str],
) -> str:
    if given is None and settings is not None:
        return load_settings(settings).platform
    address = given or environment.get(PLATFORM_VARIABLE)
    if address is None:
        text = f'set --platform, --settings or {PLATFORM_VARIABLE}'
        raise CheckError([Problem('$', text)])
    return check_value(address, Address)
