"""Exit codes of the ``figlane`` client."""

from __future__ import annotations

import enum
from types import MappingProxyType


@enum.unique
class ExitCode(enum.IntEnum):
    """Exit codes of all commands, except 130, which reports SIGINT."""

    OK = 0
    DIFFERENT = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_FOUND = 6
    NOT_IN_FORCE = 7


MEANING_BY_CODE = MappingProxyType(
    {
        ExitCode.OK: 'success, or no change was necessary',
        ExitCode.DIFFERENT: '`diff` found differences',
        ExitCode.BAD_INPUT: 'invalid command line or document; nothing was '
        'written',
        ExitCode.CONFLICT: 'version conflict with another change; nothing '
        'was written',
        ExitCode.UNAVAILABLE: 'the platform or the node did not answer; '
        'nothing was written',
        ExitCode.OUTCOME_UNKNOWN: 'no answer to the write; the change may '
        'have been written',
        ExitCode.NOT_FOUND: 'the named object does not exist',
        ExitCode.NOT_IN_FORCE: 'the change was accepted, but `--wait` timed '
        'out; the output lists the nodes that lag',
    }
)
