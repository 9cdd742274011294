"""Monotonic clock that every part of a process reads."""

from __future__ import annotations

import time


def current_time() -> float:
    """Return the seconds since boot, including time in suspend.

    Unlike ``CLOCK_MONOTONIC`` it advances while the VM is suspended, so that
    leases and tokens also expire while the process or its VM is paused.

    :return: the time in seconds; only differences are meaningful.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
