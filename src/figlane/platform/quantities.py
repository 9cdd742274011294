"""Decodes durations and tables in the platform's notation."""

from __future__ import annotations

import math
from typing import Any

_MS_PER_SECOND = 1000
_SECONDS_BY_UNIT = (('ms', 0.001), ('s', 1.0))


def parse_duration(text: Any) -> float:
    """Decode a duration; raises ``ValueError``.

    :param text: a number and its unit, such as ``1500ms`` or ``2.5s``.
    :return: the duration in seconds.
    """
    if not isinstance(text, str):
        raise ValueError(f'{text!r} is not a duration')
    for unit, factor in _SECONDS_BY_UNIT:
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * factor
    raise ValueError(f'{text!r} has no unit of time, ms or s')


def parse_milliseconds(text: bytes) -> float | None:
    """Decode the value of a header that holds a number of milliseconds.

    :param text: the value, empty if the header is missing.
    :return: the duration in seconds, 0 if the header is missing, and None if
        the value is no such number.
    """
    if not text:
        return 0
    return int(text) / _MS_PER_SECOND if text.isdigit() else None


def parse_rate(text: bytes) -> float:
    """Decode a rate; raises ``ValueError``.

    :param text: a decimal number that is not negative.
    :return: the number, without a unit.
    """
    rate = float(text)
    if not math.isfinite(rate) or rate < 0:
        raise ValueError(f'{text!r} is not a rate')
    return rate


def parse_table_rows(table: Any) -> list[dict[str, Any]]:
    """Decode a list of entries that is written as a table.

    :param table: field names in ``columns`` and lists of values in ``rows``;
        a value of None marks a field that is not set.
    :return: a dictionary for each row, without fields that are not set.
    """
    if not table:
        return []
    columns = table['columns']
    return [
        {
            column: value
            for column, value in zip(columns, row_values, strict=True)
            if value is not None
        }
        for row_values in table['rows']
    ]
