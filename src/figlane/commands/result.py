"""Results of commands, printed as text or as JSON."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from typing import Any

import msgspec

from figlane.commands.exit_code import ExitCode


@dataclass(slots=True)
class CommandResult:
    """Exit code and output of a command.

    ``json_data`` is printed with ``--json``, ``lines`` without it.
    """

    exit_code: ExitCode
    lines: list[str] = field(default_factory=list)
    json_data: dict[str, Any] = field(default_factory=dict)


def failure(exit_code: ExitCode, text: str, **json_data: Any) -> CommandResult:
    """Build the result of a failed command.

    :param exit_code: exit code of the failure.
    :param text: error message of one line.
    :param json_data: additional fields for ``--json``.
    :return: result of the command.
    """
    return CommandResult(exit_code, [text], {'error': text, **json_data})


def print_result(result: CommandResult, *, as_json: bool) -> None:
    """Print a result to standard output, text of failures to standard error.

    :param result: the result.
    :param as_json: print one JSON object on one line instead of text.
    """
    if as_json:
        json_data = {**result.json_data, 'exit_code': int(result.exit_code)}
        sys.stdout.write(f'{msgspec.json.encode(json_data).decode()}\n')
        sys.stdout.flush()
        return
    is_failure = result.exit_code > ExitCode.DIFFERENT
    stream = sys.stderr if is_failure else sys.stdout
    for line in result.lines:
        stream.write(f'{line}\n')
    stream.flush()
