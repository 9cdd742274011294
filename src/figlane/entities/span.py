"""Trace spans with the ids of W3C Trace Context."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

_HEX_BASE = 16
_VERSION = '00'
_FIELD_LENGTHS = (2, 32, 16, 2)
_HEXADECIMAL = frozenset('0123456789abcdef')


@enum.unique
class Hop(enum.Enum):
    """Part of the path of a call that a span covers."""

    ENTRY = 'entry'
    EXIT = 'exit'


@dataclass(slots=True, frozen=True)
class TraceContext:
    """Content of a ``traceparent`` header."""

    trace_id: str
    span_id: str
    is_sampled: bool = True

    def header(self) -> str:
        """Format the ``traceparent`` header.

        :return: the value of the header.
        """
        flags = '01' if self.is_sampled else '00'
        return f'{_VERSION}-{self.trace_id}-{self.span_id}-{flags}'


@dataclass(slots=True)
class Span:
    """The span of one hop; times are in seconds of the node's clock.

    ``parent_id`` is empty for the root span of a trace.
    """

    context: TraceContext
    hop: Hop
    started_at: float
    parent_id: str = ''
    ended_at: float = 0
    outcome: str = ''
    attributes: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Tracing:
    """Tracing settings; ``ratio`` of new traces is sampled, from 0 to 1."""

    is_on: bool = False
    ratio: float = 1.0


def parse_trace_parent(header: str) -> TraceContext | None:
    """Parse a ``traceparent`` header.

    :param header: the value of the header.
    :return: the trace context, or None if the header is malformed.
    """
    parts = header.split('-')
    lengths = tuple(len(part) for part in parts[: len(_FIELD_LENGTHS)])
    if lengths != _FIELD_LENGTHS or not _HEXADECIMAL.issuperset(
        ''.join(parts[: len(_FIELD_LENGTHS)]),
    ):
        return None
    version, trace_id, span_id, flags = parts[: len(_FIELD_LENGTHS)]
    is_longer = len(parts) > len(_FIELD_LENGTHS)
    if version == 'ff' or (version == _VERSION and is_longer):
        return None
    if not _number(trace_id) or not _number(span_id):
        return None
    return TraceContext(trace_id, span_id, bool(_number(flags) & 1))


def _number(digits: str) -> int:
    return int(digits, base=_HEX_BASE)
