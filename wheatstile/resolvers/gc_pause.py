"""Pauses garbage collection while long lists of servers are built."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def gc_paused() -> Iterator[None]:
    """Run the block without garbage collection, then move all objects to the oldest generation.

    Lists of servers have no reference cycles, and reference counting frees them. Traversing them would only
    block the event loop.
    """
    gc.disable()
    try:
        yield
    finally:
        # Together, these two calls move all objects to the oldest generation without traversing them.
        gc.freeze()
        gc.unfreeze()
        gc.enable()
