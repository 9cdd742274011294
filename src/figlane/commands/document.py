"""Documents as teams write them, and their differences."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from figlane.commands.client import CommandError
from figlane.commands.exit_code import ExitCode
from figlane.commands.result import CommandResult
from figlane.wire.checking import CheckError, Problem, check, parse_text
from figlane.wire.documents import CODEC_BY_KIND

# Kept by the client in the stored object, not by teams.
CHANGES = 'changes'
# What commands change; a file that leaves it out leaves it as it is.
_COMMAND_FIELDS = ('key_hashes', 'granted_at', 'taken_out')
_ABSENT = 'absent'
# Characters of a value that a line shows.
_SHORT_LENGTH = 60

Plain = dict[str, Any]


def load_document(path: Path, kind: str) -> Plain:
    """Read and check a document; raises ``CommandError`` with all errors.

    :param path: the file.
    :param kind: the document's kind.
    :return: the document as plain data, without its record of changes.
    """
    try:
        raw = parse_text(path.read_text(encoding='utf-8'))
        check(raw, CODEC_BY_KIND[kind].document_type)
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(problem_result(path, [str(error)])) from None
    except CheckError as error:
        problems = error.problems
        raise CommandError(problem_result(path, problems)) from None
    return without_changes(raw)


def problem_result(
    path: Path,
    problems: list[Problem] | list[str],
) -> CommandResult:
    """Make the result for a file with errors.

    :param path: the file.
    :param problems: every error.
    :return: the result.
    """
    plain = {
        'error': f'{path}: {len(problems)} errors',
        'problems': [msgspec.to_builtins(problem) for problem in problems],
    }
    lines = [f'{path}: {problem}' for problem in problems]
    return CommandResult(ExitCode.BAD_INPUT, lines, plain)


def without_changes(document: Plain) -> Plain:
    """Leave out the record of changes.

    :param document: the document.
    :return: a copy.
    """
    return {
        name: content for name, content in document.items() if name != CHANGES
    }


def with_command_fields(document: Plain, stored: Plain | None) -> Plain:
    """Fill in what commands change and the file leaves out.

    :param document: the file's document.
    :param stored: the document in the platform's service, or None.
    :return: the document to write.
    """
    kept = {
        name: stored[name]
        for name in _COMMAND_FIELDS
        if stored is not None and name in stored
    }
    return {**kept, **document}


def differences(before: Any, after: Any, path: str = '$') -> Iterator[str]:
    """Compare two documents.

    Items of lists are compared by their ``name`` where all have one.

    :param before: plain data, None for no document.
    :param after: plain data.
    :param path: where in the document, for the lines.
    :return: one line for each difference.
    """
    if before == after:
        return
    before, after = _by_name(before), _by_name(after)
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield f'{path}: {_short(before)} -> {_short(after)}'
        return
    if list(before) != list(after) and set(before) == set(after):
        yield f'{path}: order is {", ".join(after)}'
    added = [name for name in after if name not in before]
    for name in (*before, *added):
        yield from differences(
            before.get(name),
            after.get(name),
            f'{path}.{name}',
        )


def _by_name(content: Any) -> Any:
    if not isinstance(content, list) or not content:
        return content
    if not all(isinstance(entry, dict) for entry in content):
        return content
    by_name = {str(entry.get('name')): entry for entry in content}
    return by_name if len(by_name) == len(content) else content


def _short(content: Any) -> str:
    if content is None:
        return _ABSENT
    text = msgspec.json.encode(content).decode()
    if len(text) <= _SHORT_LENGTH:
        return text
    return f'{text[:_SHORT_LENGTH]}...'
