"""Reading, normalising and comparing documents."""

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

# Change log that this client maintains in the stored object; it is no part of
# the documents that teams write.
CHANGE_LOG = 'changes'
# Fields that other commands set, such as keys. If a file omits one, its stored
# value is kept.
_MANAGED_FIELDS = ('key_hashes', 'granted_at', 'taken_out')
_ABSENT = 'absent'
# Longer values are truncated to this number of characters.
_MAX_VALUE_LENGTH = 60

JsonObject = dict[str, Any]


def load_document(path: Path, kind: str) -> JsonObject:
    """Read and validate a document.

    Raises ``CommandError`` with all errors of the file.

    :param path: the file.
    :param kind: the document's kind.
    :return: the decoded document without its change log.
    """
    try:
        raw = parse_text(path.read_text(encoding='utf-8'))
        check(raw, CODEC_BY_KIND[kind].document_type)
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(problem_result(path, [str(error)])) from None
    except CheckError as error:
        problems = error.problems
        raise CommandError(problem_result(path, problems)) from None
    return without_change_log(raw)


def problem_result(
    path: Path,
    problems: list[Problem] | list[str],
) -> CommandResult:
    """Build the result for a file with errors.

    :param path: the file.
    :param problems: all errors of the file.
    :return: result of the command.
    """
    json_data = {
        'error': f'{path}: {len(problems)} errors',
        'problems': [msgspec.to_builtins(problem) for problem in problems],
    }
    lines = [f'{path}: {problem}' for problem in problems]
    return CommandResult(ExitCode.BAD_INPUT, lines, json_data)


def without_change_log(document: JsonObject) -> JsonObject:
    """Remove the change log from a document.

    :param document: the document, which is not modified.
    :return: a copy without the change log.
    """
    return {
        name: content
        for name, content in document.items()
        if name != CHANGE_LOG
    }


def with_managed_fields(
    document: JsonObject, stored: JsonObject | None
) -> JsonObject:
    """Add stored values of fields that commands set and the file omits.

    :param document: the document as read from the file.
    :param stored: the stored document, or None if there is none.
    :return: the document to write.
    """
    kept = {
        name: stored[name]
        for name in _MANAGED_FIELDS
        if stored is not None and name in stored
    }
    return {**kept, **document}


def differences(before: Any, after: Any, path: str = '$') -> Iterator[str]:
    """Compare two documents recursively.

    List items are matched by ``name`` if each has a distinct one; otherwise
    the lists are compared as a whole.

    :param before: decoded JSON, None for no document.
    :param after: decoded JSON.
    :param path: path of the compared values, which starts each line.
    :return: one line for each difference.
    """
    if before == after:
        return
    before, after = _index_by_name(before), _index_by_name(after)
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield f'{path}: {_abbreviate(before)} -> {_abbreviate(after)}'
        return
    if list(before) != list(after) and set(before) == set(after):
        yield f'{path}: order changed to {", ".join(after)}'
    added = [name for name in after if name not in before]
    for name in (*before, *added):
        yield from differences(
            before.get(name),
            after.get(name),
            f'{path}.{name}',
        )


def _index_by_name(content: Any) -> Any:
    if not isinstance(content, list) or not content:
        return content
    if not all(isinstance(entry, dict) for entry in content):
        return content
    by_name = {str(entry.get('name')): entry for entry in content}
    return by_name if len(by_name) == len(content) else content


def _abbreviate(content: Any) -> str:
    if content is None:
        return _ABSENT
    text = msgspec.json.encode(content).decode()
    if len(text) <= _MAX_VALUE_LENGTH:
        return text
    return f'{text[:_MAX_VALUE_LENGTH]}...'
