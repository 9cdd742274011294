"""Processor time and memory of a process, read from the proc filesystem."""

from __future__ import annotations

import os
from pathlib import Path

_KIB = 1024
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
# Field numbers of user and system time after the command's parentheses in
# /proc/PID/stat.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


def processor_seconds(process_id: int) -> float:
    """Read the processor time that a process has used.

    :param process_id: the process's id.
    :return: user and system time in seconds.
    """
    stat = Path(f'/proc/{process_id}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _TICKS_PER_SECOND


def resident_bytes(process_id: int) -> int:
    """Read the resident memory of a process.

    :param process_id: the process's id.
    :return: resident bytes, including shared pages.
    """
    status = Path(f'/proc/{process_id}/status').read_text(encoding='utf-8')
    sizes = dict(
        line.split(':', 1) for line in status.splitlines() if ':' in line
    )
    return int(sizes['VmRSS'].split()[0]) * _KIB
