"""Garbage collector settings shared by all programs."""

from __future__ import annotations

import gc

# Arguments of ``gc.set_threshold``: net allocations that trigger a collection
# of generation 0, then collections of generations 0 and 1 that trigger one of
# the next generation.
_GC_THRESHOLDS = (20_000, 20, 200)


def configure_garbage_collection() -> None:
    """Collect garbage less often and exempt objects created at start-up.

    The ledger holds many objects that are not part of reference cycles; with
    the default thresholds a full collection traverses all of them several
    times a second.
    """
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
