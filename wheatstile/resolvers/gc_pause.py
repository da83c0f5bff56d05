"""Holds the garbage collector off while long lists of servers are built."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def gc_paused() -> Iterator[None]:
    """Run the block without garbage collection, then move what it made to the oldest generation.

    Lists of servers hold no reference cycles, so they are freed by their reference counts and only cost the
    collector time: it stopped the event loop for up to 50 ms over a list of 20,000 servers.
    """
    gc.disable()
    try:
        yield
    finally:
        # Moves all objects to the permanent generation and from there to the oldest, without traversing them.
        gc.freeze()
        gc.unfreeze()
        gc.enable()
