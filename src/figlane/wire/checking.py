"""Validates decoded JSON against types and reports all errors by path."""

from __future__ import annotations

import math
import types
from collections.abc import Collection
from typing import (
    Annotated,
    Any,
    TypeVar,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
import pyjson5

# Path of the document root.
ROOT = '$'

StructT = TypeVar('StructT', bound=msgspec.Struct)


class Problem(msgspec.Struct, frozen=True):
    """One validation error: the path of the value and a description."""

    path: str
    text: str

    def __str__(self) -> str:
        """Format the problem as ``path: text``."""
        return f'{self.path}: {self.text}'


class CheckError(ValueError):
    """A document does not match its type; lists all problems found."""

    def __init__(self, problems: list[Problem]) -> None:
        """Build the error message from the problems.

        :param problems: all problems, in the order of the document.
        """
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems


def parse_text(text: str) -> Any:
    """Parse JSON with comments; raises ``CheckError``.

    :param text: the JSON text.
    :return: plain lists, dicts and scalars.
    """
    try:
        return pyjson5.decode(text)
    except (pyjson5.Json5Exception, UnicodeError) as error:
        raise CheckError([Problem(ROOT, f'invalid JSON: {error}')]) from None


def check(raw: Any, document_type: type[StructT]) -> StructT:
    """Validate plain data and convert it; raises ``CheckError``.

    :param raw: plain lists, dicts and scalars.
    :param document_type: the type to convert to.
    :return: an instance of the type.
    """
    problems = _problems(raw, document_type, ROOT)
    if problems:
        raise CheckError(problems)
    try:
        return msgspec.convert(raw, document_type)
    except msgspec.ValidationError as error:
        raise CheckError([Problem(ROOT, str(error))]) from None


def check_value(raw: Any, expected: Any) -> Any:
    """Validate a single value against a type; raises ``CheckError``.

    :param raw: plain data.
    :param expected: the type, annotated with its constraints.
    :return: the value.
    """
    problems = _problems(raw, expected, ROOT)
    if problems:
        raise CheckError(problems)
    return msgspec.convert(raw, expected)


def _problems(raw: Any, expected: Any, path: str) -> list[Problem]:
    origin = get_origin(expected)
    if origin is Annotated and _is_container(expected.__origin__):
        expected = expected.__origin__
        origin = get_origin(expected)
    if _is_struct(expected) and isinstance(raw, dict):
        return _struct_problems(raw, expected, path)
    if origin in {list, tuple} and isinstance(raw, list):
        return _list_problems(raw, get_args(expected)[0], path)
    if origin is dict and isinstance(raw, dict):
        return _dict_problems(raw, get_args(expected), path)
    return _scalar_problems(raw, expected, path)


def _is_struct(expected: Any) -> bool:
    return isinstance(expected, type) and issubclass(expected, msgspec.Struct)


def _is_container(expected: Any) -> bool:
    return get_origin(expected) in {list, tuple, dict}


def _struct_problems(
    raw: dict[str, Any],
    expected: type[msgspec.Struct],
    path: str,
) -> list[Problem]:
    problems = []
    hints = get_type_hints(expected, include_extras=True)
    fields = msgspec.structs.fields(expected)
    field_by_name = {field.encode_name: field for field in fields}
    if expected.__struct_config__.forbid_unknown_fields:
        problems += _unknown_keys(raw, field_by_name, path)
    for name, entry in raw.items():
        field = field_by_name.get(name)
        if field is not None:
            problems += _problems(entry, hints[field.name], f'{path}.{name}')
    for name, field in field_by_name.items():
        if field.required and name not in raw:
            problems.append(Problem(f'{path}.{name}', 'missing required key'))
    return problems


def _unknown_keys(
    raw: dict[str, Any],
    known_names: Collection[str],
    path: str,
) -> list[Problem]:
    allowed = ', '.join(sorted(known_names))
    text = f'unknown key, allowed keys: {allowed}'
    return [
        Problem(f'{path}.{name}', text)
        for name in raw
        if name not in known_names
    ]


def _list_problems(raw: list[Any], expected: Any, path: str) -> list[Problem]:
    return [
        problem
        for index, entry in enumerate(raw)
        for problem in _problems(entry, expected, f'{path}[{index}]')
    ]


def _dict_problems(
    raw: dict[str, Any],
    arguments: tuple[Any, Any],
    path: str,
) -> list[Problem]:
    key_type, expected = arguments
    return [
        problem
        for name, entry in raw.items()
        for problem in (
            *_scalar_problems(name, key_type, f'{path}.{name}'),
            *_problems(entry, expected, f'{path}.{name}'),
        )
    ]


def _scalar_problems(raw: Any, expected: Any, path: str) -> list[Problem]:
    if get_origin(expected) in {Union, types.UnionType}:
        for option in get_args(expected):
            if _is_struct(option) and isinstance(raw, dict):
                return _struct_problems(raw, option, path)
    message = _scalar_error(raw)
    if message:
        return [Problem(path, message)]
    try:
        msgspec.convert(raw, expected)
    except msgspec.ValidationError as error:
        found = repr(raw)[:_MAX_QUOTED_LENGTH]
        return [Problem(path, f'{error}, found {found}')]
    return []


def _scalar_error(raw: Any) -> str:
    """Return why a scalar is invalid in any document, or an empty string."""
    if isinstance(raw, float) and not math.isfinite(raw):
        return f'not a finite number: {raw}'
    if not isinstance(raw, str):
        return ''
    try:
        raw.encode()
    except UnicodeEncodeError:
        return f'invalid Unicode text: {raw[:_MAX_QUOTED_LENGTH]!a}'
    return ''


# Longest part of an invalid value that an error message quotes, in characters.
_MAX_QUOTED_LENGTH = 60
